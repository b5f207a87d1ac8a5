"""Tests of the plan of which nodes hold the claims of each shard."""

import dataclasses

from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import shard_plan
from tests import fixtures
from tests import routing_mesh


def _plan_all(state: state_lib.State) -> state_lib.State:
    """Plans and applies assignments until none is due."""
    for _ in range(shard_plan.SHARD_COUNT):
        command = shard_plan.plan_shards(state.snapshot)
        if command is None:
            return state
        version = state.snapshot.version + 1
        state = state_lib.apply_command(state, version, command).state
    raise AssertionError("planning does not come to an end")


def _found(count: int) -> state_lib.State:
    snapshot = routing_mesh.make_snapshot(count=count)
    return _plan_all(state_lib.State(snapshot=snapshot))


def _domains(state: state_lib.State, shard: snapshots.Shard) -> set[str]:
    domain_of = {
        node.node_id: node.failure_domain for node in state.snapshot.nodes
    }
    return {domain_of[holder.node_id] for holder in shard.holders}


def test_holders_are_spread_over_failure_domains() -> None:
    """Each shard has three holders in three failure domains."""
    state = _found(9)
    assert len(state.snapshot.shards) == shard_plan.SHARD_COUNT
    for shard in state.snapshot.shards:
        assert len(_domains(state, shard)) == shard_plan.HOLDERS_PER_SHARD, (
            shard
        )
    used = {
        holder.node_id
        for shard in state.snapshot.shards
        for holder in shard.holders
    }
    assert len(used) == 9


def test_lost_node_changes_only_its_own_shards() -> None:
    """A plan after a loss replaces one holder and lists the former ones."""
    before = _found(9)
    gone = before.snapshot.nodes[0].node_id
    snapshot = dataclasses.replace(
        before.snapshot, nodes=before.snapshot.nodes[1:]
    )
    after = _plan_all(dataclasses.replace(before, snapshot=snapshot))
    for old, new in zip(
        before.snapshot.shards, after.snapshot.shards, strict=True
    ):
        touched = any(holder.node_id == gone for holder in old.holders)
        assert (old != new) is touched
        if touched:
            assert new.epoch == old.epoch + 1
            assert new.previous == old.holders
            assert len(set(new.holders) & set(old.holders)) == 2


def test_restarted_node_is_another_holder() -> None:
    """A node that restarted is assigned again, by its new incarnation."""
    before = _found(3)
    reborn = dataclasses.replace(before.snapshot.nodes[0], incarnation=2)
    nodes = (reborn, *before.snapshot.nodes[1:])
    snapshot = dataclasses.replace(before.snapshot, nodes=nodes)
    after = _plan_all(dataclasses.replace(before, snapshot=snapshot))
    holder = snapshots.Holder(node_id=reborn.node_id, incarnation=2)
    for shard in after.snapshot.shards:
        assert shard.epoch == 2
        assert holder in shard.holders


def test_leaving_node_hands_over_before_it_is_gone() -> None:
    """A node whose servers drain is replaced while it still runs."""
    before = _found(9)
    leaving = dataclasses.replace(
        before.snapshot.servers[0], state=snapshots.ServerState.DRAINING
    )
    servers = (leaving, *before.snapshot.servers[1:])
    snapshot = dataclasses.replace(before.snapshot, servers=servers)
    after = _plan_all(dataclasses.replace(before, snapshot=snapshot))
    for shard in after.snapshot.shards:
        holders = {holder.node_id for holder in shard.holders}
        assert leaving.node_id not in holders


def test_commands_are_small_and_leave_unsettled_shards_alone() -> None:
    """A command changes few shards, and none that may still be moving."""
    snapshot = routing_mesh.make_snapshot(count=9)
    unsettled = frozenset(range(20))
    command = shard_plan.plan_shards(snapshot, unsettled=unsettled)
    assert command is not None
    numbers = [shard.number for shard in command.shards]
    assert numbers == list(range(20, 28))


def test_mesh_without_nodes_has_no_plan() -> None:
    """No shard is assigned before a node joined."""
    assert shard_plan.plan_shards(routing_mesh.make_snapshot(count=0)) is None


load_tests = fixtures.collect(__name__)
