"""How long a node acts on a routing table whose age it can't prove.

The age of a table bounds for how long a newer one may have been in force. It
counts from the last proof that the table was the newest, so it rises alike on
a node that was paused, is cut off, runs late or follows one that does.

A node with a proof acts on its table in every way. Without one it first waits
a moment for a proof. After that it still runs what its table allows, since
most routes are the same in the newest table, but it gives no final answer: it
can't know that the newest table lacks a route or forbids a request.
"""

import dataclasses
import math

# Longest wait for a proof. Those who come later, while there still is none, do
# not wait.
PROOF_WAIT_S = 0.1
# Shortest time between two requests for a proof.
ASK_GAP_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Whether to act on a table.

    Attributes:
      is_proved: Whether the table is proved to be young enough.
      wait_until: Monotonic time in seconds until which to wait for a proof; in
        the past if waiting is useless.
      asks: Whether to ask for a proof now.
    """

    is_proved: bool
    wait_until: float = 0.0
    asks: bool = False


class TableAge:
    """Decides for each request whether its table is young enough.

    Args:
      max_age_s: Largest proved age at which final answers are given, in
        seconds.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._current_at: float | None = None
        self._unproved_since: float | None = None
        self._asked_at = -math.inf

    def record_proof(self, current_at: float, now: float) -> None:
        """Records a proof for the table in force.

        Args:
          current_at: Monotonic time in seconds; everything that was accepted
            before it is part of the table.
          now: Monotonic time in seconds.
        """
        self._current_at = max(current_at, self._current_at or current_at)
        if self.is_proved(now):
            self._unproved_since = None

    def compute_age(self, now: float) -> float | None:
        """Returns how old the table may be, in seconds; None if unproved."""
        return None if self._current_at is None else now - self._current_at

    def is_proved(self, now: float) -> bool:
        """Returns whether the table is proved to be young enough."""
        current_at = self._current_at
        return current_at is not None and now - current_at <= self._max_age_s

    def decide(self, now: float) -> Decision:
        """Returns whether to act, to wait or to ask for a proof."""
        if self.is_proved(now):
            return Decision(is_proved=True)
        if self._unproved_since is None:
            self._unproved_since = now
        wait_until = self._unproved_since + PROOF_WAIT_S
        asks = now < wait_until and now - self._asked_at >= ASK_GAP_S
        if asks:
            self._asked_at = now
        return Decision(is_proved=False, wait_until=wait_until, asks=asks)
