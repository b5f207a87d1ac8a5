"""Tests of the thread that ends waits."""

import itertools
import threading
import time
from unittest import mock

from lovagesaddle.http import watchdog
from tests import fixtures

WAIT_S = 10.0
SHORT_S = 0.4


def _wait(guard: watchdog.Guard) -> watchdog.EndReason | None:
    ended = threading.Event()
    with guard.on_end(ended.set):
        ended.wait(WAIT_S)
    return guard.reason


def test_few_scans_while_a_request_waits() -> None:
    """An open request costs the scans of the interval and no more.

    At hundreds of nodes that each have a few open requests, the scans cost
    more processor time than the requests.
    """
    calls = itertools.count()
    with watchdog.Watchdog() as guards:
        started = time.monotonic()
        with guards.watch(
            deadline=started + SHORT_S, is_gone=lambda: next(calls) < 0
        ) as guard:
            assert _wait(guard) is watchdog.EndReason.DEADLINE
    # A slow machine makes fewer scans. One scan more follows the opening.
    assert next(calls) <= SHORT_S / 0.05 + 2


def test_stop_ends_open_and_later_waits() -> None:
    """A request that waits while its node stops is refused, not cut."""
    with watchdog.Watchdog() as guards:
        far = time.monotonic() + 3600.0
        with guards.watch(deadline=far, is_gone=lambda: False) as open_guard:
            guards.end_waits_at(time.monotonic() + SHORT_S / 4)
            assert _wait(open_guard) is watchdog.EndReason.DEADLINE
        with guards.watch(deadline=far, is_gone=lambda: False) as later_guard:
            assert _wait(later_guard) is watchdog.EndReason.DEADLINE


def test_next_scan_is_at_the_first_deadline() -> None:
    """A wait whose deadline is before the next regular scan ends in time."""
    interval_s = watchdog.SCAN_INTERVAL_S
    assert watchdog.plan_next_scan(5.0, ()) == 5.0 + interval_s
    assert watchdog.plan_next_scan(5.0, (9.0,)) == 5.0 + interval_s
    near = 5.0 + interval_s / 4
    assert watchdog.plan_next_scan(5.0, (9.0, near)) == near


class _SignalingEvent(threading.Event):
    """Signals `slept` when a thread is about to wait without a limit."""

    def __init__(self) -> None:
        super().__init__()
        self.slept = threading.Event()

    def wait(self, timeout: float | None = None) -> bool:
        if timeout is None:
            self.slept.set()
        return super().wait(timeout)


def test_guard_opened_while_the_thread_sleeps_is_ended() -> None:
    """A thread that sleeps without a limit is woken by each new wait."""
    guards = watchdog.Watchdog()
    wakeup = guards._wakeup = _SignalingEvent()
    with mock.patch.object(watchdog, "IDLE_SCANS", 0), guards:
        for _ in range(3):
            assert wakeup.slept.wait(WAIT_S)
            wakeup.slept.clear()
            deadline = time.monotonic() + 0.01
            with guards.watch(deadline=deadline, is_gone=bool) as guard:
                assert _wait(guard) is watchdog.EndReason.DEADLINE


def _fail_to_check() -> bool:
    raise OSError("the connection can't be checked")


def test_unexpected_error_leaves_every_deadline_in_force() -> None:
    """A requester that can't be checked does not end the watchdog's thread.

    The waits of all later requests, and its own, still end at their deadlines.
    """
    with watchdog.Watchdog() as guards:
        for _ in range(2):
            with guards.watch(
                deadline=time.monotonic() + SHORT_S, is_gone=_fail_to_check
            ) as guard:
                assert _wait(guard) is watchdog.EndReason.DEADLINE


def test_requester_that_left_ends_the_wait() -> None:
    """A wait far from its deadline ends when its requester is gone."""
    with (
        watchdog.Watchdog() as guards,
        guards.watch(
            deadline=time.monotonic() + 2 * WAIT_S, is_gone=lambda: True
        ) as guard,
    ):
        assert _wait(guard) is watchdog.EndReason.CANCELLED


load_tests = fixtures.collect(__name__)
