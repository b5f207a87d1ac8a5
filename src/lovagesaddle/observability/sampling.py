"""Bounds how many lines about requests are written."""

import threading
import time


class Sampler:
    """A token bucket that holds the lines of one second.

    Args:
      lines_per_s: Lines that may be written in a second; 0 for no bound.
    """

    def __init__(self, lines_per_s: int) -> None:
        self._rate = lines_per_s
        self._tokens = float(lines_per_s)
        self._filled_at = 0.0
        self._left_out = 0
        self._lock = threading.Lock()

    def allow(self) -> bool:
        """Takes one line, or counts it as left out; for any thread."""
        if not self._rate:
            return True
        now = time.monotonic()
        with self._lock:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(float(self._rate), self._tokens + gained)
            self._filled_at = now
            if self._tokens < 1:
                self._left_out += 1
                return False
            self._tokens -= 1
            return True

    def pop_left_out(self) -> int:
        """Returns how many lines were left out since the last call."""
        with self._lock:
            left_out, self._left_out = self._left_out, 0
            return left_out
