"""Tests of the order of a backend server's heartbeats."""

from lovagesaddle.core.membership import heartbeat_order
from tests import fixtures


def _make_stamp(
    instance: str = "i-1", *, born_ms: int = 1000, sequence: int = 1
) -> heartbeat_order.HeartbeatStamp:
    return heartbeat_order.HeartbeatStamp(
        instance=instance, born_ms=born_ms, sequence=sequence
    )


def test_late_heartbeat_of_the_same_process_is_ignored() -> None:
    """Only a heartbeat with a higher sequence number is accepted."""
    order = heartbeat_order.HeartbeatOrder()
    accepted = [order.accept(_make_stamp(sequence=n)) for n in (1, 3, 2, 3, 4)]
    assert accepted == [True, True, False, False, True]


def test_heartbeat_of_an_earlier_process_is_ignored() -> None:
    """A heartbeat delayed by a partition doesn't list its sender again."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.accept(_make_stamp("i-1", born_ms=1000, sequence=90))
    assert order.accept(_make_stamp("i-2", born_ms=2000, sequence=1))
    assert not order.accept(_make_stamp("i-1", born_ms=1000, sequence=91))
    assert not order.record_stop("i-1", 1000)


def test_restart_under_the_same_name_is_accepted() -> None:
    """A server may restart under its name, with a new sequence."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.accept(_make_stamp(born_ms=1000, sequence=90))
    assert order.record_stop("i-1", 1000)
    assert not order.accept(_make_stamp(born_ms=1000, sequence=91))
    assert order.accept(_make_stamp(born_ms=2000, sequence=1))
    assert not order.record_stop("i-1", 1000)
    assert order.record_stop("i-1", 0)


load_tests = fixtures.collect(__name__)
