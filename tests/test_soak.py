"""Short soak of overlapping faults on real processes."""

from bench import soak

from tests import fixtures

SEED = 12
SECONDS = 15.0


def test_overlapping_faults_break_no_promise() -> None:
    """Kills, stops, pauses, lost disks and replacements at the same time.

    Nothing runs twice, no refusal is false, no answer is foreign, no planned
    stop cuts a request, and nothing acknowledged is lost or older.
    """
    with soak.Soak(SEED, SECONDS) as played:
        played.run()
        assert not played.findings, played.findings


load_tests = fixtures.collect(__name__)
