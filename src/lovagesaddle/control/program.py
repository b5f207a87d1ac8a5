"""Assembles a control replica and runs its event loop on one thread.

`main` parses the command line and restarts a removed replica as a new one.
"""

from collections.abc import Callable
import contextlib
import pathlib
import random
import threading
from typing import Self
import uuid

import zmq

from lovagesaddle import clocks
from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.control import distribution
from lovagesaddle.control import forwarder as forwarder_lib
from lovagesaddle.control import operator_requests
from lovagesaddle.control import ports
from lovagesaddle.control import replica_changes
from lovagesaddle.control import replica_links
from lovagesaddle.control import rollouts as rollouts_lib
from lovagesaddle.control import shard_assigner
from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding as founding_lib
from lovagesaddle.core.consensus import replica as replica_lib
from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import peers
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import store as store_lib
from lovagesaddle.storage import syncer as syncer_lib
from lovagesaddle.transport import endpoint as endpoint_lib
from lovagesaddle.transport import keys as keys_lib

TICK_INTERVAL_S = 0.02
TRANSFER_TIMEOUT_S = 2.0
# Share of the grace period for which a stopping replica waits for a successor;
# the rest is left to close its links and its folder.
LEAVE_SHARE = 0.5


class _SystemRandom(timing.RandomSource):
    """Draws random numbers from the operating system."""

    def __init__(self) -> None:
        self._random = random.SystemRandom()

    def random(self) -> float:
        """See base class."""
        return self._random.random()


