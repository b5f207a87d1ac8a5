"""Tests of complete control replicas on loopback, with real folders."""

from collections.abc import Iterator
import contextlib
import signal
import types

from lovagesaddle.core import errors
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.http import sockets
from tests import control_cluster
from tests import fixtures
from tests import test_store

NAMES = ("r1", "r2", "r3")
OUTCOME = commands.PublishOutcome


def test_three_replicas_found_a_cluster_and_accept() -> None:
    """Three empty replicas elect a leader and accept a publish."""
    with control_cluster.ControlCluster() as cluster:
        version = cluster.publish("p1", 0).result.version
        for name in NAMES:
            status = cluster.wait_for_status(
                name, lambda status: status.version >= version
            )
            assert status.publication_version == version


def test_publish_survives_a_restart_of_all() -> None:
    """After all replicas restart, a resent publish gets its first answer."""
    with control_cluster.ControlCluster() as cluster:
        first = cluster.publish("p1", 0)
        for name in NAMES:
            cluster.stop(name)
        for name in NAMES:
            cluster.start(name)
        assert cluster.publish("p1", 0).result == first.result


def test_replica_without_a_leader_counts_from_its_start() -> None:
    """Before the first leader, staleness counts from the replica's start."""
    with control_cluster.ControlCluster() as cluster:
        cluster.stop("r2")
        cluster.stop("r3")
        status = cluster.wait_for_status(
            "r1", lambda found: not found.leader_id
        )
        assert 0 <= status.stale_s < control_cluster.WAIT_S


def test_equal_base_names_the_winner() -> None:
    """Of two publishes on one base, the refused one is told the winner."""
    with control_cluster.ControlCluster() as cluster:
        won = cluster.publish("p1", 0).result
        lost = cluster.publish("p2", 0).result
        assert won.outcome is OUTCOME.ACCEPTED
        assert lost.outcome is OUTCOME.CONFLICT
        assert (lost.winner_id, lost.version) == ("p1", won.version)


def test_resend_after_the_leader_stopped_gets_the_same_version() -> None:
    """A new leader answers a resent publish like its predecessor did."""
    with control_cluster.ControlCluster() as cluster:
        first = cluster.publish("p1", 0).result
        cluster.stop(cluster.find_leader())
        assert cluster.publish("p1", 0).result == first


def test_late_stop_is_harmless() -> None:
    """A stop after the replica has ended has no effect."""
    with control_cluster.ControlCluster() as cluster:
        cluster.stop("r1")
        cluster.programs["r1"].stop()


def test_stop_signal_during_a_wake_does_not_deadlock() -> None:
    """A signal handler does not deadlock on the lock of its own thread."""
    with control_cluster.ControlCluster() as cluster:
        program = cluster.programs["r1"]
        with _limit_wait(), program._wake_lock:
            program.stop()


@contextlib.contextmanager
def _limit_wait() -> Iterator[None]:
    """Fails a deadlock of the main thread after `WAIT_S`."""
    previous = signal.signal(signal.SIGALRM, _fail)
    signal.setitimer(signal.ITIMER_REAL, control_cluster.WAIT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)


def _fail(number: int, frame: types.FrameType | None) -> None:
    del number, frame
    raise AssertionError("the signal handler deadlocked with its own thread")


def test_failed_disk_stops_the_leader_unanswered() -> None:
    """A leader that can't sync stops and does not answer its publish."""
    disks = {name: test_store.FaultyDisk() for name in NAMES}
    with control_cluster.ControlCluster(disks=disks) as cluster:
        cluster.publish("p1", 0)
        leader = cluster.find_leader()
        # With all three running, the other two could accept the publish
        # without the leader's disk.
        stopped = next(name for name in NAMES if name != leader)
        cluster.stop(stopped)
        disks[leader].cause = OSError(5, "Input/output error")
        request = operator_messages.PublishRequest(
            request_id="once", command=control_cluster.make_publish("p2", 0)
        )
        assert cluster.ask(leader, request) is None
        assert isinstance(cluster.wait(leader), errors.StorageError)
        cluster.start(stopped)
        second = cluster.publish("p2", 0).result
        assert second.outcome is OUTCOME.CONFLICT


