"""A replica's part in membership: requests on their way to the leader."""

import dataclasses

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import pending_joins as pending_joins_lib
from lovagesaddle.core.membership import registry as registry_lib
from lovagesaddle.core.model import peers

SWEEP_S = 0.5
HELPERS = 3
HELPER_HEARD_S = 2.0

Actions = tuple[replica_events.ReplicaAction, ...]


class Registrar:
    """Takes membership requests while its replica leads, else forwards them.

    Args:
      leases: Leases of the nodes; shared with the owner.
    """

    def __init__(self, leases: leases_lib.Leases) -> None:
        self._leases = leases
        self._registry = registry_lib.Registry()
        self._pending_joins = pending_joins_lib.PendingJoins()
        self._routes: dict[str, bytes] = {}
        self._origins: dict[str, tuple[str, bytes]] = {}
        self._is_leader = False
        self._leader: peers.Peer | None = None
        self._replicas: tuple[peers.Peer, ...] = ()
        self._sweep_at = 0.0
        self._held_domains: tuple[str, ...] = ()
        self._told: tuple[messages.AckGroup, ...] = ()
        self._turn = 0

    def observe(
        self, observed: replica_events.ConsensusObserved, now: float
    ) -> None:
        """Takes a new applied state or leader."""
        if observed.is_leader != self._is_leader:
            self._registry.reset()
            self._leases.renew_all(now)
            self._origins.clear()
        self._is_leader = observed.is_leader
        self._leader = observed.leader
        self._replicas = observed.replicas
        snapshot = observed.stamped.snapshot
        self._leases.set_nodes(snapshot.nodes, now)
        self._registry.set_snapshot(snapshot)

    def conclude(
        self, applied: replica_events.EntryApplied, now: float
    ) -> Actions:
        """Answers the joins of an applied entry."""
        answers = self._registry.conclude(applied.ticket, applied.version, now)
        return tuple(
            self._answer_join(answer.node_id, answer, now) for answer in answers
        )

    def abandon(self, refused: replica_events.EntryRefused) -> Actions:
        """Forgets an entry that was refused or is in doubt."""
        self._registry.abandon(refused.ticket)
        return (
            events.LogLine(
                event="membership entry refused", reason=refused.cause
            ),
        )

    def tick(self, now: float) -> Actions:
        """Expires lapsed nodes and proposes the next entry, as the leader."""
        actions = self._take_pending_joins(now)
        if not self._is_leader:
            return tuple(actions)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            actions.extend(self._sweep(now))
            actions.extend(self._tell_replicas())
        batch = self._registry.flush(now)
        if batch is not None:
            actions.append(
                replica_events.Propose(
                    ticket=batch.ticket, command=batch.command
                )
            )
        return tuple(actions)

    def receive(
        self,
        arrival: events.FrameReceived,
        message: messages.DistributionMessage,
        now: float,
    ) -> Actions:
        """Handles one message that concerns membership."""
        match message:
            case messages.Join() | messages.ServerReport() | messages.Leave():
                return self._take_or_forward(arrival, message, now)
            case _ if not self._is_replica(arrival.sender_id):
                return (
                    events.make_refusal_line(arrival, type(message).__name__),
                )
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
                return (
                    events.make_refusal_line(arrival, type(message).__name__),
                )

    def _take_pending_joins(
        self, now: float
    ) -> list[replica_events.ReplicaAction]:
        if not (self._is_leader or self._leader):
            return []
        actions: list[replica_events.ReplicaAction] = []
        for arrival, join in self._pending_joins.take(now):
            actions.extend(self._take_or_forward(arrival, join, now))
        return actions

    def _take_or_forward(
        self,
        arrival: events.FrameReceived,
        message: messages.Join | messages.ServerReport | messages.Leave,
        now: float,
    ) -> Actions:
        origin = arrival.sender_id
        if self._is_leader:
            self._origins[origin] = ("", arrival.route)
            return self._take(origin, message, now)
        if self._leader is None:
            if isinstance(message, messages.Join) and self._pending_joins.keep(
                arrival, message, now
            ):
                return ()
            return (events.make_refusal_line(arrival, "no leader is known"),)
        if isinstance(message, messages.Join):
            self._routes[origin] = arrival.route
        forward = messages.Forward(origin_id=origin, data=arrival.frame)
        return (events.Send(peer=self._leader, frame=wire.encode(forward)),)

    def _take_forwarded(
        self,
        arrival: events.FrameReceived,
        forward: messages.Forward,
        now: float,
    ) -> Actions:
        if not self._is_leader:
            return (
                events.make_refusal_line(
                    arrival, "forwarded to a replica without lead"
                ),
            )
        try:
            message = wire.decode(forward.data, peer=forward.origin_id)
        except errors.CodecError as error:
            return (events.make_refusal_line(arrival, error.cause),)
        self._origins[forward.origin_id] = (arrival.sender_id, arrival.route)
        return self._take(forward.origin_id, message, now)

    def _take(
        self,
        origin: str,
        message: messages.DistributionMessage,
        now: float,
    ) -> Actions:
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
        nodes = self._leases.list_heard(now - HELPER_HEARD_S)
        picked: list[peers.Peer] = []
        for _ in range(min(HELPERS, len(nodes))):
            picked.append(relay_tree.make_peer(nodes[self._turn % len(nodes)]))
            self._turn += 1
        return tuple(picked)

    def _tell_replicas(self) -> Actions:
        groups = self._leases.fold()
        if groups == self._told:
            return ()
        self._told = groups
        frame = wire.encode(messages.ReplicaReport(groups=groups))
        return tuple(
            events.Send(peer=peer, frame=frame) for peer in self._replicas
        )

    def _sweep(self, now: float) -> Actions:
        sweep = self._leases.sweep(now)
        lines: list[replica_events.ReplicaAction] = []
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

    def _is_replica(self, sender_id: str) -> bool:
        return any(peer.peer_id == sender_id for peer in self._replicas)
