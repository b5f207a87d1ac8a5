"""A replica's side of distribution: parent of the roots, way to the leader."""

import dataclasses
from typing import assert_never

from lovagesaddle.core import errors
from lovagesaddle.core import part
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import limiter as limiter_lib
from lovagesaddle.core.distribution import marks as marks_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import registry as registry_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

SNAPSHOTS_PER_S = 8.0
SNAPSHOT_BURST = 8
REPORT_DELAY_S = 0.05
SWEEP_S = 0.5
LAGGING_CAP = 32
HELPERS = 3
HELPER_HEARD_S = 2.0
NO_STAMP = stamps.LeaderStamp(term=0, counter=0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observed:
    """What the replica's consensus knows now.

    Attributes:
      stamped: The applied snapshot.
      is_leader: Whether this replica leads, confirmed by a majority.
      leader: The believed leader, if another replica is.
      stamp: Newest leader stamp.
      replicas: The other replicas.
    """

    stamped: delta.Stamped
    is_leader: bool
    leader: peers.Peer | None
    stamp: stamps.LeaderStamp
    replicas: tuple[peers.Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryApplied:
    """A proposed entry is applied.

    Attributes:
      ticket: Of its proposal.
      version: Its version.
    """

    ticket: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryRefused:
    """A proposed entry was refused or is in doubt."""

    ticket: int
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propose:
    """Offer an entry to the log; one is under way at a time."""

    ticket: int
    command: commands.ChangeMembership


SourceEvent = (
    events.Arrival | events.Tick | Observed | EntryApplied | EntryRefused
)
SourceAction = events.Action | Propose


class Source(part.Part[SourceEvent, SourceAction]):
    """Serves versions to children and keeps the registry while it leads.

    Args:
      heartbeat_s: Time between beats, in seconds.
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
            limiter=limiter_lib.Limiter(
                rate=SNAPSHOTS_PER_S, burst=SNAPSHOT_BURST
            ),
            heartbeat_s=heartbeat_s,
        )
        self._leases = leases_lib.Leases(
            lease_s=lease_s, expiry_share=expiry_share
        )
        self._registry = registry_lib.Registry()
        self._marks = marks_lib.Marks()
        self._routes: dict[str, bytes] = {}
        self._origins: dict[str, tuple[str, bytes]] = {}
        self._is_leader = False
        self._leader: peers.Peer | None = None
        self._replicas: tuple[peers.Peer, ...] = ()
        self._stamp = NO_STAMP
        self._report_at = 0.0
        self._sweep_at = 0.0
        self._held_domains: tuple[str, ...] = ()
        self._told: tuple[messages.AckGroup, ...] = ()
        self._turn = 0

    @property
    def version(self) -> int:
        """The newest applied version."""
        return self._history.version

    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes not known to hold `version`, capped."""
        return self._leases.list_lagging(version)[:LAGGING_CAP]

    def find_version_in_force(self) -> int:
        """Returns the version that every reporting node holds at least."""
        newest = self._history.newest
        if newest is not None and not newest.snapshot.nodes:
            return newest.version
        return self._leases.find_version_in_force() or 0

    def step(self, event: SourceEvent, now: float) -> tuple[SourceAction, ...]:
        """Handles one event; see `part.Part`."""
        match event:
            case events.Arrival():
                return self._receive(event, now)
            case events.Tick():
                return self._tick(now)
            case Observed():
                return self._observe(event, now)
            case EntryApplied():
                answers = self._registry.conclude(
                    event.ticket, event.version, now
                )
                return tuple(
                    self._answer_join(answer.node_id, answer, now)
                    for answer in answers
                )
            case EntryRefused():
                self._registry.abandon(event.ticket)
                return (
                    events.LogLine(
                        event="membership entry refused", reason=event.cause
                    ),
                )
            case _:
                assert_never(event)

    def _observe(
        self, observed: Observed, now: float
    ) -> tuple[SourceAction, ...]:
        if observed.is_leader != self._is_leader:
            self._registry.reset()
            self._leases.renew_all(now)
            self._origins.clear()
        self._is_leader = observed.is_leader
        self._leader = observed.leader
        self._replicas = observed.replicas
        self._stamp = max(self._stamp, observed.stamp)
        if observed.stamped.version <= self._history.version:
            return ()
        self._history.add(observed.stamped)
        snapshot = observed.stamped.snapshot
        self._leases.set_nodes(snapshot.nodes, now)
        self._registry.set_snapshot(snapshot)
        return self._children.push_newest(self._stamp)

    def _receive(
        self, arrival: events.Arrival, now: float
    ) -> tuple[SourceAction, ...]:
        try:
            message = wire.decode(arrival.frame, peer=arrival.sender_id)
        except errors.CodecError as error:
            return (_refuse(arrival, error.cause),)
        match message:
            case messages.ChildBeat():
                return self._children.hear_beat(
                    arrival, message, self._stamp, now
                )
            case messages.Pull():
                return self._children.hear_pull(arrival, message, now)
            case messages.Detach():
                self._children.drop(arrival.sender_id)
                return ()
            case messages.MarkSpread():
                return self._spread(message.marks, arrival.sender_id, now)
            case _:
                return self._receive_membership(arrival, message, now)

    def _receive_membership(
        self,
        arrival: events.Arrival,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[SourceAction, ...]:
        match message:
            case messages.Join() | messages.ServerReport() | messages.Leave():
                return self._take_or_forward(arrival, message, now)
            case messages.Forward():
                return self._take_forwarded(arrival, message, now)
            case messages.ForwardAnswer():
                route = self._routes.pop(message.origin_id, b"")
                if not route:
                    return ()
                return (events.Answer(route=route, frame=message.data),)
            case messages.ReplicaReport():
                self._leases.hear(message.groups, now)
                return ()
            case _:
                return (_refuse(arrival, type(message).__name__),)

    def _take_or_forward(
        self,
        arrival: events.Arrival,
        message: messages.Join | messages.ServerReport | messages.Leave,
        now: float,
    ) -> tuple[SourceAction, ...]:
        origin = arrival.sender_id
        if self._is_leader:
            self._origins[origin] = ("", arrival.route)
            return self._take(origin, message, now)
        if self._leader is None:
            return (_refuse(arrival, "no leader is known"),)
        if isinstance(message, messages.Join):
            self._routes[origin] = arrival.route
        forward = messages.Forward(origin_id=origin, data=arrival.frame)
        return (events.Send(peer=self._leader, frame=wire.encode(forward)),)

    def _take_forwarded(
        self, arrival: events.Arrival, forward: messages.Forward, now: float
    ) -> tuple[SourceAction, ...]:
        if not self._is_leader:
            return (_refuse(arrival, "forwarded to a replica without lead"),)
        try:
            message = wire.decode(forward.data, peer=forward.origin_id)
        except errors.CodecError as error:
            return (_refuse(arrival, error.cause),)
        self._origins[forward.origin_id] = (arrival.sender_id, arrival.route)
        return self._take(forward.origin_id, message, now)

    def _take(
        self,
        origin: str,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[SourceAction, ...]:
        match message:
            case messages.Join() if message.node.node_id == origin:
                answer = self._registry.hear_join(message, now)
                if answer is not None:
                    return (self._answer_join(origin, answer, now),)
            case messages.ServerReport() if message.node_id == origin:
                self._registry.hear_report(message, now)
            case messages.Leave() if message.node_id == origin:
                self._registry.hear_gone(origin, message.incarnation, now)
            case _:
                return (
                    events.LogLine(
                        event="message refused",
                        peer=origin,
                        reason="speaks for another node",
                    ),
                )
        return ()

    def _answer_join(
        self, origin: str, answer: messages.JoinAccepted, now: float
    ) -> SourceAction:
        replica_id, route = self._origins.get(origin, ("", b""))
        frame = wire.encode(
            dataclasses.replace(answer, helpers=self._pick_helpers(now))
        )
        if replica_id:
            forward = messages.ForwardAnswer(origin_id=origin, data=frame)
            frame = wire.encode(forward)
        return events.Answer(route=route, frame=frame)

    def _pick_helpers(self, now: float) -> tuple[peers.Peer, ...]:
        nodes = self._leases.list_heard(now - HELPER_HEARD_S)
        picked: list[peers.Peer] = []
        for _ in range(min(HELPERS, len(nodes))):
            picked.append(tree.make_peer(nodes[self._turn % len(nodes)]))
            self._turn += 1
        return tuple(picked)

    def _tick(self, now: float) -> tuple[SourceAction, ...]:
        actions: list[SourceAction] = []
        actions.extend(self._children.tick(self._stamp, now))
        actions.extend(self._report(now))
        if not self._is_leader:
            return tuple(actions)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            actions.extend(self._sweep(now))
            actions.extend(self._tell_replicas())
        batch = self._registry.flush(now)
        if batch is not None:
            actions.append(Propose(ticket=batch.ticket, command=batch.command))
        return tuple(actions)

    def _report(self, now: float) -> tuple[SourceAction, ...]:
        if self._children.take_changed():
            self._report_at = min(self._report_at, now + REPORT_DELAY_S)
        if now < self._report_at:
            return ()
        self._report_at = now + self._heartbeat_s
        groups = self._children.fold_groups(())
        if not groups:
            return ()
        self._leases.hear(groups, now)
        if self._leader is None:
            return ()
        report = messages.ReplicaReport(groups=groups)
        return (events.Send(peer=self._leader, frame=wire.encode(report)),)

    def _tell_replicas(self) -> tuple[SourceAction, ...]:
        groups = self._leases.fold()
        if groups == self._told:
            return ()
        self._told = groups
        frame = wire.encode(messages.ReplicaReport(groups=groups))
        return tuple(
            events.Send(peer=peer, frame=frame) for peer in self._replicas
        )

    def _sweep(self, now: float) -> tuple[SourceAction, ...]:
        sweep = self._leases.sweep(now)
        lines: list[SourceAction] = []
        for node in sweep.expired:
            self._registry.hear_gone(node.node_id, node.incarnation, now)
            lines.append(
                events.LogLine(
                    event="lease expired",
                    peer=node.node_id,
                    reason=node.failure_domain,
                )
            )
        if sweep.held_domains != self._held_domains:
            self._held_domains = sweep.held_domains
            lines.append(
                events.LogLine(
                    event="expiry held back",
                    reason="too many silent at once",
                    candidates=sweep.held_domains,
                )
            )
        return tuple(lines)

    def _spread(
        self, marks: tuple[messages.Mark, ...], source_id: str, now: float
    ) -> tuple[SourceAction, ...]:
        fresh = self._marks.admit(marks, now)
        if not fresh:
            return ()
        frame = wire.encode(messages.MarkSpread(marks=fresh))
        down = self._children.send_all(frame, except_id=source_id)
        if any(peer.peer_id == source_id for peer in self._replicas):
            return down
        across = tuple(
            events.Send(peer=peer, frame=frame) for peer in self._replicas
        )
        return (*down, *across)


def _refuse(arrival: events.Arrival, reason: str) -> events.LogLine:
    return events.LogLine(
        event="message refused", peer=arrival.sender_id, reason=reason
    )
