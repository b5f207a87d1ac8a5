"""State machine of a node's side of the distribution.

It joins the mesh, installs the configuration and relays it to other nodes.
"""

from typing import assert_never

from lovagesaddle.core import errors
from lovagesaddle.core import state_machine
from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import freshness as freshness_lib
from lovagesaddle.core.distribution import freshness_prober
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
# Bounds on the time between two ticks. Children and the silence of parents are
# checked at every tick.
MIN_TICK_S = 0.05
MAX_TICK_S = 0.25
# Time after which a version that could not be installed is asked for again.
REINSTALL_AFTER_S = 1.0


class NodeAgent(state_machine.StateMachine[events.NodeEvent, events.Action]):
    """Registers a node, installs updates from parents and serves children.

    Args:
      node: This node; the leader assigns its incarnation.
      start_id: Random bytes that identify this start of the process.
      cluster_id: ID of the cluster whose updates are installed.
      replicas: Replicas to join through.
      heartbeat_s: Time between heartbeats, in seconds.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        node: snapshots.Node,
        start_id: bytes,
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
            node=node, start_id=start_id, replicas=replicas, random=random
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
        self._freshness = freshness_lib.Freshness(random)
        self._prober = freshness_prober.FreshnessProber(
            installed=self._installed,
            freshness=self._freshness,
            heartbeat_s=heartbeat_s,
            random=random,
        )
        self._heartbeats = heartbeats.HeartbeatSender(
            installed=self._installed,
            parents=self._parents,
            children=self._children,
            heartbeat_s=heartbeat_s,
            freshness=self._freshness,
        )
        self._list_stamp = parents_lib.NO_STAMP
        self._mark_filter = mark_filter.MarkFilter()
        offset = int(random.random() * len(replicas))
        self._rotated = replicas[offset:] + replicas[:offset]
        self._planned_nodes: tuple[snapshots.Node, ...] | None = None

    @property
    def node(self) -> snapshots.Node:
        """This node, with the newest incarnation that was assigned to it."""
        return self._registration.node

    @property
    def version(self) -> int:
        """Number of the installed version; 0 for none."""
        return self._installed.version

    def compute_wait(self, now: float) -> float:
        """Returns the time until the next tick is due, in seconds.

        It holds until the next event.
        """
        due_at = min(
            self._heartbeats.due_at,
            self._registration.due_at,
            self._puller.due_at,
            self._prober.due_at,
        )
        return min(max(due_at - now, MIN_TICK_S), MAX_TICK_S)

    def step(
        self, event: events.NodeEvent, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event; see `state_machine.StateMachine`."""
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
                return self._relay_marks(event.marks, "", now)
            case events.LeaveRequested():
                self._registration.start_leaving()
            case events.InstallFailed():
                # Nothing of the version is in force, so it is not acknowledged
                # and asked for again as a whole.
                self._installed.discard()
                self._freshness.discard()
                self._children.current_at = None
                self._puller.delay(REINSTALL_AFTER_S, now)
            case events.ProofRequested():
                self._prober.request(now)
            case events.EvidenceCounted():
                return self._registration.report_evidence(event.versions)
            case _:
                assert_never(event)
        return self._tick(now)

    def _receive(
        self, received: events.FrameReceived, now: float
    ) -> tuple[events.Action, ...]:
        try:
            message = wire.decode(received.frame, peer=received.sender_id)
        except errors.CodecError as error:
            return (
                events.make_log_line(
                    "frame refused", received, reason=error.cause
                ),
            )
        self._parents.record_frame(received.sender_id, now)
        if received.route:
            return self._handle_from_child(received, message, now)
        return self._handle_from_parent(received, message, now)

    def _handle_from_child(
        self,
        received: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[events.Action, ...]:
        handled = self._children.handle(
            received, message, self._parents.stamp, now
        )
        if handled is not None:
            if self._children.pop_acks_changed():
                self._heartbeats.schedule_acks(now)
            return handled
        match message:
            case messages.MarkSpread():
                return self._relay_marks(message.marks, received.sender_id, now)
            case _:
                return (
                    events.make_refusal_line(received, type(message).__name__),
                )

    def _handle_from_parent(
        self,
        received: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> tuple[events.Action, ...]:
        match message:
            case messages.ParentBeat():
                link = self._parents.handle_heartbeat(
                    received.sender_id, message, now
                )
                if link is not None:
                    self._puller.record_version(
                        link.peer,
                        link.version,
                        now,
                        is_eager=link is self._parents.eager,
                    )
                improved = self._freshness.record_statement(
                    message, self._installed.version
                )
                return self._make_proof() if improved else ()
            case messages.DeltaPush():
                result = self._installed.install_delta(message.delta)
                base = message.delta.base_version
                return self._finish_update(received, result, base, now)
            case messages.SnapshotPush():
                result = self._installed.install_snapshot(
                    message.snapshot, message.digest
                )
                return self._finish_update(received, result, 0, now)
            case messages.RetryLater():
                self._puller.handle_retry_later(
                    received.sender_id, message, now
                )
                return ()
            case messages.JoinAccepted():
                return self._handle_join_accepted(received, message, now)
            case messages.MarkSpread():
                return self._relay_marks(message.marks, received.sender_id, now)
            case messages.ReplicaList():
                return self._handle_replica_list(received, message)
            case _:
                return (
                    events.make_refusal_line(received, type(message).__name__),
                )

    def _handle_replica_list(
        self, received: events.FrameReceived, listed: messages.ReplicaList
    ) -> tuple[events.Action, ...]:
        if listed.stamp <= self._list_stamp or not listed.replicas:
            return ()
        self._list_stamp = listed.stamp
        self._replicas = self._rotated = listed.replicas
        self._registration.set_replicas(listed.replicas)
        current = self._installed.current
        if current is not None:
            self._parents.set_plan(self._plan_parents(current.snapshot))
        return (
            *self._children.set_greeting(received.frame),
            events.LogLine(
                event="replicas listed",
                peer=received.sender_id,
                candidates=tuple(peer.peer_id for peer in listed.replicas),
            ),
        )

    def _handle_join_accepted(
        self,
        received: events.FrameReceived,
        accepted: messages.JoinAccepted,
        now: float,
    ) -> tuple[events.Action, ...]:
        if not self._registration.accept(accepted):
            return (
                events.make_log_line(
                    "join answer refused", received, reason="other life"
                ),
            )
        if self._installed.current is None:
            self._installed.raise_floor(accepted.floor)
            self._puller.set_helpers(accepted.helpers)
            self._parents.set_plan(
                relay_tree.ParentPlan(eager=self._rotated, lazy=())
            )
        line = events.LogLine(
            event="joined", peer=received.sender_id, version=accepted.floor
        )
        return (line, *self._tick(now))

    def _finish_update(
        self,
        received: events.FrameReceived,
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
                events.make_log_line("update refused", received, reason=reason),
            )
        current = self._installed.current
        assert current is not None
        frame = received.frame if base_version else b""
        overdue_s = self._puller.compute_delay(now)
        self._history.add(current, base_version=base_version, frame=frame)
        self._puller.clear_installed()
        self._registration.recheck()
        self._update_plan(current.snapshot)
        self._heartbeats.schedule_acks(now)
        improved = self._freshness.apply_installed(current.version)
        return (
            events.Install(hashed=current),
            *(self._make_proof() if improved else ()),
            *self._children.push_newest(self._parents.stamp, now),
            events.LogLine(
                event="installed",
                peer=received.sender_id,
                version=current.version,
                size=len(received.frame),
                overdue_ms=int(overdue_s * MS_PER_S),
            ),
            *self._tick(now),
        )

    def _update_plan(self, snapshot: snapshots.Snapshot) -> None:
        if snapshot.nodes is self._planned_nodes:
            return
        self._planned_nodes = snapshot.nodes
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
        parent_actions = self._parents.tick(now)
        if parent_actions:
            self._puller.retain_sources(
                {link.peer for link in self._parents.links}
            )
        requests = self._registration.tick(
            self._installed.current.snapshot
            if self._installed.current
            else None,
            now,
        )
        pulls = self._puller.tick(self._rotated, now)
        probes = self._prober.tick(self._rotated, now)
        child_heartbeats = self._children.tick(self._parents.stamp, now)
        return (
            *parent_actions,
            *self._heartbeats.tick(self._make_own_ack(), now),
            *requests,
            *pulls,
            *probes,
            *child_heartbeats,
        )

    def _make_proof(self) -> tuple[events.Action, ...]:
        current_at = self._freshness.current_at
        assert current_at is not None
        self._children.current_at = current_at
        return (events.RecordProof(current_at=current_at),)

    def _make_own_ack(self) -> tuple[messages.AckGroup, ...]:
        node = self._registration.node
        if self._registration.superseded:
            return ()
        token = tokens.make_token(node.node_id, node.incarnation)
        return (
            messages.AckGroup(version=self._installed.version, tokens=token),
        )

    def _relay_marks(
        self, marks: tuple[messages.Mark, ...], sender_id: str, now: float
    ) -> tuple[events.Action, ...]:
        new = self._mark_filter.select_new(marks, now)
        if not new:
            return ()
        frame = wire.encode(messages.MarkSpread(marks=new))
        own = (events.DeliverMarks(marks=new),) if sender_id else ()
        return (
            *own,
            *self._parents.broadcast(frame, except_id=sender_id),
            *self._children.broadcast(frame, except_id=sender_id),
        )
