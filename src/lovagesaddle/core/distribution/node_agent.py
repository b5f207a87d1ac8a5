"""The control half of a node: follows the configuration and relays it."""

from typing import assert_never

from lovagesaddle.core import errors
from lovagesaddle.core import part
from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import heartbeats
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import mark_filter
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import parents as parents_lib
from lovagesaddle.core.distribution import puller as puller_lib
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import registration as registration_lib
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import tokens
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

SNAPSHOTS_PER_S = 4.0
SNAPSHOT_BURST = 4
MS_PER_S = 1000


class NodeAgent(part.Part[events.NodeEvent, events.Action]):
    """Joins, holds a version, follows its parents and serves its children.

    Args:
      node: This node; its incarnation is assigned by the leader.
      life: Random number of this start of the process.
      cluster_id: The cluster to follow.
      replicas: Replicas to join through.
      heartbeat_s: Time between beats, in seconds.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        node: snapshots.Node,
        life: bytes,
        cluster_id: str,
        replicas: tuple[peers.Peer, ...],
        heartbeat_s: float,
        random: backoff_lib.Random,
    ) -> None:
        self._failure_domain = node.failure_domain
        self._replicas = replicas
        self._heartbeat_s = heartbeat_s
        self._installed = installed_version.InstalledVersion(cluster_id)
        self._history = history_lib.History()
        self._registration = registration_lib.Registration(
            node=node, life=life, replicas=replicas, random=random
        )
        self._parents = parents_lib.Parents(
            heartbeat_s=heartbeat_s, random=random
        )
        self._children = children_lib.Children(
            history=self._history,
            limiter=rate_limiter.RateLimiter(
                rate=SNAPSHOTS_PER_S, burst=SNAPSHOT_BURST
            ),
            heartbeat_s=heartbeat_s,
        )
        self._puller = puller_lib.Puller(
            installed=self._installed, random=random
        )
        self._heartbeats = heartbeats.HeartbeatSender(
            installed=self._installed,
            parents=self._parents,
            children=self._children,
            heartbeat_s=heartbeat_s,
        )
        self._listed_at = parents_lib.NO_STAMP
        self._mark_filter = mark_filter.MarkFilter()
        turn = int(random.random() * len(replicas))
        self._turned = replicas[turn:] + replicas[:turn]
        self._planned: tuple[snapshots.Node, ...] | None = None

    @property
    def node(self) -> snapshots.Node:
        """This node, with the incarnation that it knows of."""
        return self._registration.node

    @property
    def version(self) -> int:
        """Version that is held; 0 for none."""
        return self._installed.version

    def step(
        self, event: events.NodeEvent, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event; see `part.Part`."""
        match event:
            case events.FrameReceived():
                return self._receive(event, now)
            case events.Tick():
                return self._tick(now)
            case events.ServerAnnounced():
                self._registration.put_server(event.server)
            case events.ServerWithdrawn():
                self._registration.remove_server(
                    event.server_id, event.incarnation
                )
            case events.MarksRaised():
                return self._spread(event.marks, "", now)
            case events.LeaveRequested():
                self._registration.start_leaving()
            case _:
                assert_never(event)
        return self._tick(now)

    def _receive(
        self, arrival: events.FrameReceived, now: float
    ) -> tuple[events.Action, ...]:
        try:
            message = wire.decode(arrival.frame, peer=arrival.sender_id)
        except errors.CodecError as error:
            return (
                events.make_log_line(
                    "frame refused", arrival, reason=error.cause
                ),
            )
        self._parents.record_frame(arrival.sender_id, now)
        if arrival.route:
            return self._serve(arrival, message, now)
        return self._follow(arrival, message, now)

    def _serve(
        self,
        arrival: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[events.Action, ...]:
        served = self._children.handle(
            arrival, message, self._parents.stamp, now
        )
        if served is not None:
            if self._children.pop_acks_changed():
                self._heartbeats.schedule_acks(now)
            return served
        match message:
            case messages.MarkSpread():
                return self._spread(message.marks, arrival.sender_id, now)
            case _:
                return (
                    events.make_refusal_line(arrival, type(message).__name__),
                )

    def _follow(
        self,
        arrival: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[events.Action, ...]:
        match message:
            case messages.ParentBeat():
                link = self._parents.handle_beat(
                    arrival.sender_id, message, now
                )
                if link is not None:
                    self._puller.record_version(
                        link.peer,
                        link.version,
                        now,
                        is_eager=link is self._parents.eager,
                    )
                return ()
            case messages.DeltaPush():
                result = self._installed.install_delta(message.delta)
                base = message.delta.base_version
                return self._conclude(arrival, result, base, now)
            case messages.SnapshotPush():
                result = self._installed.install_snapshot(
                    message.snapshot, message.digest
                )
                return self._conclude(arrival, result, 0, now)
            case messages.RetryLater():
                self._puller.handle_retry_later(message, now)
                return ()
            case messages.JoinAccepted():
                return self._take_join(arrival, message, now)
            case messages.MarkSpread():
                return self._spread(message.marks, arrival.sender_id, now)
            case messages.ReplicaList():
                return self._take_list(arrival, message)
            case _:
                return (
                    events.make_refusal_line(arrival, type(message).__name__),
                )

    def _take_list(
        self, arrival: events.FrameReceived, listed: messages.ReplicaList
    ) -> tuple[events.Action, ...]:
        if listed.stamp <= self._listed_at or not listed.replicas:
            return ()
        self._listed_at = listed.stamp
        self._replicas = self._turned = listed.replicas
        self._registration.set_replicas(listed.replicas)
        held = self._installed.current
        if held is not None:
            self._parents.set_plan(self._plan_parents(held.snapshot))
        return (
            *self._children.set_greeting(arrival.frame),
            events.LogLine(
                event="replicas listed",
                peer=arrival.sender_id,
                candidates=tuple(peer.peer_id for peer in listed.replicas),
            ),
        )

    def _take_join(
        self,
        arrival: events.FrameReceived,
        accepted: messages.JoinAccepted,
        now: float,
    ) -> tuple[events.Action, ...]:
        if not self._registration.accept(accepted):
            return (
                events.make_log_line(
                    "join answer refused", arrival, reason="other life"
                ),
            )
        if self._installed.current is None:
            self._installed.raise_floor(accepted.floor)
            self._puller.set_helpers(accepted.helpers)
            self._parents.set_plan(
                relay_tree.ParentPlan(eager=self._turned, lazy=())
            )
        line = events.LogLine(
            event="joined", peer=arrival.sender_id, version=accepted.floor
        )
        return (line, *self._tick(now))

    def _conclude(
        self,
        arrival: events.FrameReceived,
        result: installed_version.InstallResult,
        base_version: int,
        now: float,
    ) -> tuple[events.Action, ...]:
        if result.outcome is installed_version.InstallOutcome.OLDER:
            return ()
        if result.outcome is installed_version.InstallOutcome.MISMATCH:
            self._puller.request_snapshot(now)
        if result.outcome is not installed_version.InstallOutcome.INSTALLED:
            reason = f"{result.outcome.value}: {result.cause}"
            return (
                events.make_log_line("update refused", arrival, reason=reason),
            )
        held = self._installed.current
        assert held is not None
        frame = arrival.frame if base_version else b""
        overdue_s = self._puller.compute_delay(now)
        self._history.add(held, base_version=base_version, frame=frame)
        self._puller.clear_installed()
        self._registration.recheck()
        self._replan(held.snapshot)
        self._heartbeats.schedule_acks(now)
        return (
            events.Install(stamped=held),
            *self._children.push_newest(self._parents.stamp),
            events.LogLine(
                event="installed",
                peer=arrival.sender_id,
                version=held.version,
                size=len(arrival.frame),
                overdue_ms=int(overdue_s * MS_PER_S),
            ),
            *self._tick(now),
        )

    def _replan(self, snapshot: snapshots.Snapshot) -> None:
        if snapshot.nodes is self._planned:
            return
        self._planned = snapshot.nodes
        self._parents.set_plan(self._plan_parents(snapshot))

    def _plan_parents(
        self, snapshot: snapshots.Snapshot
    ) -> relay_tree.ParentPlan:
        return relay_tree.plan_parents(
            snapshot,
            self._registration.node.node_id,
            self._failure_domain,
            self._replicas,
        )

    def _tick(self, now: float) -> tuple[events.Action, ...]:
        moved = self._parents.tick(now)
        if moved:
            self._puller.retain_sources(
                {link.peer for link in self._parents.links}
            )
        joins = self._registration.tick(
            self._installed.current.snapshot
            if self._installed.current
            else None,
            now,
        )
        pulls = self._puller.tick(self._turned, now)
        served = self._children.tick(self._parents.stamp, now)
        return (
            *moved,
            *self._heartbeats.tick(self._own_group(), now),
            *joins,
            *pulls,
            *served,
        )

    def _own_group(self) -> tuple[messages.AckGroup, ...]:
        node = self._registration.node
        if self._registration.superseded:
            return ()
        token = tokens.make_token(node.node_id, node.incarnation)
        return (
            messages.AckGroup(version=self._installed.version, tokens=token),
        )

    def _spread(
        self, marks: tuple[messages.Mark, ...], source_id: str, now: float
    ) -> tuple[events.Action, ...]:
        new = self._mark_filter.select_new(marks, now)
        if not new:
            return ()
        frame = wire.encode(messages.MarkSpread(marks=new))
        own = (events.DeliverMarks(marks=new),) if source_id else ()
        return (
            *own,
            *self._parents.broadcast(frame, except_id=source_id),
            *self._children.broadcast(frame, except_id=source_id),
        )
