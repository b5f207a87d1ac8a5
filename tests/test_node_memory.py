"""Tests of a node's memory while backend servers send too much."""

from bench import endless_bodies

from tests import fixtures
from tests import platform_stand_in

CALLERS = 12
PLAY_S = 4.0


def test_bodies_without_end_keep_a_node_within_its_memory() -> None:
    """Freed bodies stayed in the heaps of many threads until the node died.

    The platform kills a process that is over its memory, and all requests of
    other callers end with it.
    """
    for kind in ("unframed", "not-run"):
        outcome = endless_bodies.play(
            endless_bodies.SCRIPTS[kind], CALLERS, PLAY_S
        )
        assert max(outcome.peaks_mb) < platform_stand_in.MEMORY_MB, outcome
        assert outcome.endless.get(502), outcome
        assert outcome.sound.get(200), outcome
        assert set(outcome.sound) <= {200, 503}, outcome


load_tests = fixtures.collect(__name__)
