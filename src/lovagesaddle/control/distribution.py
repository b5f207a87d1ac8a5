"""Distributes the configuration from this replica to the nodes."""

from collections.abc import Callable

from lovagesaddle.control import ports
from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import replica_agent
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.model import peers
from lovagesaddle.transport import endpoint as endpoint_lib
from lovagesaddle.transport import log_lines

EvidenceSink = Callable[[messages.RolloutReport, float], None]


class Distribution(ports.Subsystem, ports.NodeVersions):
    """Connects `replica_agent.ReplicaAgent` to the endpoint and to consensus.

    Args:
      own_id: ID of this replica.
      endpoint: ZeroMQ endpoint of the process.
      replica: Consensus of this replica.
      list_replicas: Returns every replica of the current configuration.
      heartbeat_s: Interval between heartbeats, in seconds.
      lease_s: Lifetime of a node's lease, in seconds.
      expiry_share: Largest share of the nodes of a failure domain whose leases
        may expire at once, from 0 to 1.
      deliver_evidence: Takes the nodes' reports on roll-outs while this replica
        leads; None if versions are not rolled out.
    """

    def __init__(
        self,
        *,
        own_id: str,
        endpoint: endpoint_lib.Endpoint,
        replica: ports.ReplicaPort,
        list_replicas: Callable[[], tuple[peers.Peer, ...]],
        heartbeat_s: float,
        lease_s: float,
        expiry_share: float,
        deliver_evidence: EvidenceSink | None = None,
    ) -> None:
        self._own_id = own_id
        self._endpoint = endpoint
        self._replica = replica
        self._list_replicas = list_replicas
        self._deliver_evidence = deliver_evidence
        self._now = 0.0
        self._agent = replica_agent.ReplicaAgent(
            heartbeat_s=heartbeat_s,
            lease_s=lease_s,
            expiry_share=expiry_share,
        )

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel whose messages this subsystem receives."""
        return endpoint_lib.Channel.DISTRIBUTION

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Handles one message of the channel."""
        frame_received = events.FrameReceived(
            sender_id=received.sender_id,
            route=received.route,
            frame=received.data,
        )
        self._step(frame_received, now)

    def tick(self, now: float) -> None:
        """Handles timeouts; called periodically."""
        self._step(events.Tick(), now)

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Handles a new applied state, leader or leader stamp."""
        all_replicas = self._list_replicas()
        others = tuple(p for p in all_replicas if p.peer_id != self._own_id)
        own = [peer for peer in all_replicas if peer.peer_id == self._own_id]
        leaders = [peer for peer in others if peer.peer_id == view.leader_id]
        observed = replica_events.ConsensusObserved(
            hashed=view.hashed,
            is_leader=view.is_leader,
            leader=leaders[0] if leaders else None,
            stamp=view.stamp,
            replicas=others,
            own=own[0] if own else None,
            current_at=view.current_at,
        )
        self._step(observed, now)

    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes not known to hold `version`.

        The number of IDs returned is limited.
        """
        return self._agent.list_lagging(version)

    def find_version_in_force(self) -> int:
        """Returns the lowest version that any reporting node holds."""
        return self._agent.find_version_in_force()

    def _step(self, event: replica_events.ReplicaEvent, now: float) -> None:
        self._now = now
        for action in self._agent.step(event, now):
            self._carry_out(action)

    def _carry_out(self, action: replica_events.ReplicaAction) -> None:
        match action:
            case events.Send():
                self._send(action)
            case events.Answer():
                self._endpoint.answer(action.route, self.channel, action.frame)
            case replica_events.Propose():
                self._propose(action)
            case replica_events.DeliverEvidence():
                if self._deliver_evidence is not None:
                    self._deliver_evidence(action.report, self._now)
            case events.Disconnect():
                self._endpoint.disconnect(action.peer)
            case events.LogLine():
                log_lines.write_event(action)
            case (
                events.Install() | events.RecordProof() | events.DeliverMarks()
            ):
                raise AssertionError(
                    "a replica agent does not install configurations"
                )

    def _send(self, action: events.Send) -> None:
        try:
            self._endpoint.send(action.peer, self.channel, action.frame)
        except errors.TransportError as error:
            log_lines.write_error(error)

    def _propose(self, proposal: replica_events.Propose) -> None:
        def _handle_applied(version: int) -> None:
            applied = replica_events.EntryApplied(
                ticket=proposal.ticket, version=version
            )
            self._step(applied, self._now)

        def _handle_refused(cause: str) -> None:
            refused = replica_events.EntryRefused(
                ticket=proposal.ticket, cause=cause
            )
            self._step(refused, self._now)

        self._replica.propose(
            proposal.command, _handle_applied, _handle_refused
        )
