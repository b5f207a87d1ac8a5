"""Assigns the shards of claims to nodes while this replica leads."""

from lovagesaddle.control import ports
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import shard_plan
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint as endpoint_lib

PLAN_INTERVAL_S = 1.0
SETTLE_TIME_S = 5.0


class ShardAssigner(ports.Subsystem):
    """Proposes a new assignment when nodes that hold shards left or joined.

    A shard that changed within the last `SETTLE_TIME_S` is not reassigned, so
    that its new holders can copy the claims from the former ones.

    Args:
      replica: Consensus of this replica.
    """

    def __init__(self, replica: ports.ReplicaPort) -> None:
        self._log = logs.get_logger("shards")
        self._replica = replica
        self._shards: tuple[snapshots.Shard, ...] = ()
        self._changed_at: dict[int, float] = {}
        self._planned_at = 0.0
        self._is_leader = False
        self._is_pending = False

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel of claims; a replica receives no messages on it."""
        return endpoint_lib.Channel.CLAIMS

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Drops a message, because only nodes exchange claims."""
        del now
        self._log.warning("message_dropped", peer=received.sender_id)

    def tick(self, now: float) -> None:
        """Proposes the next assignment if one is due."""
        due = now - self._planned_at >= PLAN_INTERVAL_S
        if not self._is_leader or self._is_pending or not due:
            return
        self._planned_at = now
        command = shard_plan.plan_shards(
            self._replica.view().state.snapshot,
            unsettled=self._list_unsettled(now),
        )
        if command is None:
            return
        self._is_pending = True
        for shard in command.shards:
            self._log.info(
                "shard_assigned",
                shard=shard.number,
                epoch=shard.epoch,
                holders=tuple(holder.node_id for holder in shard.holders),
                reason="founded" if shard.epoch == 1 else "holders-changed",
            )
        self._replica.propose(
            command, self._handle_applied, self._handle_refused
        )

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Handles a new applied state, leader or leader stamp."""
        shards = view.state.snapshot.shards
        if view.is_leader and not self._is_leader:
            # This replica just became the leader and does not know when its
            # predecessor changed a shard, so every shard counts as just
            # changed.
            self._changed_at = {shard.number: now for shard in shards}
        elif shards is not self._shards:
            self._record_changes(shards, now)
        self._shards = shards
        self._is_leader = view.is_leader

    def _record_changes(
        self, shards: tuple[snapshots.Shard, ...], now: float
    ) -> None:
        epochs = {shard.number: shard.epoch for shard in self._shards}
        for shard in shards:
            if epochs.get(shard.number) != shard.epoch:
                self._changed_at[shard.number] = now

    def _list_unsettled(self, now: float) -> frozenset[int]:
        return frozenset(
            number
            for number, changed_at in self._changed_at.items()
            if now - changed_at < SETTLE_TIME_S
        )

    def _handle_applied(self, version: int) -> None:
        del version
        self._is_pending = False

    def _handle_refused(self, cause: str) -> None:
        self._is_pending = False
        self._log.warning("assignment_refused", cause=cause)
