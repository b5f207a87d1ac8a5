"""Joins what callers were told with what truly ran."""

import collections
from collections.abc import Iterable
import dataclasses
import pathlib

import msgspec

from bench import load
from bench import results

ADDED_P99_MS = 1.6
LEAVING_S = 2.0
OK_LIMIT = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """One line of the stand-ins' record.

    Attributes:
      event: "start", "end" or "cancelled".
      id: Of the request.
      attempt: Request ID that the mesh gave.
      pid: Of the stand-in.
      at: Epoch time in seconds.
    """

    event: str
    id: str
    attempt: str
    pid: int
    at: float


def read_calls(paths: Iterable[pathlib.Path]) -> list[load.CallRecord]:
    """Returns the records of every generator."""
    decoder = msgspec.json.Decoder(load.CallRecord)
    return [
        decoder.decode(line)
        for path in paths
        for line in path.read_bytes().splitlines()
    ]


def read_runs(path: pathlib.Path) -> list[RunRecord]:
    """Returns what the stand-ins ran."""
    decoder = msgspec.json.Decoder(RunRecord)
    if not path.exists():
        return []
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def compute_percentile(values: Iterable[float], share: float) -> float:
    """Returns the value that `share` of the values stay at or under."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def judge(
    calls: list[load.CallRecord], runs: list[RunRecord], seconds: float
) -> tuple[results.Figure, ...]:
    """Returns the figures that every scenario shows."""
    meshed = [call for call in calls if not call.direct]
    answered = [c for c in meshed if 0 < c.status < OK_LIMIT and not c.outcome]
    starts = collections.Counter(r.id for r in runs if r.event == "start")
    once = [c for c in meshed if not c.idempotent]
    false_not_run = [
        c for c in meshed if c.outcome == "not-run" and starts[c.request_id]
    ]
    by_outcome = collections.Counter(call.outcome for call in meshed)
    ms = [call.ms for call in answered]
    most = max((starts[call.request_id] for call in once), default=0)
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
        ("runs per non-idempotent request, most", most, "1", 1),
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


def judge_added(calls: list[load.CallRecord]) -> tuple[results.Figure, ...]:
    """Returns what the mesh adds to a direct call of the same kind."""
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
    runs: list[RunRecord], pid: int, left_at: float
) -> results.Figure:
    """Returns how much new work a leaving server got after `LEAVING_S`."""
    late = [
        run
        for run in runs
        if run.pid == pid
        and run.event == "start"
        and run.at > left_at + LEAVING_S
    ]
    return results.Figure(
        name="new work to a leaving server after 2 s",
        value=float(len(late)),
        unit="1",
        bound=0,
    )
