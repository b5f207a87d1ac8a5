"""Tests of the replica core on fake networks and disks."""

from lovagesaddle.core.consensus import events
from tests import fixtures
from tests import replica_cluster


def test_publish_reaches_every_replica() -> None:
    """An accepted command is applied by all replicas at the same index."""
    cluster = replica_cluster.Cluster(seed=1)
    index = cluster.publish(b"one")
    cluster.run_until(
        lambda: all(host.applied >= index for host in cluster.hosts.values())
    )


def test_leader_loss_elects_another() -> None:
    """After the loss of the leader the others go on from what it accepted."""
    cluster = replica_cluster.Cluster(seed=2)
    cluster.publish(b"one")
    old = cluster.find_leader()
    cluster.crash(old)
    cluster.publish(b"two")
    assert cluster.find_leader() != old
    cluster.check_accepted_kept()


def test_minority_leader_steps_down() -> None:
    """A leader that is cut off steps down and accepts nothing meanwhile."""
    cluster = replica_cluster.Cluster(seed=3)
    cluster.publish(b"one")
    old = cluster.find_leader()
    cluster.partition((old,))
    lost = cluster.propose(old, b"lost")
    cluster.run_until(lambda: cluster.get(old).role is not events.Role.LEADER)
    assert lost not in cluster.accepted
    assert lost in cluster.refused
    cluster.publish(b"two")
    cluster.check_accepted_kept()


load_tests = fixtures.collect(__name__)
