"""Makes the answer to a caller from the result of a call."""

import math

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import wsgi
from lovagesaddle.node import call_results


def make_answer(
    call_result: call_results.CallResult,
    request_id: str,
    names: header_names.HeaderNames,
) -> wsgi.Answer:
    """Returns the answer to a caller.

    Args:
      call_result: A backend server's answer, or the mesh's own failure.
      request_id: ID of the request, which the answer carries.
      names: Names of the headers exchanged with callers.
    """
    id_header: headers_lib.Headers = ((names.request_id, request_id),)
    match call_result:
        case result.Success(answered):
            outcome: headers_lib.Headers = ()
            if answered.outcome is not None:
                outcome = ((outcomes.OUTCOME_HEADER, answered.outcome.value),)
            remaining = headers_lib.remove(answered.headers, names.request_id)
            return wsgi.Answer(
                status=answered.status,
                headers=remaining + id_header + outcome,
                body=answered.body,
                parts=answered.parts,
            )
        case result.Failure(failed):
            extra = id_header
            if failed.retry_after_s:
                seconds = format_retry_after(failed.retry_after_s, names)
                extra = (*id_header, ("Retry-After", seconds))
            return wsgi.make_failure(
                failed.status, failed.reason, failed.outcome, extra
            )
    raise AssertionError("unreachable")


def format_retry_after(seconds: float, names: header_names.HeaderNames) -> str:
    """Returns the value of a Retry-After header."""
    if names.has_fractional_retry:
        return f"{seconds:.3f}"
    return str(math.ceil(seconds))
