"""Types for the result of a call: a backend server's answer or the mesh's."""

import dataclasses

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.http import wsgi

CALLER_GONE_STATUS = 499
CALLER_GONE_REASON = "caller-gone"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Holds the answer of a backend server.

    Attributes:
      status: HTTP status.
      headers: Headers for the caller; internal ones are removed.
      body: The whole body.
      outcome: Whether the request of a failed call ran; None if it succeeded.
      parts: The body, if it is passed on in parts; None if it is whole.
    """

    status: int
    headers: headers_lib.Headers
    body: bytes
    outcome: outcomes.RequestOutcome | None
    parts: wsgi.BodyParts | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """Holds the mesh's own answer to a call that was refused or failed.

    Attributes:
      status: HTTP status.
      outcome: Whether the request ran, as far as the mesh can prove it.
      reason: Why the call was refused or failed.
      retry_after_s: Time after which to retry, in seconds; 0 for no hint.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: str
    retry_after_s: float = 0.0


CallResult = result.Result[Answered, Failed]


def did_not_run(call_result: CallResult) -> bool:
    """Returns whether a call is proved not to have run."""
    match call_result:
        case result.Failure(Failed(outcome=outcome)):
            return outcome is outcomes.RequestOutcome.NOT_RUN
    return False


def has_outdated_route(call_result: CallResult) -> bool:
    """Returns whether an owner has a newer publication with another route."""
    match call_result:
        case result.Failure(Failed(reason=hop.ROUTE_OUTDATED)):
            return True
    return False
