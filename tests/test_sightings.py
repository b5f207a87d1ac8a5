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


def test_stop_of_a_process_without_a_heartbeat_is_kept() -> None:
    """A late heartbeat listed a server whose farewell had come first."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.record_stop("i-1", 1000)
    assert not order.accept(_make_stamp(sequence=90))
    assert order.accept(_make_stamp("i-2", born_ms=2000))
    assert order.record_stop("i-3", 3000)
    assert not order.accept(_make_stamp("i-3", born_ms=3000, sequence=2))
    assert not order.accept(_make_stamp("i-2", born_ms=2000, sequence=91))
    assert not order.record_stop("i-2", 2000)
    assert order.accept(_make_stamp("i-3", born_ms=4000, sequence=1))
    assert order.record_stop("i-3", 5000)
    assert not order.accept(_make_stamp("i-3", born_ms=5000, sequence=1))


def test_stop_without_a_start_time_ends_only_the_newest() -> None:
    """Its process can't be told from one that starts under its name later."""
    order = heartbeat_order.HeartbeatOrder()
    assert order.accept(_make_stamp("i-1", born_ms=1000))
    assert not order.record_stop("i-2", 0)
    assert order.accept(_make_stamp("i-1", born_ms=1000, sequence=2))


load_tests = fixtures.collect(__name__)
