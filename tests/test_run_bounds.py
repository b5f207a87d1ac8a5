"""Tests of what a stopping node takes while work grows longer."""

from lovagesaddle.core.routing import graceful_shutdown
from lovagesaddle.core.routing import run_bounds
from lovagesaddle.core.routing import run_times
from tests import fixtures

KIND = "upload"
MEAN_S = 0.3
SLOW_SHARE = 33  # One run in this many is slow: 3 %.
SLOW_FACTOR = 7
GRACE_S = 6.0
GAP_S = 0.05


def test_heavy_tail_is_expected_of_each_run() -> None:
    """The mean of a load with 3 % slow runs admitted what the end cut."""
    bounds, means = run_bounds.RunBounds(), run_times.RunTimes()
    now = 0.0
    for number in range(10 * SLOW_SHARE):
        run_s = MEAN_S * (SLOW_FACTOR if number % SLOW_SHARE == 0 else 1)
        bounds.start(KIND, number, now)
        now += run_s
        bounds.end(KIND, number, now)
        means.record(KIND, run_s)
    slow_s = MEAN_S * SLOW_FACTOR
    expected_s = bounds.estimate(KIND, means.estimate(KIND), now)
    assert means.estimate(KIND) < slow_s / 2
    assert expected_s >= 0.7 * slow_s
    assert bounds.estimate("lookup", 0.1, now) == 0.1


def test_slow_run_is_forgotten() -> None:
    """Long ago one run was slow; requests are taken again."""
    bounds = run_bounds.RunBounds()
    for number, run_s in enumerate([5.0] + 600 * [0.01]):
        bounds.start(KIND, number, 0.0)
        bounds.end(KIND, number, run_s)
    assert bounds.estimate(KIND, 0.01, 9.0) < 0.1


def test_runs_in_progress_show_that_work_has_grown() -> None:
    """Servers take 4 s from SIGTERM on; what is taken later is not cut.

    A request that is sent each 50 ms is taken if it is expected to end in
    time. None that is sent once the work in progress shows its length may end
    behind the requests' end.
    """
    schedule = graceful_shutdown.make_schedule(0.0, GRACE_S)
    bounds = run_bounds.RunBounds()
    taken: list[float] = []
    for number in range(int(GRACE_S / GAP_S)):
        now = number * GAP_S
        run_s = bounds.estimate(KIND, 0.01, now)
        if schedule.allows(now=now, deadline=now + GRACE_S, run_s=run_s):
            bounds.start(KIND, number, now)
            taken.append(now)
    # 4 s of work end in time if they begin 1.25 s after SIGTERM; by then the
    # oldest has run for as long.
    latest_s = schedule.requests_end_at / (1 + run_bounds.IN_PROGRESS_FACTOR)
    assert max(taken) <= latest_s + GAP_S
    assert len(taken) >= schedule.requests_end_at / 4 / GAP_S


load_tests = fixtures.collect(__name__)
