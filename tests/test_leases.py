"""Tests of leases, acks and the cap on expiry."""

from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import tokens
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh

LEASE_S = 6.0


def _make_nodes(count: int) -> tuple[snapshots.Node, ...]:
    return tuple(
        mesh.make_node(f"a{n:02d}", incarnation=1) for n in range(count)
    )


def _report(
    version: int, nodes: tuple[snapshots.Node, ...]
) -> tuple[messages.AckGroup, ...]:
    joined = b"".join(
        tokens.make_token(node.node_id, node.incarnation) for node in nodes
    )
    return (messages.AckGroup(version=version, tokens=joined),)


def _start(count: int) -> tuple[leases_lib.Leases, tuple[snapshots.Node, ...]]:
    leases = leases_lib.Leases(lease_s=LEASE_S, expiry_share=0.34)
    nodes = _make_nodes(count)
    leases.set_nodes(nodes, 0.0)
    return leases, nodes


def test_a_node_without_an_ack_lags() -> None:
    """Only current nodes count, and one that never reported lags."""
    leases, nodes = _start(3)
    leases.record_acks(_report(7, nodes[:2]), 1.0)
    assert leases.list_lagging(7) == ("a02",)
    assert leases.get_lowest_acked_version() == 7
    leases.record_acks(_report(9, nodes[:1]), 2.0)
    assert leases.list_lagging(8) == ("a01", "a02")
    leases.set_nodes(nodes[:1], 3.0)
    assert leases.list_lagging(9) == ()
    assert leases.get_lowest_acked_version() == 9


def test_acks_of_an_earlier_incarnation_renew_nothing() -> None:
    """An ack of an older incarnation renews no lease."""
    leases, _ = _start(3)
    for now in range(1, 8):
        old = tuple(
            mesh.make_node(f"a{n:02d}", incarnation=0) for n in range(3)
        )
        leases.record_acks(_report(5, old), float(now))
    assert leases.list_lagging(1) == ("a00", "a01", "a02")


def test_single_nodes_expire_and_a_partition_does_not() -> None:
    """Up to the share of a domain expires; beyond it no node does."""
    leases, nodes = _start(9)
    leases.record_acks(_report(1, nodes[:6]), 5.0)
    few = leases.sweep(7.0)
    assert [node.node_id for node in few.expired] == ["a06", "a07", "a08"]
    leases, nodes = _start(9)
    leases.record_acks(_report(1, nodes[:5]), 5.0)
    many = leases.sweep(7.0)
    assert (many.expired, many.blocked_domains) == ((), ("a",))


def test_a_partition_that_lapses_one_by_one_is_held() -> None:
    """Nodes cut off together do not expire, though leases lapse in turn."""
    leases, nodes = _start(9)
    for index, node in enumerate(nodes):
        leases.record_acks(_report(1, (node,)), 1.0 + index / 4)
    for step in range(40):
        assert not leases.sweep(3.0 + step / 4).expired


def test_expiry_in_sequence_is_capped_too() -> None:
    """Expiries some seconds apart count together for a minute."""
    leases, nodes = _start(9)
    expired: set[str] = set()
    for second in range(1, 50):
        alive = nodes[second // 5 :]
        leases.record_acks(_report(1, alive), float(second))
        expired |= {n.node_id for n in leases.sweep(float(second)).expired}
    assert len(expired) == 3, expired


def test_a_new_leader_gives_every_lease_a_fresh_start() -> None:
    """Nodes are not expired for missing acks from before this leader."""
    leases, nodes = _start(9)
    leases.record_acks(_report(1, nodes[1:]), 99.0)
    leases.renew_all(100.0)
    assert not leases.sweep(105.0).expired


load_tests = fixtures.collect(__name__)
