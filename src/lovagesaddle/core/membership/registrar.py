"""Handling of membership requests at a replica, leader or not."""

import dataclasses

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import change_batcher as batcher_lib
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import pending_joins as pending_joins_lib
from lovagesaddle.core.model import entry_checks
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

# Interval between checks for lapsed leases.
SWEEP_S = 0.5
# Number of nodes that the answer to a join names as sources of the snapshot;
# each of these nodes acked within the last `HELPER_ACK_AGE_S`.
HELPER_COUNT = 3
HELPER_ACK_AGE_S = 2.0

Actions = tuple[replica_events.ReplicaAction, ...]


class Registrar:
    """Handles membership requests at a replica.

    The registrar of the leader decides on the requests; the registrar of any
    other replica forwards them to the leader.

    Args:
      leases: Leases of the nodes; shared with the replica agent.
    """

    def __init__(self, leases: leases_lib.Leases) -> None:
        self._leases = leases
        self._batcher = batcher_lib.ChangeBatcher()
        self._pending_joins = pending_joins_lib.PendingJoins()
        self._routes: dict[str, bytes] = {}
        self._origins: dict[str, tuple[str, bytes]] = {}
        self._is_leader = False
        self._leader: peers.Peer | None = None
        self._replicas: tuple[peers.Peer, ...] = ()
        self._next_sweep_at = 0.0
        self._blocked_domains: tuple[str, ...] = ()
        self._sent_groups: tuple[messages.AckGroup, ...] = ()
        self._next_helper = 0

    def observe(
        self, observed: replica_events.ConsensusObserved, now: float
    ) -> None:
        """Updates the applied state, the leader and the replicas."""
        if observed.is_leader != self._is_leader:
            self._batcher.reset()
            self._leases.renew_all(now)
            self._origins.clear()
        self._is_leader = observed.is_leader
        self._leader = observed.leader
        self._replicas = observed.replicas
        snapshot = observed.hashed.snapshot
        self._leases.set_nodes(snapshot.nodes, now)
        self._batcher.set_snapshot(snapshot)

    def handle_applied(
        self, applied: replica_events.EntryApplied, now: float
    ) -> Actions:
        """Returns answers to the joins of an applied entry."""
        answers = self._batcher.complete(applied.ticket, applied.version, now)
        return tuple(
            self._answer_join(answer.node_id, answer, now) for answer in answers
        )

    def handle_refused(self, refused: replica_events.EntryRefused) -> Actions:
        """Drops an entry that was refused or whose outcome is unknown."""
        self._batcher.abandon(refused.ticket)
        return (
            events.LogLine(
                event="membership entry refused", reason=refused.cause
            ),
        )

    def tick(self, now: float) -> Actions:
        """Handles pending joins; as the leader, expires nodes and proposes."""
        actions = self._handle_pending_joins(now)
        if not self._is_leader:
            return tuple(actions)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_S
            actions.extend(self._sweep(now))
            actions.extend(self._report_to_replicas())
        batch = self._batcher.flush(now)
        if batch is not None:
            actions.append(
                replica_events.Propose(
                    ticket=batch.ticket, command=batch.command
                )
            )
        return tuple(actions)

    def receive(
        self,
        received: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> Actions:
        """Handles one message that concerns membership."""
        match message:
            case (
                messages.Join()
                | messages.ServerReport()
                | messages.Leave()
                | messages.RolloutReport()
            ):
                return self._handle_or_forward(received, message, now)
            case _ if not self._is_replica(received.sender_id):
                return (
                    events.make_refusal_line(received, type(message).__name__),
                )
            case messages.Forward():
                return self._handle_forwarded(received, message, now)
            case messages.ForwardAnswer():
                route = self._routes.pop(message.origin_id, b"")
                if not route:
                    return ()
                return (events.Answer(route=route, frame=message.data),)
            case messages.ReplicaReport():
                self._leases.record_acks(message.groups, now)
                return ()
            case _:
                return (
                    events.make_refusal_line(received, type(message).__name__),
                )

    def _handle_pending_joins(
        self, now: float
    ) -> list[replica_events.ReplicaAction]:
        if not (self._is_leader or self._leader):
            return []
        actions: list[replica_events.ReplicaAction] = []
        for received, join in self._pending_joins.pop_recent(now):
            actions.extend(self._handle_or_forward(received, join, now))
        return actions

    def _handle_or_forward(
        self,
        received: events.FrameReceived,
        message: messages.Join
        | messages.ServerReport
        | messages.Leave
        | messages.RolloutReport,
        now: float,
    ) -> Actions:
        origin = received.sender_id
        if self._is_leader:
            if not isinstance(message, messages.RolloutReport):
                self._origins[origin] = ("", received.route)
            return self._handle_as_leader(origin, message, now)
        if self._leader is None:
            if isinstance(message, messages.RolloutReport):
                # The next report holds the same counts.
                return ()
            if isinstance(message, messages.Join) and self._pending_joins.add(
                received, message, now
            ):
                return ()
            return (events.make_refusal_line(received, "no leader is known"),)
        if isinstance(message, messages.Join):
            self._routes[origin] = received.route
        forward = messages.Forward(origin_id=origin, data=received.frame)
        return (events.Send(peer=self._leader, frame=wire.encode(forward)),)

    def _handle_forwarded(
        self,
        received: events.FrameReceived,
        forward: messages.Forward,
        now: float,
    ) -> Actions:
        if not self._is_leader:
            return (
                events.make_refusal_line(
                    received, "forwarded to a replica without lead"
                ),
            )
        try:
            message = wire.decode(forward.data, peer=forward.origin_id)
        except errors.CodecError as error:
            return (events.make_refusal_line(received, error.cause),)
        if not isinstance(message, messages.RolloutReport):
            self._origins[forward.origin_id] = (
                received.sender_id,
                received.route,
            )
        return self._handle_as_leader(forward.origin_id, message, now)

    def _handle_as_leader(
        self,
        origin: str,
        message: messages.DistributionMessage,
        now: float,
    ) -> Actions:
        flaw = _find_entry_flaw(message)
        if flaw:
            return (
                events.LogLine(
                    event="entry refused",
                    peer=origin,
                    reason=f"invalid: {flaw}",
                ),
            )
        match message:
            case messages.Join() if message.node.node_id == origin:
                answer = self._batcher.add_join(message, now)
                if answer is not None:
                    return (self._answer_join(origin, answer, now),)
            case messages.ServerReport() if message.node_id == origin:
                self._batcher.add_report(message, now)
            case messages.RolloutReport() if message.node_id == origin:
                return (replica_events.DeliverEvidence(report=message),)
            case messages.Leave() if message.node_id == origin:
                self._batcher.add_removal(origin, message.incarnation, now)
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
    ) -> replica_events.ReplicaAction:
        replica_id, route = self._origins.get(origin, ("", b""))
        frame = wire.encode(
            dataclasses.replace(answer, helpers=self._pick_helpers(now))
        )
        if replica_id:
            forward = messages.ForwardAnswer(origin_id=origin, data=frame)
            frame = wire.encode(forward)
        return events.Answer(route=route, frame=frame)

    def _pick_helpers(self, now: float) -> tuple[peers.Peer, ...]:
        nodes = self._leases.list_renewed(now - HELPER_ACK_AGE_S)
        picked: list[peers.Peer] = []
        for _ in range(min(HELPER_COUNT, len(nodes))):
            picked.append(
                relay_tree.make_peer(nodes[self._next_helper % len(nodes)])
            )
            self._next_helper += 1
        return tuple(picked)

    def _report_to_replicas(self) -> Actions:
        groups = self._leases.make_ack_groups()
        if groups == self._sent_groups:
            return ()
        self._sent_groups = groups
        frame = wire.encode(messages.ReplicaReport(groups=groups))
        return tuple(
            events.Send(peer=peer, frame=frame) for peer in self._replicas
        )

    def _sweep(self, now: float) -> Actions:
        sweep = self._leases.sweep(now)
        lines: list[replica_events.ReplicaAction] = []
        for node in sweep.expired:
            self._batcher.add_removal(node.node_id, node.incarnation, now)
            lines.append(
                events.LogLine(
                    event="lease expired",
                    peer=node.node_id,
                    reason=node.failure_domain,
                )
            )
        if sweep.blocked_domains != self._blocked_domains:
            self._blocked_domains = sweep.blocked_domains
            lines.append(
                events.LogLine(
                    event="expiry held back",
                    reason="too many silent at once",
                    candidates=sweep.blocked_domains,
                )
            )
        return tuple(lines)

    def _is_replica(self, sender_id: str) -> bool:
        return any(peer.peer_id == sender_id for peer in self._replicas)


def _find_entry_flaw(message: messages.DistributionMessage) -> str:
    """Returns what is invalid about an entry of a message, if anything is."""
    servers: tuple[snapshots.BackendServer, ...] = ()
    flaws: list[str] = []
    match message:
        case messages.Join():
            flaws.append(entry_checks.find_node_flaw(message.node))
            servers = message.servers
        case messages.ServerReport():
            servers = message.servers
    flaws.extend(entry_checks.find_server_flaw(server) for server in servers)
    return next(filter(None, flaws), "")
