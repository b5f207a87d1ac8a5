"""Tests of the order of a backend server's words about itself."""

from lovagesaddle.core.membership import heartbeat_order
from tests import fixtures


def _sight(
    instance: str = "i-1", *, born_ms: int = 1000, sequence: int = 1
) -> heartbeat_order.HeartbeatStamp:
    return heartbeat_order.HeartbeatStamp(
        instance=instance, born_ms=born_ms, sequence=sequence
    )


def test_late_word_of_the_same_life_is_passed_over() -> None:
    """Only a higher sequence is news."""
    order = heartbeat_order.HeartbeatOrder()
    found = [order.accept(_sight(sequence=n)) for n in (1, 3, 2, 3, 4)]
    assert found == [True, True, False, False, True]


def test_word_of_an_earlier_life_is_passed_over() -> None:
    """A word delayed by a partition can't bring its sender back."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.accept(_sight("i-1", born_ms=1000, sequence=90))
    assert order.accept(_sight("i-2", born_ms=2000, sequence=1))
    assert not order.accept(_sight("i-1", born_ms=1000, sequence=91))
    assert not order.record_stop("i-1", 1000)


def test_name_that_returns_begins_a_new_life() -> None:
    """A server may come back under its name, with a new sequence."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.accept(_sight(born_ms=1000, sequence=90))
    assert order.record_stop("i-1", 1000)
    assert not order.accept(_sight(born_ms=1000, sequence=91))
    assert order.accept(_sight(born_ms=2000, sequence=1))
    assert not order.record_stop("i-1", 1000)
    assert order.record_stop("i-1", 0)


load_tests = fixtures.collect(__name__)
