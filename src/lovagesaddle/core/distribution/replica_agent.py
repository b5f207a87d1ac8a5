"""State machine of a replica's side of the distribution.

A replica is a parent of root nodes and forwards membership requests of nodes
to the leader.
"""

from typing import assert_never

from lovagesaddle.core import errors
from lovagesaddle.core import state_machine
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import mark_filter
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import registrar as registrar_lib
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

SNAPSHOTS_PER_S = 8.0
SNAPSHOT_BURST = 8
REPORT_DELAY_S = 0.05
MAX_LAGGING = 32
NO_STAMP = stamps.LeaderStamp(term=0, counter=0)

Actions = tuple[replica_events.ReplicaAction, ...]


class ReplicaAgent(
    state_machine.StateMachine[
        replica_events.ReplicaEvent, replica_events.ReplicaAction
    ]
):
    """Serves versions to children and maintains the registry as leader.

    Args:
      heartbeat_s: Time between heartbeats, in seconds.
      lease_s: Lifetime of a node's lease, in seconds.
      expiry_share: Largest share of a failure domain to expire at once.
    """

    def __init__(
        self, *, heartbeat_s: float, lease_s: float, expiry_share: float
    ) -> None:
        self._heartbeat_s = heartbeat_s
        self._history = history_lib.History()
        self._children = children_lib.Children(
            history=self._history,
            limiter=rate_limiter.RateLimiter(
                rate=SNAPSHOTS_PER_S, burst=SNAPSHOT_BURST
            ),
            heartbeat_s=heartbeat_s,
        )
        self._leases = leases_lib.Leases(
            lease_s=lease_s, expiry_share=expiry_share
        )
        self._registrar = registrar_lib.Registrar(self._leases)
        self._mark_filter = mark_filter.MarkFilter()
        self._leader: peers.Peer | None = None
        self._replicas: tuple[peers.Peer, ...] = ()
        self._announced: tuple[peers.Peer, ...] = ()
        self._stamp = NO_STAMP
        self._report_at = 0.0

    @property
    def version(self) -> int:
        """The newest applied version."""
        return self._history.version

    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes that have not acked `version`, sorted.

        The list ends after `MAX_LAGGING` IDs.
        """
        return self._leases.list_lagging(version)[:MAX_LAGGING]

    def find_version_in_force(self) -> int:
        """Returns the oldest version among the acks of all nodes.

        Returns:
          The newest applied version if there are no nodes; 0 if no node has
          reported a version.
        """
        newest = self._history.newest
        if newest is not None and not newest.snapshot.nodes:
            return newest.version
        return self._leases.get_lowest_acked_version() or 0

    def step(self, event: replica_events.ReplicaEvent, now: float) -> Actions:
        """Handles one event; see `state_machine.StateMachine`."""
        match event:
            case events.FrameReceived():
                return self._receive(event, now)
            case events.Tick():
                return self._tick(now)
            case replica_events.ConsensusObserved():
                return self._observe(event, now)
            case replica_events.EntryApplied():
                return self._registrar.handle_applied(event, now)
            case replica_events.EntryRefused():
                return self._registrar.handle_refused(event)
            case _:
                assert_never(event)

    def _observe(
        self, observed: replica_events.ConsensusObserved, now: float
    ) -> Actions:
        self._registrar.observe(observed, now)
        self._leader = observed.leader
        self._replicas = observed.replicas
        self._stamp = max(self._stamp, observed.stamp)
        self._children.current_at = observed.current_at
        announced = self._announce_replicas(observed)
        if observed.hashed.version <= self._history.version:
            return announced
        self._history.add(observed.hashed)
        return (*announced, *self._children.push_newest(self._stamp, now))

    def _announce_replicas(
        self, observed: replica_events.ConsensusObserved
    ) -> Actions:
        if observed.own is None:
            return ()
        members = (observed.own, *observed.replicas)
        listed = tuple(sorted(members, key=lambda peer: peer.peer_id))
        if listed == self._announced:
            return ()
        self._announced = listed
        message = messages.ReplicaList(stamp=observed.stamp, replicas=listed)
        return self._children.set_greeting(wire.encode(message))

    def _receive(self, received: events.FrameReceived, now: float) -> Actions:
        try:
            message = wire.decode(received.frame, peer=received.sender_id)
        except errors.CodecError as error:
            return (events.make_refusal_line(received, error.cause),)
        handled = self._children.handle(received, message, self._stamp, now)
        if handled is not None:
            return handled
        match message:
            case messages.MarkSpread():
                return self._relay_marks(message.marks, received.sender_id, now)
            case _:
                return self._registrar.receive(received, message, now)

    def _tick(self, now: float) -> Actions:
        return (
            *self._children.tick(self._stamp, now),
            *self._report(now),
            *self._registrar.tick(now),
        )

    def _report(self, now: float) -> Actions:
        if self._children.pop_acks_changed():
            self._report_at = min(self._report_at, now + REPORT_DELAY_S)
        if now < self._report_at:
            return ()
        self._report_at = now + self._heartbeat_s
        groups = self._children.merge_groups(())
        if not groups:
            return ()
        self._leases.record_acks(groups, now)
        if self._leader is None:
            return ()
        report = messages.ReplicaReport(groups=groups)
        return (events.Send(peer=self._leader, frame=wire.encode(report)),)

    def _relay_marks(
        self, marks: tuple[messages.Mark, ...], sender_id: str, now: float
    ) -> Actions:
        new = self._mark_filter.select_new(marks, now)
        if not new:
            return ()
        frame = wire.encode(messages.MarkSpread(marks=new))
        down = self._children.broadcast(frame, except_id=sender_id)
        if any(peer.peer_id == sender_id for peer in self._replicas):
            return down
        across = tuple(
            events.Send(peer=peer, frame=frame) for peer in self._replicas
        )
        return (*down, *across)
