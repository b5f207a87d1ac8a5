"""Keeps the requests to a backend server below the rate that it states.

This is for a server in need of relief: while it states a limit of requests a
second, its owner starts no more than that, whichever entry nodes they come
from, and tells the entry nodes when the next one may start.
"""

# Unused tokens are kept for this time, so that a pause is not followed by a
# burst that the server feels.
BURST_S = 0.25
# A server that takes none still gets a request now and then, since only the
# answer to a request can end the limit.
MIN_RATE = 0.25
# Keeps the arithmetic finite, whatever another node sends.
MAX_RATE = 1_000_000.0
# Waits that refusals reserve lie at most this far ahead, so that requests come
# back before the bucket is full and tokens are lost.
MAX_RESERVED_S = 1.0


class RequestRate:
    """Token bucket of the requests that may start at one server process.

    A limit ends with an answer that states none, to a request that was started
    after the newest answer that stated one: earlier answers may cross.
    """

    def __init__(self) -> None:
        self._rate: float | None = None
        self._is_stated = False
        self._stated_at = 0.0
        self._tokens = 1.0
        self._filled_at = 0.0
        self._reserved_until = 0.0

    @property
    def rate(self) -> float | None:
        """Requests a second that may start; None without a limit."""
        return self._rate

    @property
    def is_stated(self) -> bool:
        """Whether an answer of the server itself has set or ended the limit."""
        return self._is_stated

    def state(self, rate: float | None, *, sent_at: float, now: float) -> None:
        """Applies what an answer of the server states.

        Args:
          rate: Requests a second; None if the answer states no limit.
          sent_at: When the answered request was sent, in seconds.
          now: Monotonic time in seconds.
        """
        crossed = sent_at < self._stated_at
        if rate is None and self._rate is not None and crossed:
            return
        self._is_stated = True
        if rate is not None:
            self._stated_at = now
        self._set_rate(rate, now)

    def adopt(self, rate: float, now: float) -> None:
        """Applies a limit that the server stated before its owner started.

        It is ignored once the server itself has answered this owner.
        """
        if not self._is_stated:
            self._set_rate(rate, now)

    def take(self, now: float, *, may_overdraw: bool = False) -> bool:
        """Returns whether a request may start now, and counts it if so.

        Args:
          now: Monotonic time in seconds.
          may_overdraw: Whether the request may use a token in advance, as its
            body has already been transferred.
        """
        if self._rate is None:
            return True
        self._fill(now)
        needed = 1.0 - (self._capacity if may_overdraw else 0.0)
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True

    def compute_wait(self, now: float) -> float:
        """Returns the time until another request may start, in seconds."""
        if self._rate is None:
            return 0.0
        self._fill(now)
        wait_s = max(0.0, 1.0 - self._tokens) / self._rate
        return max(wait_s, self._reserved_until - now)

    def reserve_wait(self, now: float) -> float:
        """Returns the wait of one refused request, in seconds.

        Each refusal returns a later time, so that the refused requests don't
        come back at once.
        """
        if self._rate is None:
            return 0.0
        wait_s = self.compute_wait(now)
        next_s = min(wait_s + 1.0 / self._rate, MAX_RESERVED_S)
        self._reserved_until = now + next_s
        return wait_s

    @property
    def _capacity(self) -> float:
        assert self._rate is not None
        return max(1.0, self._rate * BURST_S)

    def _set_rate(self, rate: float | None, now: float) -> None:
        if rate is None:
            self._rate = None
            self._reserved_until = 0.0
            return
        if self._rate is None:
            self._tokens = 1.0
            self._filled_at = now
        else:
            self._fill(now)
        self._rate = max(MIN_RATE, min(rate, MAX_RATE))
        self._tokens = min(self._tokens, self._capacity)

    def _fill(self, now: float) -> None:
        assert self._rate is not None
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(
            self._capacity, self._tokens + elapsed_s * self._rate
        )
