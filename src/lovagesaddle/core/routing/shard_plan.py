"""Plans which nodes hold the claims of each shard."""

from collections.abc import Collection, Sequence
import hashlib

from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots

SHARD_COUNT = 32
HOLDERS_PER_SHARD = 3
MAX_SHARDS_PER_COMMAND = 8


def plan_shards(
    snapshot: snapshots.Snapshot,
    *,
    unsettled: Collection[int] = (),
    shard_count: int = SHARD_COUNT,
) -> commands.AssignShards | None:
    """Returns the next assignment of shards, or None when none is due.

    A holder stays as long as its node keeps its incarnation and is not
    leaving. One that is gone or leaving is replaced, preferably by a node of
    a failure domain without a holder.

    Args:
      snapshot: The applied state; its number of shards never changes.
      unsettled: Numbers of the shards that changed so recently that their
        handover may still be in progress; they are not changed.
      shard_count: Number of shards.
    """
    if not snapshot.nodes:
        return None
    held = {shard.number: shard for shard in snapshot.shards}
    leaving = list_leaving_nodes(snapshot)
    planned: list[snapshots.Shard] = []
    for number in range(shard_count):
        if number in unsettled or len(planned) >= MAX_SHARDS_PER_COMMAND:
            continue
        shard = _plan_shard(number, held.get(number), snapshot, leaving)
        if shard is not None:
            planned.append(shard)
    if not planned:
        return None
    return commands.AssignShards(shards=tuple(planned))


def list_leaving_nodes(snapshot: snapshots.Snapshot) -> frozenset[str]:
    """Returns IDs of nodes whose backend servers are all draining."""
    states: dict[str, set[snapshots.ServerState]] = {}
    for server in snapshot.servers:
        states.setdefault(server.node_id, set()).add(server.state)
    draining = {snapshots.ServerState.DRAINING}
    return frozenset(
        node_id for node_id, found in states.items() if found == draining
    )


def _plan_shard(
    number: int,
    held: snapshots.Shard | None,
    snapshot: snapshots.Snapshot,
    leaving: frozenset[str],
) -> snapshots.Shard | None:
    staying = [node for node in snapshot.nodes if node.node_id not in leaving]
    candidates = staying or list(snapshot.nodes)
    former = held.holders if held is not None else ()
    alive = {(node.node_id, node.incarnation): node for node in candidates}
    kept = [
        alive[holder.node_id, holder.incarnation]
        for holder in former
        if (holder.node_id, holder.incarnation) in alive
    ]
    chosen = _choose_holders(number, kept, candidates)
    holders = tuple(
        snapshots.Holder(node_id=node.node_id, incarnation=node.incarnation)
        for node in chosen
    )
    if set(holders) == set(former):
        return None
    return snapshots.Shard(
        number=number,
        epoch=1 if held is None else held.epoch + 1,
        holders=holders,
        previous=former,
    )


def _choose_holders(
    number: int,
    kept: Sequence[snapshots.Node],
    candidates: Sequence[snapshots.Node],
) -> list[snapshots.Node]:
    chosen = list(kept)
    ranked = sorted(
        candidates,
        key=lambda node: _compute_rank(number, node.node_id),
        reverse=True,
    )
    while len(chosen) < min(HOLDERS_PER_SHARD, len(candidates)):
        taken = {node.node_id for node in chosen}
        domains = {node.failure_domain for node in chosen}
        free = [node for node in ranked if node.node_id not in taken]
        spread = [node for node in free if node.failure_domain not in domains]
        chosen.append((spread or free)[0])
    return sorted(chosen, key=lambda node: node.node_id)


def _compute_rank(number: int, node_id: str) -> bytes:
    text = f"{number}/{node_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
