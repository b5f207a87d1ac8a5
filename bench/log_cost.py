"""Measures the time that logging and latency records take.

`python -m bench.log_cost` prints the microseconds that one call takes on the
calling thread, as the median of several rounds.
"""

from collections.abc import Callable
import os
import statistics
import time

from lovagesaddle.observability import latencies
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema

ROUNDS = 9
CALLS = 5_000
US_PER_S = 1_000_000


def main() -> None:
    """Prints one line for each kind of call."""
    with (
        open(os.devnull, "w", encoding="utf-8") as sink,
        logs.LogWriter(sink, schema.LogSettings(level="info"), owned=False),
    ):
        log = logs.get_logger("bench")
        bound = log.bind()
        _print_time("line", lambda: log.info("server_picked", version=7, a="x"))
        _print_time(
            "line_bound", lambda: bound.info("server_picked", version=7)
        )
        _print_time("line_below_level", lambda: log.debug("quiet", version=7))
    recorder = latencies.LatencyRecorder("call_seconds", "")
    _print_time("latency", lambda: recorder.record(0.0123))


def _print_time(name: str, call: Callable[[], object]) -> None:
    rounds = [_measure_round(call) for _ in range(ROUNDS)]
    lowest, highest = min(rounds), max(rounds)
    median = statistics.median(rounds)
    print(f"{name}: {median:.1f} us (from {lowest:.1f} to {highest:.1f})")


def _measure_round(call: Callable[[], object]) -> float:
    started = time.perf_counter()
    for _ in range(CALLS):
        call()
    return (time.perf_counter() - started) / CALLS * US_PER_S


if __name__ == "__main__":
    main()
