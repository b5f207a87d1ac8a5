"""Tests of the headers that a call passes on to further calls."""

from lovagesaddle.core import errors
from lovagesaddle.core.routing import call_chain as chain_lib
from tests import fixtures


def test_headers_round_trip_in_any_case() -> None:
    """The next entry reads what an entry wrote, in any letter case."""
    chain = chain_lib.extend(
        chain_lib.Chain(request_id="order-7"), remaining_s=0.25
    )
    headers = chain_lib.format_headers(chain)
    upper = {name.upper(): value for name, value in headers.items()}
    assert chain_lib.parse_headers(upper) == chain


def test_twelve_deep_chain_keeps_counting() -> None:
    """Depth rises with each entry, and only the first one may retry."""
    chain = chain_lib.Chain()
    for _ in range(12):
        inner = chain_lib.extend(chain, remaining_s=1.0)
        chain = chain_lib.parse_headers(chain_lib.format_headers(inner))
    assert (chain.depth, chain.may_retry) == (12, False)
    assert chain.depth < chain_lib.MAX_DEPTH


def test_request_without_headers_is_a_first_one() -> None:
    """A request without chain headers has depth 0 and may be retried."""
    assert chain_lib.parse_headers({}) == chain_lib.Chain()


def test_malformed_headers_are_refused() -> None:
    """Refused are malformed numbers, and IDs with spaces or too long."""
    for name, value in (
        (chain_lib.DEPTH_HEADER, "-1"),
        (chain_lib.DEPTH_HEADER, "²"),
        (chain_lib.DEADLINE_HEADER, "1e9"),
        (chain_lib.DEADLINE_HEADER, "9" * 11),
        (chain_lib.REQUEST_ID_HEADER, "a b"),
        (chain_lib.REQUEST_ID_HEADER, "x" * 129),
    ):
        try:
            chain_lib.parse_headers({name: value})
        except errors.ChainError:
            continue
        raise AssertionError(f"{name}: {value}")


load_tests = fixtures.collect(__name__)
