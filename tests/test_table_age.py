"""Tests of what a node does with a table whose age it can't prove."""

from lovagesaddle.core.routing import table_age
from tests import fixtures

MAX_AGE_S = 2.0
START = 100.0


def _make_age(current_at: float | None) -> table_age.TableAge:
    age = table_age.TableAge(MAX_AGE_S)
    if current_at is not None:
        age.record_proof(current_at, START)
    return age


def test_young_table_is_acted_on_at_once() -> None:
    """Up to the limit a table needs no further proof."""
    age = _make_age(START)
    for now in (START, START + MAX_AGE_S):
        assert age.decide(now) == table_age.Decision(is_proved=True)


def test_table_that_may_be_too_old_waits_for_a_proof() -> None:
    """Past the limit, and without any proof, a node asks and waits."""
    for current_at in (None, START - MAX_AGE_S - 0.1):
        decision = _make_age(current_at).decide(START)
        assert not decision.is_proved
        assert decision.asks
        assert decision.wait_until == START + table_age.PROOF_WAIT_S


def test_requests_that_come_late_share_one_wait() -> None:
    """While no proof comes, requests are delayed for one short wait only."""
    age = _make_age(None)
    first = age.decide(START)
    second = age.decide(START + table_age.PROOF_WAIT_S / 4)
    assert second.wait_until == first.wait_until and not second.asks
    late = age.decide(START + 10.0)
    assert late.wait_until < START + 10.0 and not late.asks


def test_proof_ends_the_wait_and_the_next_lapse_waits_again() -> None:
    """Each time that the proof runs out is a case of its own."""
    age = _make_age(None)
    age.decide(START)
    age.record_proof(START + 0.05, START + 0.05)
    assert age.decide(START + 0.06).is_proved
    lapsed_at = START + 0.05 + MAX_AGE_S + 0.01
    decision = age.decide(lapsed_at)
    assert decision.asks
    assert decision.wait_until == lapsed_at + table_age.PROOF_WAIT_S


def test_proof_that_is_too_old_opens_no_further_wait() -> None:
    """A parent that is cut off as well answers, but proves nothing new."""
    age = _make_age(None)
    first = age.decide(START)
    age.record_proof(START - MAX_AGE_S, START + 0.2)
    assert age.decide(START + 0.3).wait_until == first.wait_until


def test_older_proof_does_not_replace_a_newer_one() -> None:
    """Answers that cross each other never make a table look older."""
    age = _make_age(START)
    age.record_proof(START - 5.0, START)
    assert age.compute_age(START + 1.0) == 1.0


load_tests = fixtures.collect(__name__)
