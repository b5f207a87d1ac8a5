"""What backend servers state about themselves in their answers.

A server in need of relief states how many requests a second it takes from all
nodes together, for as long as its answers say so. A server that is leaving
says that it takes no new requests.
"""

from collections.abc import Iterable
import dataclasses
import math

from lovagesaddle.core.routing import header_names

LEAVING = "1"
MAX_LIMIT_CHARS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """What one answer of a backend server states.

    Attributes:
      rate_limit: Requests a second that the server takes from all nodes
        together; None if it states no limit.
      is_leaving: Whether the server takes no new requests.
      malformed: A stated limit that is no number of requests, quoted; empty
        if there is none. Such an answer neither sets nor ends a limit.
      header: Name of the last header that stated any of these, as received.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    malformed: str = ""
    header: str = ""


NOTHING = Statement()


def parse_statement(
    headers: Iterable[tuple[str, str]], names: header_names.HeaderNames
) -> Statement:
    """Returns what the headers of an answer state.

    The lowest of several limits holds.

    Args:
      headers: Names and values.
      names: Names of the headers.
    """
    limits: list[float] = []
    malformed = header = ""
    is_leaving = False
    for name, value in headers:
        lower = name.lower()
        if lower in names.rate_limit:
            header = name
            limit = _parse_limit(value.strip())
            if limit is None:
                malformed = repr(value[:MAX_LIMIT_CHARS])
            else:
                limits.append(limit)
        elif lower in names.leaving:
            header = name
            is_leaving = is_leaving or value.strip() == LEAVING
    if not (limits or is_leaving or malformed):
        return NOTHING
    return Statement(
        rate_limit=min(limits, default=None),
        is_leaving=is_leaving,
        malformed=malformed,
        header=header,
    )


def _parse_limit(text: str) -> float | None:
    if not text.isascii() or len(text) > MAX_LIMIT_CHARS:
        return None
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None
