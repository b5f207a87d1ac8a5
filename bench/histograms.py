"""Reads and writes HdrHistogram logs of call latencies.

A log has one interval for each second.
"""

from collections.abc import Iterable
import pathlib

from hdrh import histogram
from hdrh import log

from bench import load

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
US_PER_S = 1_000_000


def write_log(path: pathlib.Path, calls: Iterable[load.CallRecord]) -> None:
    """Writes the latencies of answered calls, in microseconds.

    Args:
      path: File to replace.
      calls: Calls of one run, in any order.
    """
    by_second: dict[int, histogram.HdrHistogram] = {}
    for call in calls:
        if call.status:
            interval = by_second.setdefault(int(call.due_at), _make_histogram())
            interval.record_value(max(LOWEST_US, round(call.ms * US_PER_MS)))
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", encoding="utf-8") as file:
        writer = log.HistogramLogWriter(file)
        writer.output_log_format_version()
        writer.output_legend()
        for second in sorted(by_second):
            writer.output_interval_histogram(
                by_second[second], second, second + 1, US_PER_S
            )


def read_log(path: pathlib.Path) -> histogram.HdrHistogram:
    """Returns all intervals of a log as one histogram, in microseconds."""
    total = _make_histogram()
    reader = log.HistogramLogReader(str(path), _make_histogram())
    while (interval := reader.get_next_interval_histogram()) is not None:
        total.add(interval)
    return total


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
