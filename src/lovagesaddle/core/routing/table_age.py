"""How long a node acts on a routing table whose age it can't prove.

The age of a table bounds for how long a newer one may have been in force. It
counts from the last proof that the table was the newest, so it rises alike on
a node that was paused, is cut off, runs late or follows one that does.

A node with a proof acts on its table in every way. Without one it first waits
a moment for a proof. After that it still runs what its table allows, since
most routes are the same in the newest table, but it gives no final answer: it
can't know that the newest table lacks a route or forbids a request.

Where a bound on withdrawals is set, a key that was taken away has to be refused
that long after it at the latest, in touch or not. A node then takes no key
once its proof is older than most of the bound. The age is read after the
request has arrived and before the table: if the proof is at most as old as the
bound, everything accepted a bound before the request was sent is part of the
table. What happens to the request later, at whichever node and however late,
changes nothing about that.
"""

import dataclasses
import math

# Longest wait for a proof. Those who come later, while there still is none, do
# not wait.
PROOF_WAIT_S = 0.1
# Shortest time between two requests for a proof.
ASK_GAP_S = 0.05
# Part of the bound on withdrawals up to which keys are taken. The rest is for
# clocks that run at different speeds. A node that was in touch until it was cut
# off held a proof that was up to 1.5 heartbeats old by then.
WITHDRAWAL_SHARE = 0.9
# Shortest time between two requests for a proof while no key is taken.
KEY_ASK_GAP_S = 0.25


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
      withdrawal_bound_s: Time after which a key that was taken away is refused
        everywhere, in seconds; 0 for no bound.
    """

    def __init__(
        self, max_age_s: float, withdrawal_bound_s: float = 0.0
    ) -> None:
        self._max_age_s = max_age_s
        self._max_key_age_s = (
            WITHDRAWAL_SHARE * withdrawal_bound_s
            if withdrawal_bound_s
            else math.inf
        )
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

    def takes_keys(self, now: float) -> bool:
        """Returns whether keys of accounts may be taken by the table.

        Args:
          now: Monotonic time in seconds, read after the request has arrived.
            The table has to be read after the call.
        """
        if self._max_key_age_s == math.inf:
            return True
        current_at = self._current_at
        return current_at is not None and (
            now - current_at <= self._max_key_age_s
        )

    def asks_for_keys(self, now: float) -> bool:
        """Returns whether to ask for a proof, since no key is taken."""
        if self.takes_keys(now) or now - self._asked_at < KEY_ASK_GAP_S:
            return False
        self._asked_at = now
        return True

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
