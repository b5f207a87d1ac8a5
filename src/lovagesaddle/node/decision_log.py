"""Decisions on one call, held back until it ends and then logged or dropped."""

import time
from typing import Any

from returns import result

from lovagesaddle.node import call_results
from lovagesaddle.observability import logs

MS_PER_S = 1000
FIRST_FAILURE_STATUS = 500
_log = logs.get_logger("call")


class DecisionLog:
    """Collects the decisions on one call and logs all of them or none.

    Each decision on a call that failed or was retried matters, so such calls
    have a log limit of their own. Of the other calls a sample is logged.

    Args:
      request_id: ID of the call.
      arrived_at: Monotonic time at which the call arrived, in seconds.
    """

    def __init__(self, request_id: str, arrived_at: float) -> None:
        self._request_id = request_id
        self._arrived_at = arrived_at
        self._decisions: list[tuple[str, dict[str, Any]]] = []

    def record(self, event: str, **keys: Any) -> None:
        """Adds a decision, with the time since the arrival of the call."""
        after_ms = int((time.monotonic() - self._arrived_at) * MS_PER_S)
        self._decisions.append((event, {**keys, "after_ms": after_ms}))

    def write(
        self, call_result: call_results.CallResult, attempts: int
    ) -> None:
        """Logs the decisions if the log limit for such calls allows it."""
        is_served = isinstance(call_result, result.Success) and (
            call_result.unwrap().status < FIRST_FAILURE_STATUS
        )
        if not logs.allows_request_line(failed=not is_served or attempts > 1):
            return
        for event, keys in self._decisions:
            _log.info(event, request=self._request_id, **keys)