class ControlProgram:
    """Runs one replica; a context manager.

    The thread that calls `run` is the replica's thread. Several replicas may
    run in one process, each on a thread of its own.

    Args:
      settings: Settings of the replica.
      context: ZeroMQ context of the process.
      is_founding: Whether a replica with an empty data folder may found the
        cluster; otherwise it waits until an operator adds it.
      disk: File operations; those of the operating system if None.

    Raises:
      errors.StorageError: The data folder can't be used.
      errors.TransportError: The address can't be bound.
    """

    def __init__(
        self,
        settings: schema.ControlSettings,
        context: zmq.Context[zmq.Socket[bytes]],
        *,
        is_founding: bool = False,
        disk: disk_lib.Disk | None = None,
    ) -> None:
        self._settings = settings
        self._log = logs.get_logger("control")
        self._stopping = threading.Event()
        # Reentrant: a signal handler calls `stop` on the thread that it
        # interrupts, which may hold the lock already.
        self._wake_lock = threading.RLock()
        self._is_closed = False
        self._stack = contextlib.ExitStack()
        try:
            self._open(context, is_founding, disk)
        except BaseException:
            self._stack.close()
            raise

    def _open(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        is_founding: bool,
        disk: disk_lib.Disk | None,
    ) -> None:
        settings = self._settings
        self._store = self._stack.enter_context(
            store_lib.Store(
                folder=pathlib.Path(settings.data_folder),
                identity=_make_identity(settings),
                disk=disk,
            )
        )
        self._endpoint = self._stack.enter_context(
            endpoint_lib.Endpoint(
                context=context,
                own_id=settings.replica_id,
                bind_address=settings.address,
                keys=keys_lib.load(settings.keys),
            )
        )
        self._syncer = self._stack.enter_context(
            syncer_lib.Syncer(store=self._store, on_synced=self._wake)
        )
        self._consensus = self._make_consensus(is_founding)
        self._subsystems = self._make_subsystems()
        self._last_view: ports.ClusterView | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        with self._wake_lock:
            self._is_closed = True
        self._stack.close()

    @property
    def forwarder(self) -> forwarder_lib.Forwarder:
        """Forwards publishes and reads of other threads of this process."""
        return self._forwarder

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent to and received from other processes.

        Any thread may read it.
        """
        return self._endpoint.traffic_bytes

    @property
    def is_stopping(self) -> bool:
        """Whether `stop` was called."""
        return self._stopping.is_set()

    def stop(self) -> None:
        """Makes `run` hand over leadership and return.

        Any thread may call it, also after the replica has been closed.
        """
        self._stopping.set()
        self._wake()

    def run(self) -> None:
        """Serves until `stop` is called.

        Raises:
          errors.StorageError: Reading or writing the data folder failed.
          errors.ConsensusError: The log is inconsistent with the cluster's, or
            this replica was removed from the cluster.
        """
        self._log.info(
            "replica_started",
            replica=self._settings.replica_id,
            member=self._store.identity.member_id,
            version=self._consensus.view().state.snapshot.version,
        )
        self._serve_until(self._stopping.is_set)
        self._leave()
        self._forwarder.close()
        self._log.info(
            "replica_stopped",
            replica=self._settings.replica_id,
            syncs=self._store.sync_count,
            traffic_bytes=self._endpoint.traffic_bytes,
        )

    def _leave(self) -> None:
        """Serves until another replica leads and votes in this one's place.

        Waits for a successor as a voter only if there is a standby.
        """
        replica = self._consensus.replica
        was_voter = not replica.has_left_voters
        started_at = clocks.read_uptime()
        self._consensus.leave(started_at)
        self._serve_until(
            lambda: (
                not replica.is_confirmed_leader
                or clocks.read_uptime() >= started_at + TRANSFER_TIMEOUT_S
            )
        )
        leave_until = started_at + self._settings.grace_s * LEAVE_SHARE
        self._serve_until(
            lambda: (
                replica.has_left_voters
                or not replica.may_be_replaced(
                    tolerated=self._settings.tolerated_losses
                )
                or clocks.read_uptime() >= leave_until
            )
        )
        self._log.info(
            "replica_left",
            replica=self._settings.replica_id,
            was_voter=was_voter,
            is_voter=not replica.has_left_voters,
            waited_s=round(clocks.read_uptime() - started_at, 3),
        )

    def _serve_until(self, is_done: Callable[[], bool]) -> None:
        next_tick = clocks.read_uptime()
        while not is_done():
            received = self._endpoint.receive(next_tick - clocks.read_uptime())
            now = clocks.read_uptime()
            for message in received:
                self._dispatch(message, now)
            if now >= next_tick:
                next_tick = now + TICK_INTERVAL_S
                self._tick(now)
            self._forwarder.flush()
            self._consensus.flush(now)
            self._observe(now)

    def _dispatch(self, received: endpoint_lib.Received, now: float) -> None:
        try:
            if received.channel is endpoint_lib.Channel.CONSENSUS:
                self._consensus.receive(received, now)
            for subsystem in self._subsystems:
                if subsystem.channel is received.channel:
                    subsystem.receive(received, now)
        except errors.CodecError as error:
            self._log.warning(
                "message_dropped", peer=received.sender_id, cause=error.cause
            )

    def _tick(self, now: float) -> None:
        self._consensus.tick(now)
        for subsystem in self._subsystems:
            subsystem.tick(now)

    def _observe(self, now: float) -> None:
        view = self._consensus.view()
        if not _has_changed(self._last_view, view):
            return
        self._last_view = view
        for subsystem in self._subsystems:
            subsystem.observe(view, now)

    def _wake(self) -> None:
        with self._wake_lock:
            if not self._is_closed:
                self._endpoint.wake()

    def _make_consensus(self, is_founding: bool) -> consensus_lib.Consensus:
        settings = self._settings
        own = entries_lib.Member(
            member_id=self._store.identity.member_id,
            replica_id=settings.replica_id,
            address=settings.address,
            public_key=_find_public_key(settings),
        )
        return consensus_lib.Consensus(
            cluster_id=settings.cluster_id,
            own=own,
            replica=replica_lib.Replica(
                own_id=own.member_id,
                restored=self._store.restored,
                limits=timing.Timing(
                    election_timeout_s=settings.election_timeout_s
                ),
                random=_SystemRandom(),
            ),
            founding=founding_lib.Founding(
                cluster_id=settings.cluster_id,
                own=own,
                founders=tuple(r.replica_id for r in settings.replicas),
                is_founding=is_founding,
            ),
            syncer=self._syncer,
            links=replica_links.ReplicaLinks(
                endpoint=self._endpoint,
                cluster_id=settings.cluster_id,
                own_id=own.member_id,
                replicas=settings.replicas,
            ),
            random_source=_SystemRandom(),
        )

    def _make_subsystems(self) -> tuple[ports.Subsystem, ...]:
        rollouts = (
            rollouts_lib.Rollouts(
                self._consensus, self._settings.exposure_share
            )
            if self._settings.rollback_bound_s
            else None
        )
        distributor = distribution.Distribution(
            own_id=self._settings.replica_id,
            endpoint=self._endpoint,
            replica=self._consensus,
            list_replicas=self._list_replicas,
            heartbeat_s=self._settings.heartbeat_s,
            lease_s=self._settings.lease_s,
            expiry_share=self._settings.expiry_share,
            deliver_evidence=None
            if rollouts is None
            else rollouts.add_evidence,
        )
        operators = operator_requests.OperatorRequests(
            own_id=self._settings.replica_id,
            endpoint=self._endpoint,
            consensus=self._consensus,
            replicas=replica_changes.ReplicaChanges(
                consensus=self._consensus,
                own_id=self._store.identity.member_id,
                tolerated=self._settings.tolerated_losses,
            ),
            node_versions=distributor,
            rolls_out=rollouts is not None,
        )
        self._forwarder = forwarder_lib.Forwarder(
            own_id=self._settings.replica_id,
            endpoint=self._endpoint,
            consensus=self._consensus,
            operators=operators,
            wake=self._wake,
        )
        subsystems: list[ports.Subsystem] = [
            operators,
            self._forwarder,
            distributor,
        ]
        if rollouts is not None:
            subsystems.append(rollouts)
        if self._settings.claims:
            subsystems.append(shard_assigner.ShardAssigner(self._consensus))
        return tuple(subsystems)

    def _list_replicas(self) -> tuple[peers.Peer, ...]:
        members = self._consensus.replica.members.members
        return tuple(replica_links.make_peer(member) for member in members)


def _make_identity(settings: schema.ControlSettings) -> identity_lib.Identity:
    return identity_lib.Identity(
        cluster_id=settings.cluster_id,
        replica_id=settings.replica_id,
        member_id=f"{settings.replica_id}-{uuid.uuid4().hex[:16]}",
    )


def _find_public_key(settings: schema.ControlSettings) -> str:
    for replica in settings.replicas:
        if replica.replica_id == settings.replica_id:
            return replica.public_key
    return ""


def _has_changed(
    before: ports.ClusterView | None, after: ports.ClusterView
) -> bool:
    return before is None or (
        before.hashed is not after.hashed
        or before.is_leader != after.is_leader
        or before.leader_id != after.leader_id
        or before.stamp != after.stamp
    )
