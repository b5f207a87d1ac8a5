"""Tests of what many publications of a large configuration cost a replica."""

import subprocess
import sys

from tests import fixtures

# A configuration of 1,600 routes that a day extends by 1,440.
ROUTES = 3_040
# The kept publications, and some more.
PUBLICATIONS = 80
# Memory of a control VM of the users' grown deployments.
MEMORY_MB = 296
KB_PER_MB = 1_000
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


load_tests = fixtures.collect(__name__)
