"""What the demo saw, and which promises it holds against it."""

from collections.abc import Callable, Mapping, Sequence
import dataclasses

from lovagesaddle.cli import demo_server
from lovagesaddle.cli import demo_traffic
from lovagesaddle.cli import demo_watch

DRAIN_NOTICE_S = 3.0
CONVERGENCE_S = 5.0
MS_PER_S = 1000
IDEMPOTENT_METHOD = "GET"

CallEnd = demo_traffic.CallEnd


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Latency:
    """Percentiles in seconds."""

    p50_s: float
    p99_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """The server that was drained.

    Attributes:
      server: Its name.
      at_s: Monotonic time at which its node agreed.
      runs: Everything that it ran.
    """

    server: str
    at_s: float
    runs: tuple[demo_server.Run, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """Everything that the demo recorded.

    Attributes:
      convergence_s: For each publish, seconds from acceptance until every
        node routed by it.
      control_bytes: Configuration traffic that the nodes counted.
      calls: Every call through the nodes.
      runs: Times that a backend server ran each path.
      drain: The drained server.
      steps_back: Steps of a node to an older version.
      direct: Latency of calls straight to backend servers.
      through: Latency of calls through nodes.
    """

    convergence_s: tuple[float, ...]
    control_bytes: int
    calls: tuple[demo_traffic.Call, ...]
    runs: Mapping[str, int]
    drain: Drain
    steps_back: tuple[demo_watch.Step, ...]
    direct: Latency
    through: Latency


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """A promise and what broke it.

    Attributes:
      text: What has to hold.
      breaches: What was seen against it, a sentence each.
    """

    text: str
    breaches: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What the demo prints.

    Attributes:
      convergence_s: See `Seen`.
      control_bytes: See `Seen`.
      ends: Number of calls by how they ended.
      added_p50_s: Latency that the nodes add, median.
      added_p99_s: Latency that the nodes add, 99th percentile.
      promises: Each promise with its breaches.
    """

    convergence_s: tuple[float, ...]
    control_bytes: int
    ends: dict[str, int]
    added_p50_s: float
    added_p99_s: float
    promises: tuple[Promise, ...]

    @property
    def holds(self) -> bool:
        """Whether no promise was broken."""
        return not any(promise.breaches for promise in self.promises)


def judge(seen: Seen) -> Report:
    """Returns the report on what was seen."""
    ends = {end.value: 0 for end in CallEnd}
    for call in seen.calls:
        ends[call.end.value] += 1
    return Report(
        convergence_s=seen.convergence_s,
        control_bytes=seen.control_bytes,
        ends=ends,
        added_p50_s=seen.through.p50_s - seen.direct.p50_s,
        added_p99_s=seen.through.p99_s - seen.direct.p99_s,
        promises=_list_promises(seen),
    )


def _list_promises(seen: Seen) -> tuple[Promise, ...]:
    return (*_judge_calls(seen), *_judge_configuration(seen))


def _judge_calls(seen: Seen) -> tuple[Promise, ...]:
    calls, runs = seen.calls, seen.runs
    return (
        Promise(
            text="every caller gets the whole answer to its own request",
            breaches=_name_calls(calls, lambda c: c.end is CallEnd.WRONG),
        ),
        Promise(
            text="a request that is told not-run did not run",
            breaches=_name_calls(
                calls,
                lambda c: c.end is CallEnd.REFUSED and bool(runs.get(c.path)),
            ),
        ),
        Promise(
            text="a non-idempotent request runs at most once",
            breaches=_name_calls(
                calls,
                lambda c: (
                    c.target.method != IDEMPOTENT_METHOD
                    and runs.get(c.path, 0) > 1
                ),
            ),
        ),
        Promise(
            text="configuration and drain cut no request",
            breaches=_name_calls(calls, lambda c: c.end is CallEnd.UNKNOWN),
        ),
    )


def _judge_configuration(seen: Seen) -> tuple[Promise, ...]:
    late = [
        run
        for run in seen.drain.runs
        if run.started_s > seen.drain.at_s + DRAIN_NOTICE_S
    ]
    slow = [s for s in seen.convergence_s if s > CONVERGENCE_S]
    return (
        Promise(
            text="a leaving server gets no new work after a few seconds",
            breaches=tuple(f"{seen.drain.server} ran {r.path}" for r in late),
        ),
        Promise(
            text="no node moves back to an older version",
            breaches=tuple(
                f"{s.node_id} went from {s.before} to {s.after}"
                for s in seen.steps_back
            ),
        ),
        Promise(
            text="an accepted version is in force within seconds",
            breaches=tuple(f"it took {seconds:.1f} s" for seconds in slow),
        ),
    )


def _name_calls(
    calls: Sequence[demo_traffic.Call],
    is_breach: Callable[[demo_traffic.Call], bool],
) -> tuple[str, ...]:
    return tuple(
        f"{call.target.name} {call.path} ended {call.end.value}"
        f" with status {call.status}"
        for call in calls
        if is_breach(call)
    )


def describe(report: Report) -> str:
    """Returns the report as lines."""
    times = ", ".join(f"{s * MS_PER_S:.0f} ms" for s in report.convergence_s)
    ends = ", ".join(f"{count} {end}" for end, count in report.ends.items())
    added = (
        f"p50 {report.added_p50_s * MS_PER_S:.1f} ms,"
        f" p99 {report.added_p99_s * MS_PER_S:.1f} ms"
    )
    lines = [
        f"convergence    {times}",
        f"control bytes  {report.control_bytes}",
        f"calls          {ends}",
        f"added latency  {added} (everything shares one process)",
    ]
    for promise in report.promises:
        verdict = "BROKEN" if promise.breaches else "holds"
        lines.append(f"{verdict:<6} {promise.text}")
        lines += [f"       {breach}" for breach in promise.breaches]
    return "\n".join(lines)
