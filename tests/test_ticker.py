"""Tests of functions that are called at intervals on their own thread."""

import threading

from lovagesaddle import ticker
from tests import fixtures

WAIT_S = 10.0


def test_work_is_repeated_until_its_context_ends() -> None:
    """The function is called repeatedly, and never after the context."""
    done = threading.Semaphore(0)
    with ticker.Ticker(name="t", interval_s=0.001, work=done.release):
        for _ in range(3):
            assert done.acquire(timeout=WAIT_S)
    while done.acquire(blocking=False):
        pass
    assert "t" not in {thread.name for thread in threading.enumerate()}


def test_woken_work_runs_before_its_interval_is_over() -> None:
    """A wake call does not wait for the interval to end."""
    done = threading.Semaphore(0)
    work = ticker.Ticker(name="t", interval_s=3600, work=done.release)
    with work:
        for _ in range(2):
            work.wake()
            assert done.acquire(timeout=WAIT_S)


def test_work_may_end_itself() -> None:
    """A function that calls stop is not called again."""
    calls: list[int] = []
    ended = threading.Event()

    def work() -> None:
        calls.append(len(calls))
        repeated.stop()
        ended.set()

    repeated = ticker.Ticker(name="t", interval_s=0.001, work=work)
    with repeated:
        assert ended.wait(WAIT_S)
        repeated.wake()
    assert calls == [0]


def test_unexpected_error_does_not_end_the_calls() -> None:
    """A function that raises an exception is called again."""
    done = threading.Semaphore(0)

    def work() -> None:
        done.release()
        raise ValueError("unexpected")

    with ticker.Ticker(name="t", interval_s=0.001, work=work):
        for _ in range(3):
            assert done.acquire(timeout=WAIT_S)


load_tests = fixtures.collect(__name__)
