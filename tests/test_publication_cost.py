"""Tests of what many publications of a large configuration cost a replica."""

import pathlib
import subprocess
import sys
import tempfile

from bench import publication_documents

from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import commands
from tests import fixtures
from tests import publishing_replica

# A configuration of 1,600 routes that a day extends by 1,440.
ROUTES = 3_040
# The kept publications, and some more.
PUBLICATIONS = 80
# Memory of a control VM of the users' grown deployments.
MEMORY_MB = 296
KB_PER_MB = 1_000
# Link of such a VM, and how many of them follow the leader.
LINK_BITS_PER_S = 170_000_000
FOLLOWERS = 5
BITS_PER_BYTE = 8
HEARTBEAT_S = timing.Timing(election_timeout_s=0.5).heartbeat_s
LIMIT_S = 300.0


def test_storm_of_changes_outgrows_the_memory_of_a_replica() -> None:
    """A replica that takes many changes and snapshots stays within its VM."""
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
    """A change has left the leader's link before the next heartbeat is due."""
    author = publication_documents.Author(ROUTES)
    (sent,) = _publish(author.write_command(), author.write_command())[1:]
    seconds = sent * FOLLOWERS * BITS_PER_BYTE / LINK_BITS_PER_S
    assert seconds < HEARTBEAT_S, f"{sent} bytes"


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
