"""Connects the consensus replica to its data folder and its peers."""

from collections.abc import Callable
import dataclasses

from lovagesaddle.control import ports
from lovagesaddle.control import replica_discovery
from lovagesaddle.control import replica_links
from lovagesaddle.control import replicated_state
from lovagesaddle.core import echoes
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import founding as founding_lib
from lovagesaddle.core.consensus import replica as replica_lib
from lovagesaddle.core.model import commands
from lovagesaddle.observability import logs
from lovagesaddle.storage import syncer as syncer_lib
from lovagesaddle.transport import endpoint as endpoint_lib

IMAGE_INTERVAL_ENTRIES = 2_000
IMAGE_INTERVAL_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingProposal:
    on_applied: Callable[[int], None]
    on_refused: Callable[[str], None]


class Consensus(ports.ReplicaPort):
    """Executes the actions that the consensus state machine requests.

    Not thread-safe: only the replica's thread may use it, except for `state`.

    Args:
      cluster_id: ID of the cluster, from the settings.
      own: Member entry of this replica.
      replica: Consensus state machine of this replica.
      founding: State machine that founds the cluster; runs while the log is
        empty.
      syncer: Writes entries to the data folder of this replica.
      links: Sends messages to the other replicas.
      random_source: Source of the first number of a question to others.
    """

    def __init__(
        self,
        *,
        cluster_id: str,
        own: entries_lib.Member,
        replica: replica_lib.Replica,
        founding: founding_lib.Founding,
        syncer: syncer_lib.Syncer,
        links: replica_links.ReplicaLinks,
        random_source: echoes.Random,
    ) -> None:
        self._log = logs.get_logger("consensus")
        self._cluster_id = cluster_id
        self._own = own
        self._replica = replica
        self._founding = founding
        self._syncer = syncer
        self._links = links
        self._state_machine = replicated_state.ReplicatedState()
        self._state_machine.restore(replica.image)
        self._pending: dict[int, _PendingProposal] = {}
        self._batch: list[events.Proposal] = []
        self._last_proposal_id = 0
        self._discovery = replica_discovery.ReplicaDiscovery(
            cluster_id=cluster_id,
            own=own,
            replica=replica,
            links=links,
            random_source=random_source,
        )
        self._stamp = ports.LeaderStamp(term=0, counter=0)
        self._stamp_at = 0.0
        self._now = 0.0
        self._current_at: float | None = None
        self._connected_members = entries_lib.Members()
        self._is_founding_proposed = False

    @property
    def replica(self) -> replica_lib.Replica:
        """The consensus state machine."""
        return self._replica

    @property
    def state(self) -> state_lib.State:
        """The applied state. Any thread may read it."""
        return self._state_machine.state

    def view(self) -> ports.ClusterView:
        """See base class."""
        is_leader = self._replica.is_confirmed_leader
        return ports.ClusterView(
            state=self._state_machine.state,
            hashed=self._state_machine.hashed,
            is_leader=is_leader,
            leader_id=self.find_replica_id(self._replica.leader),
            stamp=self._stamp,
            stamp_age_s=0.0 if is_leader else self._now - self._stamp_at,
            current_at=self._current_at,
        )

    def propose(
        self,
        command: commands.StoredCommand,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """See base class."""
        proposal_id = self._add_pending(on_applied, on_refused)
        payload = self._state_machine.encode_command(command)
        self._batch.append(
            events.Proposal(proposal_id=proposal_id, payload=payload)
        )

    def propose_members(
        self,
        members: entries_lib.Members,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Proposes a new set of members.

        Args:
          members: The members to replicate.
          on_applied: Called with the version once the change is applied.
          on_refused: Called with the cause when this replica does not lead,
            or no longer knows whether the change was accepted.
        """
        proposal_id = self._add_pending(on_applied, on_refused)
        self._step(
            events.ProposeMembers(proposal_id=proposal_id, members=members)
        )

    def read(
        self,
        on_ready: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Performs a linearizable read.

        Calls `on_ready` once everything that was accepted before this call is
        applied. Calls `on_refused` if this replica can't guarantee that, for
        example because it is a follower.
        """
        proposal_id = self._add_pending(on_ready, on_refused)
        self._step(events.Read(proposal_id=proposal_id))

    def find_replica_id(self, member_id: str) -> str:
        """Returns the replica ID of a member; empty if it is unknown."""
        member = self._replica.members.find(member_id)
        return "" if member is None else member.replica_id

    def find_newcomer(self, replica_id: str) -> entries_lib.Member | None:
        """Returns a replica that recently introduced itself without a log."""
        return self._discovery.find_newcomer(replica_id, self._now)

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Handles one message of the consensus channel."""
        self._now = now
        link = self._links.unwrap(received)
        match link:
            case founding_lib.Introduction():
                self._handle_introduction(link, received.route)
            case (str() as sender, message):
                self._step(
                    events.MessageReceived(sender=sender, message=message)
                )

    def list_newcomers(self) -> tuple[entries_lib.Member, ...]:
        """Returns replicas without a log that recently introduced themselves.

        They are sorted by ID.
        """
        return self._discovery.list_newcomers(self._now)

    def tick(self, now: float) -> None:
        """Handles timeouts; called periodically.

        Raises:
          RemovedError: This replica was removed from the cluster.
        """
        self._now = now
        self._discovery.tick(now)
        if not self._stamp_at:
            # Until there is a first leader stamp, the stamp's age is counted
            # from the first tick.
            self._stamp_at = now
        self._step(events.Tick())
        if self._replica.last_index == 0:
            self._step_founding(founding_lib.Tick())
        self._propose_founding()
        self._create_image_if_due()

    def flush(self, now: float) -> None:
        """Submits the batched proposals and reports finished syncs.

        Raises:
          errors.StorageError: A sync failed; the process must stop.
        """
        self._now = now
        if self._batch:
            proposals = tuple(self._batch)
            self._batch.clear()
            self._step(events.Propose(proposals=proposals))
        while (persisted := self._syncer.poll()) is not None:
            self._step(persisted)
        self._update_stamp()

    def leave(self, now: float) -> None:
        """Hands over leadership and announces that this process stops."""
        self._now = now
        self._step(events.Leave())

    def transfer_leadership_now(self) -> None:
        """Starts a leadership transfer at the time of the current event."""
        self._step(events.TransferLeadership())

    def _add_pending(
        self,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> int:
        self._last_proposal_id += 1
        self._pending[self._last_proposal_id] = _PendingProposal(
            on_applied, on_refused
        )
        return self._last_proposal_id

    def _step(self, event: events.Event) -> None:
        for action in self._replica.step(event, self._now):
            self._carry_out(action)
        age_s = self._replica.compute_age()
        self._current_at = None if age_s is None else self._now - age_s
        if self._replica.members is not self._connected_members:
            self._connected_members = self._replica.members
            self._links.connect(self._connected_members)

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._links.send(action.receiver, action.message)
            case events.Persist():
                self._syncer.put(action)
            case events.Apply():
                self._state_machine.apply(action.entries)
            case events.Restore():
                self._state_machine.restore(action.image)
                self._log.info("snapshot_installed", version=action.image.index)
            case events.Resolve():
                self._pending.pop(action.proposal_id).on_applied(action.index)
            case events.Refuse():
                self._pending.pop(action.proposal_id).on_refused(action.cause)
            case events.RoleChanged():
                self._handle_role_change(action)

    def _handle_role_change(self, action: events.RoleChanged) -> None:
        self._is_founding_proposed = False
        self._log.info(
            "role_changed",
            replica=self._own.replica_id,
            role=action.role.value,
            term=action.term,
            leader=self.find_replica_id(action.leader),
        )

    def _update_stamp(self) -> None:
        stamp = ports.LeaderStamp(
            term=self._replica.term, counter=self._replica.confirmed_round
        )
        newer = (stamp.term, stamp.counter) > (
            self._stamp.term,
            self._stamp.counter,
        )
        if newer and stamp.counter:
            self._stamp = stamp
            self._stamp_at = self._now

    def _handle_introduction(
        self, introduction: founding_lib.Introduction, route: bytes
    ) -> None:
        self._discovery.handle(introduction, route, self._now)
        if self._replica.last_index == 0:
            self._step_founding(
                founding_lib.Introduced(introduction=introduction)
            )

    def _step_founding(self, event: founding_lib.Event) -> None:
        for action in self._founding.step(event, self._now):
            match action:
                case founding_lib.Introduce():
                    self._links.introduce_to_all(action.introduction)
                case founding_lib.StoreFoundingEntry():
                    self._step(events.InitializeLog(entry=action.entry))
                case founding_lib.Stop():
                    raise errors.ConsensusError(
                        step="found cluster", peer="self", cause=action.cause
                    )

    def _propose_founding(self) -> None:
        if (
            self._state_machine.state.snapshot.cluster_id
            or self._is_founding_proposed
            or not self._replica.is_confirmed_leader
        ):
            return
        self._is_founding_proposed = True
        self.propose(
            commands.FoundCluster(cluster_id=self._cluster_id),
            lambda version: self._log.info("cluster_founded", version=version),
            lambda cause: self._log.info("founding_refused", cause=cause),
        )

    def _create_image_if_due(self) -> None:
        version = self._state_machine.version
        entries = version - self._replica.image.index
        if (
            entries < IMAGE_INTERVAL_ENTRIES
            and self._state_machine.log_bytes < IMAGE_INTERVAL_BYTES
        ):
            return
        data = self._state_machine.encode()
        self._step(events.ImageTaken(index=version, data=data))
        self._log.info("snapshot_taken", version=version, bytes=len(data))