def test_full_disk_does_not_end_a_replica() -> None:
    """A replica with a full disk keeps running and resumes with free space."""
    disks = {name: test_store.FaultyDisk() for name in NAMES}
    with control_cluster.ControlCluster(disks=disks) as cluster:
        cluster.publish("p1", 0)
        full = cluster.find_leader()
        disks[full].cause = OSError(28, "No space left on device")
        first = cluster.get_state(full).publication_version
        accepted = cluster.publish("p2", first).result
        assert accepted.outcome is OUTCOME.ACCEPTED
        assert full not in cluster.failures
        disks[full].cause = None
        stopped = next(n for n in NAMES if n != full)
        cluster.stop(stopped)
        # A majority now requires the disk of this replica.
        third = cluster.publish("p3", accepted.version).result
        assert third.outcome is OUTCOME.ACCEPTED
        assert not cluster.failures


def test_publish_that_needs_a_full_disk_is_not_answered() -> None:
    """A publish that needs a full disk for its majority is not answered.

    It is accepted once the disk has space again.
    """
    disks = {name: test_store.FaultyDisk() for name in NAMES}
    with control_cluster.ControlCluster(disks=disks) as cluster:
        cluster.publish("p1", 0)
        full = cluster.find_leader()
        first = cluster.get_state(full).publication_version
        cluster.stop(next(n for n in NAMES if n != full))
        disks[full].cause = OSError(28, "No space left on device")
        request = operator_messages.PublishRequest(
            request_id="once",
            command=control_cluster.make_publish("p2", first),
        )
        assert cluster.ask(full, request) is None
        assert all(
            cluster.get_state(name).publication_version == first
            for name in cluster.programs
        )
        disks[full].cause = None
        assert cluster.publish("p2", first).result.outcome is OUTCOME.ACCEPTED
        assert not cluster.failures


def test_emptied_folder_is_refused_and_replaced() -> None:
    """A replica that lost its disk can't found a cluster.

    It stops, and votes again once an operator has replaced it.
    """
    with control_cluster.ControlCluster() as cluster:
        cluster.publish("p1", 0)
        lost = next(n for n in NAMES if n != cluster.find_leader())
        cluster.stop(lost)
        cluster.start(lost, is_founding=True, folder="empty")
        assert isinstance(cluster.wait(lost), errors.ConsensusError)
        cluster.start(lost, folder="new")
        cluster.wait_until(
            lambda: cluster.change("replace", lost, replaced_id=lost).accepted
        )
        status = cluster.wait_for_status(
            cluster.find_leader(), _has_three_synced_voters
        )
        second = next(n for n in NAMES if n not in (lost, status.leader_id))
        cluster.stop(second)
        assert cluster.publish("p1", 0).result.outcome is OUTCOME.ACCEPTED
        assert cluster.publish("p2", 0).result.winner_id == "p1"


def test_replica_is_added_and_removed() -> None:
    """A fourth replica joins as a learner, votes, and can be removed."""
    address = f"tcp://127.0.0.1:{sockets.find_free_ports(1)[0]}"
    with control_cluster.ControlCluster() as cluster:
        version = cluster.publish("p1", 0).result.version
        assert not cluster.change("add", "r4").accepted
        cluster.start("r4", address=address)
        cluster.wait_until(lambda: cluster.change("add", "r4").accepted)
        cluster.wait_for_status(
            "r4",
            lambda status: (
                status.publication_version == version
                and len(status.replicas) == len(NAMES) + 1
                and all(r.role != "learner" for r in status.replicas)
            ),
        )
        cluster.wait_until(lambda: cluster.change("remove", "r4").accepted)
        status = cluster.wait_for_status(
            cluster.find_leader(),
            lambda status: len(status.replicas) == len(NAMES),
        )
        assert "r4" not in {r.replica_id for r in status.replicas}


def _has_three_synced_voters(status: operator_messages.StatusAnswer) -> bool:
    return len(status.replicas) == len(NAMES) and all(
        replica.role != "learner" and replica.matched_version >= status.version
        for replica in status.replicas
    )


load_tests = fixtures.collect(__name__)
