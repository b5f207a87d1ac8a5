"""How a call ended: a backend server's answer, or the mesh's own."""

import dataclasses

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.http import headers as headers_lib

GONE_STATUS = 499
GONE_REASON = "caller-gone"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The answer of a backend server.

    Attributes:
      status: HTTP status.
      headers: Filtered.
      body: The whole body.
      outcome: Of a failed call, else None.
    """

    status: int
    headers: headers_lib.Headers
    body: bytes
    outcome: outcomes.RequestOutcome | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The mesh's own answer.

    Attributes:
      status: HTTP status.
      outcome: What the caller may rely on.
      reason: Why.
      retry_after_s: When to come back; 0 for no hint.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: str
    retry_after_s: float = 0.0


CallResult = result.Result[Answered, Failed]
