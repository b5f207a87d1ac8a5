"""Tests of the selection of parents in the relay tree."""

import collections
import dataclasses
import math

from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh

REPLICAS = tuple(peers.Peer(peer_id=f"r{n}", address="") for n in range(3))


def _make_snapshot(count: int) -> snapshots.Snapshot:
    return snapshots.Snapshot(
        cluster_id=mesh.CLUSTER_ID,
        version=1,
        nodes=tuple(mesh.make_node(f"a{n:03d}") for n in range(count)),
    )


def _plan_parents(
    snapshot: snapshots.Snapshot, node_id: str
) -> relay_tree.ParentPlan:
    return relay_tree.plan_parents(snapshot, node_id, "a", REPLICAS)


def test_only_the_roots_hang_on_replicas() -> None:
    """Of 183 nodes only the roots have a replica as first parent."""
    snapshot = _make_snapshot(183)
    firsts = collections.Counter(
        _plan_parents(snapshot, node.node_id).eager[0].peer_id
        for node in snapshot.nodes
    )
    at_replicas = [firsts[replica.peer_id] for replica in REPLICAS]
    most = math.ceil(relay_tree.ROOT_COUNT / len(REPLICAS))
    assert (
        sum(at_replicas) == relay_tree.ROOT_COUNT and max(at_replicas) == most
    )
    assert max(firsts.values()) <= 4 * relay_tree.FAN_OUT


def test_lazy_parents_are_replicas() -> None:
    """Each of 183 nodes has a replica as lazy parent, in equal shares.

    What proves a version to be the newest thus depends on no other node.
    """
    snapshot = _make_snapshot(183)
    firsts: collections.Counter[str] = collections.Counter()
    for node in snapshot.nodes:
        plan = _plan_parents(snapshot, node.node_id)
        lazy = [peer for peer in plan.lazy if peer != plan.eager[0]]
        firsts[lazy[0].peer_id] += 1
    shares = [firsts[replica.peer_id] for replica in REPLICAS]
    assert sum(shares) == len(snapshot.nodes), firsts
    assert max(shares) <= 1.25 * len(snapshot.nodes) / len(REPLICAS), firsts


def test_lazy_nodes_lie_in_another_branch() -> None:
    """At most 6 of 183 nodes have the first nodes of both kinds in a branch.

    The lazy one is for times in which no replica is reached.
    """
    snapshot = _make_snapshot(183)
    domain = relay_tree.RelayTree(snapshot.nodes)
    roots = {root.node_id for root in domain.roots}
    same = 0
    for node in snapshot.nodes:
        if node.node_id in roots:
            continue
        plan = _plan_parents(snapshot, node.node_id)
        lazy = next(peer for peer in plan.lazy if peer not in REPLICAS)
        assert lazy != plan.eager[0]
        same += domain.find_root(plan.eager[0].peer_id) == domain.find_root(
            lazy.peer_id
        )
    assert same <= 6, same


def test_a_node_that_leaves_moves_few_others() -> None:
    """Removing one of 183 nodes changes at most a tenth of the parents."""
    snapshot = _make_snapshot(183)
    for gone in range(0, 183, 20):
        nodes = snapshot.nodes[:gone] + snapshot.nodes[gone + 1 :]
        after = dataclasses.replace(snapshot, nodes=nodes)
        moved = sum(
            _plan_parents(snapshot, node.node_id).eager[0]
            != _plan_parents(after, node.node_id).eager[0]
            for node in nodes
        )
        assert moved <= 4 * relay_tree.FAN_OUT, (gone, moved)


def test_a_node_that_is_not_listed_hangs_on_replicas() -> None:
    """A node that is absent from the snapshot gets replicas as parents."""
    plan = _plan_parents(_make_snapshot(5), "z")
    assert set(plan.eager) == set(REPLICAS) == set(plan.lazy)


load_tests = fixtures.collect(__name__)
