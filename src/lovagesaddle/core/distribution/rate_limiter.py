"""A rate limit that tells the refused when to come back."""


class RateLimiter:
    """Grants a burst at once and then a steady rate.

    Each refusal reserves a later turn, so that a herd is spread out.

    Args:
      rate: Grants a second.
      burst: Grants at once.
    """

    def __init__(self, *, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._reserved = 0.0
        self._at: float | None = None

    def acquire(self, now: float) -> float:
        """Asks for one grant.

        Returns:
          0 when it is granted, else the seconds until the reserved turn.
        """
        if self._at is not None:
            gained = (now - self._at) * self._rate
            self._level = min(float(self._burst), self._level + gained)
            self._reserved = max(0.0, self._reserved - gained)
        self._at = now
        if self._level >= 1:
            self._level -= 1
            return 0.0
        self._reserved += 1
        return (self._reserved - self._level) / self._rate
