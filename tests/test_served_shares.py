"""Tests of the shares that an owner keeps of each kind of request."""

from lovagesaddle.core.routing import served_shares
from tests import fixtures


def test_share_follows_the_last_seconds() -> None:
    """An overload that is over no longer weighs."""
    shares = served_shares.ServedShares()
    assert shares.find("lookup") == 1.0
    for _ in range(10):
        shares.note_refused("lookup", 0.0)
    assert shares.find("lookup") == 0.0
    later = 4 * served_shares.MEMORY_S
    for _ in range(10):
        shares.note_served("lookup", later)
    assert shares.find("lookup") > 0.95


def test_kinds_that_are_gone_are_forgotten() -> None:
    """Routes that come and go over months take no more memory."""
    shares = served_shares.ServedShares()
    for number in range(3 * served_shares.MAX_KINDS):
        shares.note_refused(f"route-{number}", float(number))
    assert shares.find("route-0") == 1.0
    assert shares.find(f"route-{3 * served_shares.MAX_KINDS - 1}") == 0.0
    kept = sum(
        shares.find(f"route-{number}") < 1.0
        for number in range(3 * served_shares.MAX_KINDS)
    )
    assert kept == served_shares.MAX_KINDS


load_tests = fixtures.collect(__name__)
