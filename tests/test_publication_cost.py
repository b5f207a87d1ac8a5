"""Tests of the memory and traffic of replicas with large configurations."""

import pathlib
import subprocess
import sys
import tempfile

from bench import publication_documents

from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import commands
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


def test_changes_at_a_follower_delay_the_leaders_heartbeat() -> None:
    """Forwarded publications reach the leader within a heartbeat interval."""
    author = publication_documents.Author(ROUTES)
    first, second = author.write_command(), author.write_command()
    with control_cluster.ControlCluster() as cluster:
        leader_id = cluster.find_leader()
        other = next(name for name in cluster.programs if name != leader_id)
        leader = cluster.programs[leader_id]
        forwarder = cluster.programs[other].forwarder
        assert forwarder.publish(first, WAIT_S).unwrap().version
        _wait_until_caught_up(cluster, leader_id, other)
        before = leader.traffic_bytes
        assert forwarder.publish(second, WAIT_S).unwrap().version
        carried = leader.traffic_bytes - before
        newest = forwarder.read_newest(WAIT_S).unwrap()
    assert newest.document == second.document
    seconds = carried * REQUESTS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{carried} bytes"


def test_reads_at_a_follower_delay_the_leaders_heartbeat() -> None:
    """Reads at a follower that is up to date do not transfer the document."""
    command = publication_documents.Author(ROUTES).write_command()
    with control_cluster.ControlCluster() as cluster:
        leader_id = cluster.find_leader()
        other = next(name for name in cluster.programs if name != leader_id)
        leader = cluster.programs[leader_id]
        forwarder = cluster.programs[other].forwarder
        assert forwarder.publish(command, WAIT_S).unwrap().version
        _wait_until_caught_up(cluster, leader_id, other)
        before = leader.traffic_bytes
        newest = forwarder.read_newest(WAIT_S).unwrap()
        carried = leader.traffic_bytes - before
    assert newest.document == command.document
    seconds = carried * REQUESTS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{carried} bytes"


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
