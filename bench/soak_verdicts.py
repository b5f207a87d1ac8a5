"""Judges what callers and servers saw in a soak, and what processes wrote."""

import collections
import dataclasses
import math
import pathlib

from bench import soak_load

GRACE_S = 6
# A planned stop is judged if nothing else happened for this long.
CALM_S = 3.0
# A request that was not passed on may be cut so long after its last byte.
SLACK_S = 0.2
# A request that was sent later than this after SIGTERM is never cut; an earlier
# one only while its server works on it, in the last sixth of the grace period.
LATE_S = 3.0
CUT_SHARE = 5 / 6
NOT_RUN = frozenset({408, 421, 429, 503})
PLANNED = "term"
# Lines shown from the first one of an error on.
CONTEXT_LINES = 16
# Log lines of errors that no fault explains.
UNEXPECTED = (
    "Traceback",
    "Assertion failed",
    "event=tick_failed",
    "event=answer_failed",
    "event=control_event_failed",
    "event=watch_failed",
    "event=replica_failed",
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Fault:
    """A disruption of one VM; it ends when its process was started again."""

    kind: str
    ip: str
    began_at: float
    ended_at: float = math.inf


def judge_calls(
    calls: list[soak_load.Call],
    faults: list[Fault],
    runs: collections.Counter[str],
) -> list[str]:
    """Returns the promises that calls broke, one line each.

    Args:
      calls: Requests of callers.
      faults: All disruptions.
      runs: Number of times that each request ran.
    """
    findings: list[str] = []
    for call in calls:
        count = runs[call.request_id]
        if call.method == "POST" and count > 1:
            findings.append(f"TWICE: {call}: ran {count} times")
        if call.method == "POST" and call.status in NOT_RUN and count:
            findings.append(f"REFUSED: {call}: ran")
        if call.is_foreign:
            findings.append(f"MIXED: {call}")
        if _is_lost(call, faults, has_run=bool(count)):
            findings.append(f"LOST: {call}")
    return findings


def judge_logs(folder: pathlib.Path) -> list[str]:
    """Returns the errors in log files that no fault explains."""
    findings: list[str] = []
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text("utf-8", "replace").splitlines()
        for number, line in enumerate(lines):
            if any(text in line for text in UNEXPECTED):
                context = " | ".join(lines[number : number + CONTEXT_LINES])
                findings.append(f"{path.name}: {context}")
    return findings


def _is_lost(
    call: soak_load.Call, faults: list[Fault], *, has_run: bool
) -> bool:
    """Returns whether a planned stop alone cut a request."""
    took_s = call.ended_at - call.sent_at
    if (
        call.status in (soak_load.OK, *NOT_RUN)
        or took_s >= soak_load.DEADLINE_S
    ):
        return False
    if not has_run and (call.status or took_s <= SLACK_S):
        return False
    near = [
        fault
        for fault in faults
        if fault.ip
        and fault.began_at <= call.ended_at
        and fault.ended_at >= call.sent_at - CALM_S
    ]
    stops = [fault for fault in near if fault.ip == call.node]
    if len(near) != 1 or not stops or stops[0].kind != PLANNED:
        return False
    stopped_at = stops[0].began_at
    is_excused = (
        call.sent_at - stopped_at <= LATE_S
        and call.ended_at - stopped_at >= GRACE_S * CUT_SHARE
    )
    return not is_excused
