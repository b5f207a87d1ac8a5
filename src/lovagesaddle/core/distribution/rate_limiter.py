"""A token bucket that tells refused requests when to retry."""


class RateLimiter:
    """Limits requests to a burst followed by a steady rate.

    Each refusal reserves a later turn, which spreads the retries of a
    thundering herd over time.

    Args:
      rate: Requests granted per second.
      burst: Requests granted at once.
    """

    def __init__(self, *, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._reserved = 0.0
        self._updated_at: float | None = None

    def acquire(self, now: float) -> float:
        """Grants or refuses one request.

        Args:
          now: Monotonic time in seconds.

        Returns:
          0 if the request is granted, else the seconds until its reserved
          turn.
        """
        if self._updated_at is not None:
            gained = (now - self._updated_at) * self._rate
            self._tokens = min(float(self._burst), self._tokens + gained)
            self._reserved = max(0.0, self._reserved - gained)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        self._reserved += 1
        return (self._reserved - self._tokens) / self._rate
