"""Tests of a planned stop of a node under load, with real processes."""

import dataclasses

from bench import planned_stops

from tests import fixtures

PLAN = planned_stops.Plan(
    grace_s=6, work_s=2.0, rate=20.0, deadline_s=5.2, sends_s=6.0
)


def test_request_that_comes_late_in_the_grace_period_is_not_cut() -> None:
    """Requests were taken that could not end before the node was killed."""
    answered = _check_stop(PLAN)
    assert answered >= PLAN.rate


def test_request_that_would_outlast_a_long_grace_period_is_not_cut() -> None:
    """Requests were cut after 6 s, whatever the grace period was."""
    long = dataclasses.replace(PLAN, grace_s=10, work_s=4.0, deadline_s=8.0)
    answered = _check_stop(dataclasses.replace(long, sends_s=10.0))
    assert answered >= PLAN.rate


def test_servers_that_work_longer_than_is_left_lose_no_late_request() -> None:
    """A request is refused if its server can't be done before the end."""
    _check_stop(dataclasses.replace(PLAN, work_s=4.0, deadline_s=8.0))


def _check_stop(plan: planned_stops.Plan) -> int:
    """Stops a node; returns how many requests were answered by servers."""
    outcome = planned_stops.run(plan)
    lost = [each for each in outcome.requests if each.is_lost(plan)]
    assert not lost, lost
    assert not outcome.was_killed
    return sum(each.status == 200 for each in outcome.requests)


load_tests = fixtures.collect(__name__)
