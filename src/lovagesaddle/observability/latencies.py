"""Recording of latencies in an HdrHistogram."""

import threading

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class LatencyRecorder:
    """Records durations from 1 us to one hour; thread-safe.

    Args:
      name: Metric name; its unit is seconds by convention.
      help_text: Help line for /metrics.
    """

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self.help_text = help_text
        self._lock = threading.Lock()
        self._histogram = _make_histogram()
        self._sum_us = 0

    def record(self, seconds: float) -> None:
        """Records one duration; one above an hour counts as an hour."""
        value = int(seconds * US_PER_S)
        value = min(max(value, LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram.record_value(value)
            self._sum_us += value

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        with self._lock:
            return int(self._histogram.get_total_count())

    @property
    def total_s(self) -> float:
        """Sum of all recorded durations, in seconds."""
        with self._lock:
            return self._sum_us / US_PER_S

    def compute_percentile(self, percentile: float) -> float:
        """Returns a percentile of the durations, in seconds.

        Returns 0 when nothing was recorded.

        Args:
          percentile: Percentage of the durations, from 0 to 100.
        """
        with self._lock:
            if not self._histogram.get_total_count():
                return 0.0
            value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_S

    def encode(self) -> bytes:
        """Returns the histogram in the HdrHistogram V2 encoding, in base64."""
        with self._lock:
            encoded: bytes = self._histogram.encode()
        return encoded

    def merge(self, encoded: bytes) -> None:
        """Adds the durations of a histogram that `encode` returned."""
        other = histogram.HdrHistogram.decode(encoded)
        total_us = int(other.get_mean_value() * other.get_total_count())
        with self._lock:
            self._histogram.add(other)
            self._sum_us += total_us


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
