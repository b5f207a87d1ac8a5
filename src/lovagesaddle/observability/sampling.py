"""Rate limits on log lines about requests."""

import threading
import time


class Sampler:
    """Limits a rate by a token bucket whose capacity is one second of lines.

    Args:
      lines_per_s: Lines that may be written per second; 0 for no limit.
    """

    def __init__(self, lines_per_s: int) -> None:
        self._rate = lines_per_s
        self._tokens = float(lines_per_s)
        self._filled_at = 0.0
        self._omitted = 0
        self._lock = threading.Lock()

    def allow(self) -> bool:
        """Returns whether to write a line, and counts refused lines.

        Thread-safe.
        """
        if not self._rate:
            return True
        now = time.monotonic()
        with self._lock:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(float(self._rate), self._tokens + gained)
            self._filled_at = now
            if self._tokens < 1:
                self._omitted += 1
                return False
            self._tokens -= 1
            return True

    def pop_omitted(self) -> int:
        """Returns how many lines were omitted since the last call."""
        with self._lock:
            omitted, self._omitted = self._omitted, 0
            return omitted
