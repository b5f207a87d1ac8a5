"""Tests of linearizable reads."""

from lovagesaddle.core.consensus import events
from tests import fixtures
from tests import replica_cluster

READ_ID = 1_000_000


def _read(cluster: replica_cluster.Cluster, name: str) -> None:
    cluster.step(name, events.Read(proposal_id=READ_ID))


def _is_refused(cluster: replica_cluster.Cluster) -> bool:
    return READ_ID in cluster.refused


def test_read_sees_what_was_accepted_before_it() -> None:
    """A read returns an index that includes all entries accepted before it."""
    cluster = replica_cluster.Cluster(seed=11)
    index = cluster.publish(b"one")
    _read(cluster, cluster.find_leader())
    cluster.run_until(lambda: READ_ID in cluster.reads)
    assert cluster.reads[READ_ID] >= index


def test_follower_refuses_a_read_at_once() -> None:
    """A follower can't know the newest entry, so it refuses reads."""
    cluster = replica_cluster.Cluster(seed=12)
    leader = cluster.wait_for_leader()
    other = next(name for name in cluster.hosts if name != leader)
    _read(cluster, other)
    assert _is_refused(cluster)


def test_leader_that_was_cut_off_never_answers_a_read() -> None:
    """A partitioned leader, not yet aware of its loss, refuses a read."""
    cluster = replica_cluster.Cluster(seed=13)
    cluster.publish(b"one")
    old = cluster.find_leader()
    cluster.partition((old,))
    _read(cluster, old)
    cluster.run_until(lambda: _is_refused(cluster))
    assert READ_ID not in cluster.reads


load_tests = fixtures.collect(__name__)
