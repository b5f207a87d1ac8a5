"""The decisions on one call, kept until its end shows what they are worth."""

import time
from typing import Any

from returns import result

from lovagesaddle.node import call_results
from lovagesaddle.observability import logs

MS_PER_S = 1000
FIRST_FAILURE_STATUS = 500
_log = logs.get_logger("call")


class DecisionLog:
    """Collects a call's decisions and logs all of them or none.

    Of a call that failed or was sent again each decision matters; of others a
    sample does.

    Args:
      request_id: Of the call.
      arrived_at: Monotonic time of arrival, in seconds.
    """

    def __init__(self, request_id: str, arrived_at: float) -> None:
        self._request_id = request_id
        self._arrived_at = arrived_at
        self._decisions: list[tuple[str, dict[str, Any]]] = []

    def record(self, event: str, **keys: Any) -> None:
        """Keeps one decision and how long after the arrival it was made."""
        after_ms = int((time.monotonic() - self._arrived_at) * MS_PER_S)
        self._decisions.append((event, {**keys, "after_ms": after_ms}))

    def write(self, ended: call_results.CallResult, attempts: int) -> None:
        """Logs the decisions, within the bound for calls that end so."""
        is_served = isinstance(ended, result.Success) and (
            ended.unwrap().status < FIRST_FAILURE_STATUS
        )
        if not logs.allows_request(failed=not is_served or attempts > 1):
            return
        for event, keys in self._decisions:
            _log.info(event, request=self._request_id, **keys)
