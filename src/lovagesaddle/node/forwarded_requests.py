"""The part of a caller's request that is sent to backend servers."""

import dataclasses

from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import headers as headers_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """Holds the part of a caller's request that is sent to backend servers.

    Attributes:
      request_id: ID of the call.
      method: HTTP method, in upper case.
      target: Path and query.
      headers: Headers without those that are internal or per connection.
      body: The whole body.
      fingerprint: Digest of method, service, route, target and body.
      verdict: How the quarantine treats the request.
      body_s: Time that the body took to arrive at this node, in seconds.
      takes_parts: Whether a large answer may be passed on in parts; not if it
        is to be stored for a claimed key.
    """

    request_id: str
    method: str
    target: str
    headers: headers_lib.Headers
    body: bytes
    fingerprint: bytes
    verdict: quarantine.Verdict
    body_s: float = 0.0
    takes_parts: bool = False
