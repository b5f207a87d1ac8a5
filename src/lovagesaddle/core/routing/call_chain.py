"""Headers that a call passes on to the calls that it causes.

They carry the deadline, whether retries are allowed, the depth and the
request ID. A backend server that calls other services copies them to its own
requests. Each header can only restrict what the next entry may do, so a
caller that forges one harms only itself.
"""

from collections.abc import Mapping
import dataclasses

from lovagesaddle.core import errors
from lovagesaddle.core.routing import header_names

DEADLINE_HEADER = header_names.DEFAULT.deadline_ms
DEPTH_HEADER = header_names.DEFAULT.depth
RETRY_HEADER = header_names.DEFAULT.retry
REQUEST_ID_HEADER = header_names.DEFAULT.request_id
RETRY_FORBIDDEN = "none"
HEADERS = (DEADLINE_HEADER, DEPTH_HEADER, RETRY_HEADER, REQUEST_ID_HEADER)

MAX_DEPTH = 16
MAX_REQUEST_ID_CHARS = 128
MAX_NUMBER_DIGITS = 10
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chain:
    """State of a chain of calls, as one entry node receives or passes it on.

    Attributes:
      request_id: Shared by every call of the chain; empty when none is set.
      depth: Number of entry nodes passed before; 0 for a caller's own request.
      remaining_s: Seconds left until the outermost deadline; None when none
        is set.
      may_retry: Whether this entry node may retry a request that it already
        sent to an owner.
    """

    request_id: str = ""
    depth: int = 0
    remaining_s: float | None = None
    may_retry: bool = True


def parse_headers(
    headers: Mapping[str, str],
    names: header_names.HeaderNames = header_names.DEFAULT,
) -> Chain:
    """Returns the chain that an incoming request's headers carry.

    Args:
      headers: Header names in any case, each with a single value.
      names: Names of the chain headers.

    Raises:
      errors.ChainError: A header is malformed; to be answered with a 400.
    """
    values = {name.lower(): value.strip() for name, value in headers.items()}
    request_id = values.get(names.request_id.lower(), "")
    if len(request_id) > MAX_REQUEST_ID_CHARS or not _is_printable_token(
        request_id
    ):
        raise _make_error(names.request_id)
    depth = _parse_number(values, names.depth)
    remaining_ms = _parse_number(values, names.deadline_ms)
    retry = values.get(names.retry.lower()) if names.retry else None
    return Chain(
        request_id=request_id,
        depth=depth or 0,
        remaining_s=None if remaining_ms is None else remaining_ms / MS_PER_S,
        may_retry=retry is None and not depth,
    )


def format_headers(
    chain: Chain,
    names: header_names.HeaderNames = header_names.DEFAULT,
) -> dict[str, str]:
    """Returns the headers of `chain`, for the backend server or the owner."""
    headers = {names.depth: str(chain.depth)} if names.depth else {}
    if chain.request_id:
        headers[names.request_id] = chain.request_id
    if chain.remaining_s is not None:
        headers[names.deadline_ms] = format_remaining(chain.remaining_s)
    if not chain.may_retry and names.retry:
        headers[names.retry] = RETRY_FORBIDDEN
    return headers


def format_remaining(remaining_s: float) -> str:
    """Returns the value of the deadline header, in milliseconds."""
    return str(max(0, int(remaining_s * MS_PER_S)))


def extend(chain: Chain, *, remaining_s: float) -> Chain:
    """Returns the chain extended by one call, for the next entry to see.

    Args:
      chain: Chain that this entry node received.
      remaining_s: Time that the next entry has, in seconds.
    """
    return dataclasses.replace(
        chain, depth=chain.depth + 1, remaining_s=remaining_s, may_retry=False
    )


def _parse_number(values: Mapping[str, str], header: str) -> int | None:
    text = values.get(header.lower()) if header else None
    if text is None:
        return None
    if len(text) > MAX_NUMBER_DIGITS or not (text.isascii() and text.isdigit()):
        raise _make_error(header)
    return int(text)


def _is_printable_token(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _make_error(header: str) -> errors.ChainError:
    return errors.ChainError(
        step="parse chain headers",
        peer="caller",
        cause=f"header {header} is malformed",
    )
