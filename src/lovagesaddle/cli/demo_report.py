"""Checks the observations of the demo against the promises of the product."""

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
    """Percentiles of a latency, in seconds."""

    p50_s: float
    p99_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """The drain of one backend server.

    Attributes:
      server: Name of the server.
      at_s: Monotonic time in seconds at which its node accepted the drain.
      runs: Every request that the server ran.
    """

    server: str
    at_s: float
    runs: tuple[demo_server.Run, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """The measurements and events that the demo recorded.

    Attributes:
      convergence_s: For each publish, seconds from acceptance until every
        node routed by it.
      control_bytes: Configuration traffic that the nodes counted.
      calls: Every call through the nodes.
      runs: Number of runs by path, over all backend servers.
      drain: Drain of one server.
      regressions: Changes of a node to an older version.
      direct: Latency of calls sent directly to backend servers.
      through: Latency of calls through nodes.
    """

    convergence_s: tuple[float, ...]
    control_bytes: int
    calls: tuple[demo_traffic.Call, ...]
    runs: Mapping[str, int]
    drain: Drain
    regressions: tuple[demo_watch.VersionChange, ...]
    direct: Latency
    through: Latency


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """A promise of the product and its breaches.

    Attributes:
      text: The promise.
      breaches: Observations that break it, one sentence each.
    """

    text: str
    breaches: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The printed result of the demo.

    Attributes:
      convergence_s: See `Observations`.
      control_bytes: See `Observations`.
      ends: Number of calls by the value of their `CallEnd`.
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


def make_report(observed: Observations) -> Report:
    """Returns the report on the observations."""
    ends = {end.value: 0 for end in CallEnd}
    for call in observed.calls:
        ends[call.end.value] += 1
    return Report(
        convergence_s=observed.convergence_s,
        control_bytes=observed.control_bytes,
        ends=ends,
        added_p50_s=observed.through.p50_s - observed.direct.p50_s,
        added_p99_s=observed.through.p99_s - observed.direct.p99_s,
        promises=_list_promises(observed),
    )


def _list_promises(observed: Observations) -> tuple[Promise, ...]:
    return (*_check_calls(observed), *_check_configuration(observed))


def _check_calls(observed: Observations) -> tuple[Promise, ...]:
    calls, runs = observed.calls, observed.runs
    return (
        Promise(
            text="every caller gets the whole answer to its own request",
            breaches=_describe_calls(calls, lambda c: c.end is CallEnd.WRONG),
        ),
        Promise(
            text="a request that is told not-run did not run",
            breaches=_describe_calls(
                calls,
                lambda c: c.end is CallEnd.REFUSED and bool(runs.get(c.path)),
            ),
        ),
        Promise(
            text="a non-idempotent request runs at most once",
            breaches=_describe_calls(
                calls,
                lambda c: (
                    c.target.method != IDEMPOTENT_METHOD
                    and runs.get(c.path, 0) > 1
                ),
            ),
        ),
        Promise(
            text="configuration and drain cut no request",
            breaches=_describe_calls(calls, lambda c: c.end is CallEnd.UNKNOWN),
        ),
    )


def _check_configuration(observed: Observations) -> tuple[Promise, ...]:
    late = [
        run
        for run in observed.drain.runs
        if run.started_s > observed.drain.at_s + DRAIN_NOTICE_S
    ]
    slow = [s for s in observed.convergence_s if s > CONVERGENCE_S]
    return (
        Promise(
            text="a leaving server gets no new work after a few seconds",
            breaches=tuple(
                f"{observed.drain.server} ran {r.path}" for r in late
            ),
        ),
        Promise(
            text="no node moves back to an older version",
            breaches=tuple(
                f"{c.node_id} went from {c.before} to {c.after}"
                for c in observed.regressions
            ),
        ),
        Promise(
            text="an accepted version is in force within seconds",
            breaches=tuple(f"it took {seconds:.1f} s" for seconds in slow),
        ),
    )


def _describe_calls(
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
    """Returns the report as text."""
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
