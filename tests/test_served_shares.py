"""Tests of the served shares that an owner tracks by kind of request."""

from lovagesaddle.core.routing import served_shares
from tests import fixtures


def test_old_refusals_decay() -> None:
    """An overload that is over no longer lowers the served share."""
    shares = served_shares.ServedShares()
    assert shares.get_share("lookup") == 1.0
    for _ in range(10):
        shares.record_refused("lookup", 0.0)
    assert shares.get_share("lookup") == 0.0
    later = 4 * served_shares.DECAY_S
    for _ in range(10):
        shares.record_served("lookup", later)
    assert shares.get_share("lookup") > 0.95


def test_number_of_kinds_is_bounded() -> None:
    """Routes that come and go don't increase the memory; the oldest go."""
    shares = served_shares.ServedShares()
    for number in range(3 * served_shares.MAX_KINDS):
        shares.record_refused(f"route-{number}", float(number))
    assert shares.get_share("route-0") == 1.0
    assert shares.get_share(f"route-{3 * served_shares.MAX_KINDS - 1}") == 0.0
    kept = sum(
        shares.get_share(f"route-{number}") < 1.0
        for number in range(3 * served_shares.MAX_KINDS)
    )
    assert kept == served_shares.MAX_KINDS


load_tests = fixtures.collect(__name__)
