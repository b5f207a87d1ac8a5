"""Filters the HTTP headers that a node forwards."""

from collections.abc import Iterable, Mapping

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import load_reports

Headers = tuple[tuple[str, str], ...]

AUTHORIZATION = "authorization"
CONNECTION = "connection"
CONTENT_LENGTH = "content-length"
KEEP_ALIVE = "keep-alive"
TRANSFER_ENCODING = "transfer-encoding"
HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        KEEP_ALIVE,
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        TRANSFER_ENCODING,
        "upgrade",
        "expect",
    }
)
# Only nodes set these headers; such headers from a caller or a backend server
# are dropped.
INTERNAL = frozenset(
    {outcomes.OUTCOME_HEADER.lower(), load_reports.LOAD_HEADER.lower()}
)
_REQUEST_DROPPED = HOP_BY_HOP | INTERNAL | {CONTENT_LENGTH}
_ANSWER_DROPPED = HOP_BY_HOP | INTERNAL | {CONTENT_LENGTH}


def filter_request(
    received: Mapping[str, str],
    names: header_names.HeaderNames = header_names.DEFAULT,
    *,
    has_accounts: bool = False,
) -> Headers:
    """Returns the headers that are forwarded from a caller to a backend server.

    Headers that only nodes set are left out; the node adds its own values.

    Args:
      received: Lower-case names to values.
      names: Names of the headers that only nodes set.
      has_accounts: Whether there are client accounts, whose keys no backend
        server may get.
    """
    dropped = _REQUEST_DROPPED | names.list_reserved()
    if has_accounts or not names.passes_credentials:
        dropped |= {AUTHORIZATION}
    listed = _list_connection_options(received.get("connection", ""))
    return tuple(
        (name, value)
        for name, value in received.items()
        if name not in dropped and name not in listed
    )


def filter_answer(
    received: Iterable[tuple[str, str]], *, bodyless: bool = False
) -> Headers:
    """Returns the headers that are forwarded from a backend server to a caller.

    Args:
      received: Names and values.
      bodyless: Whether the answer is to a HEAD request; only Content-Length
        states the length of the body then, so it is forwarded.
    """
    dropped = (
        _ANSWER_DROPPED - {CONTENT_LENGTH} if bodyless else _ANSWER_DROPPED
    )
    pairs = [(name, value) for name, value in received]
    listed: frozenset[str] = frozenset()
    for name, value in pairs:
        if name.lower() == "connection":
            listed |= _list_connection_options(value)
    return tuple(
        (name, value)
        for name, value in pairs
        if (lower := name.lower()) not in dropped and lower not in listed
    )


def remove(headers: Headers, name: str) -> Headers:
    """Returns the headers without those of the given name."""
    lowered = name.lower()
    return tuple(pair for pair in headers if pair[0].lower() != lowered)


def find(headers: Headers, name: str) -> str:
    """Returns the first value of a header, or ""; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return ""


def get_all(headers: Headers, name: str) -> list[str]:
    """Returns all values of a header; `name` is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def _list_connection_options(value: str) -> frozenset[str]:
    if not value:
        return frozenset()
    return frozenset(option.strip().lower() for option in value.split(","))
