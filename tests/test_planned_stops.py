"""Tests of a planned stop of a node under load, with real processes."""

from bench import planned_stops

from tests import fixtures

PLAN = planned_stops.Plan(
    grace_s=6, work_s=2.0, rate=20.0, deadline_s=5.2, sends_s=6.0
)


def test_request_that_comes_late_in_the_grace_period_is_not_cut() -> None:
    """Requests were taken that could not end before the node was killed."""
    outcome = planned_stops.run(PLAN)
    lost = [each for each in outcome.requests if each.is_lost(PLAN)]
    assert not lost, lost
    assert not outcome.was_killed
    answered = [each for each in outcome.requests if each.status == 200]
    assert len(answered) >= PLAN.rate


load_tests = fixtures.collect(__name__)
