"""Compares the outcomes that callers received with the recorded runs."""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib

import msgspec

from bench import load
from bench import results

ADDED_P99_MS = 1.6
DRAIN_NOTICE_S = 2.0
FIRST_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """One line of the file in which stand-in backend servers record runs.

    Attributes:
      event: "start", "end" or "cancelled".
      id: `Bench-Id` of the request.
      attempt: Request ID that the mesh assigned.
      pid: Process ID of the stand-in.
      at: Epoch time in seconds.
    """

    event: str
    id: str
    attempt: str
    pid: int
    at: float


def read_calls(paths: Iterable[pathlib.Path]) -> list[load.CallRecord]:
    """Returns the call records in the files of all generators."""
    decoder = msgspec.json.Decoder(load.CallRecord)
    return [
        decoder.decode(line)
        for path in paths
        for line in path.read_bytes().splitlines()
    ]


def read_runs(path: pathlib.Path) -> list[RunRecord]:
    """Returns the runs that the stand-ins recorded; none without a file."""
    decoder = msgspec.json.Decoder(RunRecord)
    if not path.exists():
        return []
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def compute_percentile(values: Iterable[float], share: float) -> float:
    """Returns the value at or under which a `share` of the values lies.

    Returns 0 if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_figures(
    calls: list[load.CallRecord], runs: list[RunRecord], seconds: float
) -> tuple[results.Figure, ...]:
    """Returns the figures that are common to all scenarios.

    Args:
      calls: Records of the generators.
      runs: Records of the stand-ins.
      seconds: Length of the schedule.
    """
    meshed = [call for call in calls if not call.direct]
    answered = [
        c for c in meshed if 0 < c.status < FIRST_SERVER_ERROR and not c.outcome
    ]
    starts = collections.Counter(r.id for r in runs if r.event == "start")
    non_idempotent = [c for c in meshed if not c.idempotent]
    false_not_run = [
        c for c in meshed if c.outcome == "not-run" and starts[c.request_id]
    ]
    by_outcome = collections.Counter(call.outcome for call in meshed)
    ms = [call.ms for call in answered]
    most_runs = max(
        (starts[call.request_id] for call in non_idempotent), default=0
    )
    figures = (
        ("calls", len(meshed), "1", None),
        ("goodput", len(answered) / seconds, "1/s", None),
        ("call p50", compute_percentile(ms, 0.5), "ms", None),
        ("call p99", compute_percentile(ms, 0.99), "ms", None),
        ("refused (not-run)", by_outcome["not-run"], "1", None),
        ("unknown", by_outcome["unknown"], "1", None),
        (
            "cut or unreachable",
            by_outcome["cut"] + by_outcome["unreachable"],
            "1",
            None,
        ),
        ("runs per non-idempotent request, most", most_runs, "1", 1),
        ("false not-run", len(false_not_run), "1", 0),
        (
            "generator late p99",
            compute_percentile([c.late_ms for c in calls], 0.99),
            "ms",
            None,
        ),
    )
    return tuple(
        results.Figure(name=name, value=float(value), unit=unit, bound=bound)
        for name, value, unit, bound in figures
    )


def compute_added_latency(
    calls: list[load.CallRecord],
) -> tuple[results.Figure, ...]:
    """Returns the latency that the mesh adds to a direct call."""
    direct = [c.ms for c in calls if c.direct and c.status]
    meshed = [
        c.ms
        for c in calls
        if not c.direct and c.status and c.kind == "/layouts-meshed"
    ]
    figures: list[results.Figure] = []
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        base = compute_percentile(direct, share)
        added = compute_percentile(meshed, share) - base
        bound = ADDED_P99_MS if name == "p99" else None
        figures += [
            results.Figure(name=f"direct {name}", value=base, unit="ms"),
            results.Figure(
                name=f"added {name}", value=added, unit="ms", bound=bound
            ),
        ]
    return tuple(figures)


def count_late_starts(
    runs: list[RunRecord], pid: int, drained_at: float
) -> results.Figure:
    """Counts the runs that a draining server began after `DRAIN_NOTICE_S`.

    Args:
      runs: Records of the stand-ins.
      pid: Process ID of the draining server.
      drained_at: Epoch time at which it began to drain, in seconds.
    """
    late = [
        run
        for run in runs
        if run.pid == pid
        and run.event == "start"
        and run.at > drained_at + DRAIN_NOTICE_S
    ]
    return results.Figure(
        name="new work to a leaving server after 2 s",
        value=float(len(late)),
        unit="1",
        bound=0,
    )
