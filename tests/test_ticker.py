"""Tests of work that is repeated on a thread of its own."""

import threading

from lovagesaddle import ticker
from tests import fixtures

WAIT_S = 10.0


def test_work_is_repeated_until_it_is_left() -> None:
    """The work runs again and again, and never after the context."""
    done = threading.Semaphore(0)
    with ticker.Ticker(name="t", interval_s=0.001, work=done.release):
        for _ in range(3):
            assert done.acquire(timeout=WAIT_S)
    while done.acquire(blocking=False):
        pass
    assert "t" not in {thread.name for thread in threading.enumerate()}


load_tests = fixtures.collect(__name__)
