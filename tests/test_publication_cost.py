"""Tests of the memory and traffic of replicas with large configurations."""

import pathlib
import subprocess
import sys
import tempfile

from bench import publication_documents
from returns import result

from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from tests import control_cluster
from tests import fixtures
from tests import publishing_replica

# A configuration of 1,600 routes that grows by 1,440 in a day.
ROUTES = 3_040
# More than the number of publications that a replica stores.
PUBLICATIONS = 80
# Memory of a control VM in the users' largest deployments.
MEMORY_MB = 296
KB_PER_MB = 1_000
# Link of such a VM, and the number of followers of the leader.
LINK_BITS_PER_S = 170_000_000
FOLLOWERS = 5
BITS_PER_BYTE = 8
# Requests that an operator has in progress at a time.
REQUESTS = 8
HEARTBEAT_S = timing.Timing(election_timeout_s=0.5).heartbeat_s
LIMIT_S = 300.0
WAIT_S = 30.0
# Changes of the leader that a test survives.
ATTEMPTS = 20


def test_storm_of_changes_outgrows_the_memory_of_a_replica() -> None:
    """A replica stays within its memory during many publications.

    It runs in a process of its own, which prints its peak memory in kB.
    """
    done = subprocess.run(
        (
            *(sys.executable, "-m", "tests.publishing_replica"),
            *(str(ROUTES), str(PUBLICATIONS)),
        ),
        stdout=subprocess.PIPE,
        check=True,
        timeout=LIMIT_S,
    )
    assert int(done.stdout) < MEMORY_MB * KB_PER_MB, f"{int(done.stdout)} kB"


def test_change_of_a_route_delays_a_heartbeat() -> None:
    """A change is sent to all followers before the next heartbeat is due.

    A larger entry delays the heartbeat behind it on the leader's link.
    """
    author = publication_documents.Author(ROUTES)
    (sent,) = _publish(author.write_command(), author.write_command())[1:]
    seconds = sent * FOLLOWERS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{sent} bytes"


def test_many_new_routes_delay_a_heartbeat() -> None:
    """A large document is sent before the next heartbeat is due.

    Sent are a first document and one that adds as many routes at once.
    """
    author = publication_documents.Author(ROUTES)
    first = author.write_command()
    author.add_routes(ROUTES)
    for sent in _publish(first, author.write_command()):
        seconds = sent * FOLLOWERS * BITS_PER_BYTE / LINK_BITS_PER_S
        assert seconds < HEARTBEAT_S, f"{sent} bytes"


def test_changes_at_a_follower_delay_the_leaders_heartbeat() -> None:
    """Forwarded publications reach the leader within a heartbeat interval."""
    author = publication_documents.Author(ROUTES)
    with control_cluster.ControlCluster() as cluster:
        _forward(cluster, author.write_command())
        for _ in range(ATTEMPTS):
            command = author.write_command()
            carried = _forward(cluster, command)
            if carried is not None:
                break
        newest = _read_newest(cluster)
    assert carried is not None, "no leader kept leading"
    assert newest.document == command.document
    seconds = carried * REQUESTS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{carried} bytes"


def test_reads_at_a_follower_delay_the_leaders_heartbeat() -> None:
    """Reads at a follower that is up to date do not transfer the document."""
    command = publication_documents.Author(ROUTES).write_command()
    with control_cluster.ControlCluster() as cluster:
        _forward(cluster, command)
        for _ in range(ATTEMPTS):
            leader_id, other = _find_members(cluster)
            _wait_until_caught_up(cluster, leader_id, other)
            leader = cluster.programs[leader_id]
            before = leader.traffic_bytes
            outcome = cluster.programs[other].forwarder.read_newest(WAIT_S)
            carried = leader.traffic_bytes - before
            if (
                isinstance(outcome, result.Success)
                and cluster.find_leader() == leader_id
            ):
                break
    assert outcome.unwrap().document == command.document
    seconds = carried * REQUESTS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{carried} bytes"


def _find_members(cluster: control_cluster.ControlCluster) -> tuple[str, str]:
    """Returns the leader and another running replica."""
    leader_id = cluster.find_leader()
    running = cluster.list_running()
    return leader_id, next(name for name in running if name != leader_id)


def _wait_until_caught_up(
    cluster: control_cluster.ControlCluster, leader_id: str, other: str
) -> None:
    """Waits until a replica has applied the leader's last publication."""
    cluster.wait_until(
        lambda: (
            cluster.get_state(other).publication_version
            == cluster.get_state(leader_id).publication_version
        )
    )


def _forward(
    cluster: control_cluster.ControlCluster, command: commands.PublishServices
) -> int | None:
    """Publishes at a follower, again after each change of the leader.

    Returns:
      Bytes that the leader sent and received; None if the leader changed
      meanwhile, so that the bytes are not those of one publication.
    """
    for attempt in range(ATTEMPTS):
        leader_id, other = _find_members(cluster)
        _wait_until_caught_up(cluster, leader_id, other)
        leader = cluster.programs[leader_id]
        before = leader.traffic_bytes
        outcome = cluster.programs[other].forwarder.publish(command, WAIT_S)
        carried = leader.traffic_bytes - before
        if isinstance(outcome, result.Success):
            assert outcome.unwrap().version, outcome
            stayed = cluster.find_leader() == leader_id
            return carried if stayed and not attempt else None
    raise AssertionError(f"not accepted: {outcome}")


def _read_newest(
    cluster: control_cluster.ControlCluster,
) -> operator_messages.NewestAnswer:
    """Reads at a follower, again after each change of the leader."""
    for _ in range(ATTEMPTS):
        _, other = _find_members(cluster)
        outcome = cluster.programs[other].forwarder.read_newest(WAIT_S)
        if isinstance(outcome, result.Success):
            break
    return outcome.unwrap()


def _publish(*published: commands.PublishServices) -> list[int]:
    """Returns the size of the log entry of each publication, in bytes."""
    sizes: list[int] = []
    with (
        tempfile.TemporaryDirectory() as name,
        publishing_replica.open_replica(pathlib.Path(name)) as replica,
    ):
        for command in published:
            replica.publish(command)
            sizes.append(replica.syncer.entry_bytes[-1])
    return sizes


load_tests = fixtures.collect(__name__)
