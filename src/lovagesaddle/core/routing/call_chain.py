"""What a call passes inward: deadline, attempt rights, depth, request ID.

A backend server that calls other services copies these headers to its own
requests. Each of them only restricts what the next entry may do, so a caller
that forges one harms nobody but itself.
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
    """Where a request stands in a chain of calls.

    Attributes:
      request_id: Shared by every call of the chain; empty when none is set.
      depth: Entries passed before this one; 0 for a caller's own request.
      remaining_s: Time left of the outermost deadline; None when none is
        set.
      may_retry: Whether this entry may repeat a request that was handed
        over.
    """

    request_id: str = ""
    depth: int = 0
    remaining_s: float | None = None
    may_retry: bool = True


def parse_headers(
    headers: Mapping[str, str],
    names: header_names.HeaderNames = header_names.DEFAULT,
) -> Chain:
    """Reads the chain headers of an incoming request.

    Args:
      headers: Header names in any case, each with a single value.
      names: Names of the chain headers.

    Raises:
      errors.ChainError: A header is malformed; the request is answered 400.
    """
    values = {name.lower(): value.strip() for name, value in headers.items()}
    request_id = values.get(names.request_id.lower(), "")
    if len(request_id) > MAX_REQUEST_ID_CHARS or not _is_plain(request_id):
        raise _refuse(names.request_id)
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
    """Returns the value of the deadline header."""
    return str(max(0, int(remaining_s * MS_PER_S)))


def extend(chain: Chain, *, remaining_s: float) -> Chain:
    """Returns the chain that the next entry inward has to see."""
    return dataclasses.replace(
        chain, depth=chain.depth + 1, remaining_s=remaining_s, may_retry=False
    )


def _parse_number(values: Mapping[str, str], header: str) -> int | None:
    text = values.get(header.lower()) if header else None
    if text is None:
        return None
    if len(text) > MAX_NUMBER_DIGITS or not (text.isascii() and text.isdigit()):
        raise _refuse(header)
    return int(text)


def _is_plain(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


def _refuse(header: str) -> errors.ChainError:
    return errors.ChainError(
        step="parse chain headers",
        peer="caller",
        cause=f"header {header} is malformed",
    )
