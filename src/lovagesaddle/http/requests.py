"""Encodes requests and parses the idle timeouts that peers state."""

from collections.abc import Mapping
import dataclasses

from lovagesaddle.http import headers as headers_lib

BODYLESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
MAX_IDLE_S = 20.0
# Subtracted from the idle timeout that a peer states in Keep-Alive: the timeout
# is in whole seconds and starts when the peer writes its answer, before the
# answer arrives here.
IDLE_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Holds a request to send.

    Attributes:
      method: Upper-case method.
      target: Path and query, as received.
      headers: Without Content-Length; "host" in lower case.
      body: The whole body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


def encode_request(request: Request, address: str) -> bytes:
    """Returns the bytes of a request to a peer at `ip:port`.

    http.client would check, encode and queue each header separately, which
    costs as much as the rest of an exchange.

    Raises:
      ValueError: The target or a header holds characters that would break the
        framing of the request.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if "host" not in request.headers:
        lines.append(f"Host: {address}")
    lines.extend(f"{name}: {value}" for name, value in request.headers.items())
    if request.body or request.method not in BODYLESS_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if " " in request.target or not (
        head.count("\r") == head.count("\n") == breaks
    ):
        raise ValueError("the target or a header would break the framing")
    return head.encode("latin-1") + b"\r\n\r\n" + request.body


def parse_idle_timeout(headers: headers_lib.Headers) -> float:
    """Returns how long a peer keeps an idle connection, in seconds.

    The time stated in Keep-Alive is shortened by a margin and capped at
    MAX_IDLE_S, which is also the default.

    Args:
      headers: Headers of the peer's answer.
    """
    stated = ",".join(headers_lib.get_all(headers, headers_lib.KEEP_ALIVE))
    for option in stated.split(","):
        name, _, value = option.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(MAX_IDLE_S, int(value) - IDLE_MARGIN_S)
    return MAX_IDLE_S
