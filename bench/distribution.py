"""Distribution to many nodes: `python -m bench.distribution`.

Real ZeroMQ on loopback, several nodes in each worker process. The relay tree
runs beside two baselines: the leader pushes to every node, and every node
polls a replica. `--beats` varies the heartbeat of the tree instead.
"""

from collections.abc import Callable
import dataclasses
import logging
import multiprocessing
from multiprocessing import connection
import pathlib
import random
import sys
import time
import types
from typing import Self

import structlog

from bench import distribution_source
from bench import distribution_worker as worker_lib
from bench import results
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.settings import schema

SIZES = (10, 50, 100, 200)
METHODS = ("tree", "push", "poll")
BEATS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
BEATS_SIZE = 100
DOMAINS = 3
WORKERS = 7
IDLE_S = 5.0
CHANGES = 12
CHANGE_GAP_S = 0.5
ROUNDS_WITH_DEATHS = 4
DYING_SHARE = 0.05
LIMIT_S = 60.0
POLL_S = 0.1
SETTLE_S = 3.0
BOUND_CONVERGENCE_S = 4.0
BOUND_BYTES = 10_000.0
BOUND_CPU_SHARE = 2.5
BOUND_MEMORY_MB = 256.0
RESULTS_FILE = pathlib.Path("results") / "distribution.jsonl"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """What the workers and the leader had used at one moment."""

    at: float
    cpu_s: tuple[float, ...]
    memory_mb: tuple[float, ...]
    node_bytes: int
    leader_bytes: int
    leader_frames: int


class Fleet:
    """Replicas here and nodes in worker processes."""

    def __init__(self, method: str, size: int, heartbeat_s: float) -> None:
        self.size = size
        self.replicas = distribution_source.Replicas(heartbeat_s)
        self.names = tuple(f"n{number:04d}" for number in range(size))
        self.alive = set(self.names)
        self.installed: dict[int, dict[str, float]] = {}
        self._newest: dict[str, int] = {}
        self._pipes: list[connection.Connection] = []
        self._processes: list[multiprocessing.process.BaseProcess] = []
        self._plan = _split(self.names)
        self._method = method
        self._heartbeat_s = heartbeat_s

    def __enter__(self) -> Self:
        self.replicas.__enter__()
        addresses = tuple(
            schema.ReplicaAddress(replica_id=p.peer_id, address=p.address)
            for p in self.replicas.list_peers()
        )
        spawn = multiprocessing.get_context("spawn")
        for names in self._plan:
            ours, theirs = spawn.Pipe()
            assignment = worker_lib.Assignment(
                method=self._method,
                names=names,
                domains=tuple(_find_domain(name) for name in names),
                replicas=addresses,
                heartbeat_s=self._heartbeat_s,
            )
            process = spawn.Process(
                target=worker_lib.run_worker, args=(theirs, assignment)
            )
            process.start()
            self._pipes.append(ours)
            self._processes.append(process)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for pipe in self._pipes:
            pipe.send(worker_lib.ReportOrder(ends=True))
        for process in self._processes:
            process.join(LIMIT_S)
        self.replicas.__exit__(kind, error, trace)

    def collect(self) -> Totals:
        """Asks every worker for a report."""
        for pipe in self._pipes:
            pipe.send(worker_lib.ReportOrder())
        reports: list[worker_lib.Report] = [p.recv() for p in self._pipes]
        for report in reports:
            for one in report.installed:
                self.installed.setdefault(one.version, {})[one.name] = one.at
                self._newest[one.name] = one.version
        counts = self.replicas.leader.endpoint.traffic.list_counts()
        return Totals(
            at=time.monotonic(),
            cpu_s=tuple(report.cpu_s for report in reports),
            memory_mb=tuple(report.memory_mb for report in reports),
            node_bytes=sum(sum(report.sizes) for report in reports),
            leader_bytes=sum(count.size for count in counts),
            leader_frames=sum(count.frames for count in counts),
        )

    def wait(self, done: Callable[[], bool]) -> None:
        """Collects until `done()`."""
        end = time.monotonic() + LIMIT_S
        while not done():
            if time.monotonic() > end:
                raise TimeoutError("the nodes did not converge")
            time.sleep(POLL_S)
            self.collect()

    def wait_all(self, version: int) -> None:
        """Collects until every living node holds `version`."""
        self.wait(
            lambda: all(
                self._newest.get(name, 0) >= version for name in self.alive
            )
        )

    def find_arrivals(self, version: int) -> list[float]:
        """Returns when each living node first held `version` or a newer one."""
        arrivals: list[float] = []
        for name in self.alive:
            times = [
                nodes[name]
                for held, nodes in self.installed.items()
                if held >= version and name in nodes
            ]
            arrivals.append(min(times))
        return arrivals

    def kill(self, names: set[str]) -> None:
        """Ends nodes without a word."""
        self.alive -= names
        for pipe in self._pipes:
            pipe.send(worker_lib.KillOrder(names=tuple(names)))

    def list_relays(self) -> list[str]:
        """Returns the living nodes that are the eager parent of another."""
        snapshot = self.replicas.log.state.snapshot
        firsts = {
            relay_tree.plan_parents(
                snapshot,
                node.node_id,
                node.failure_domain,
                self.replicas.list_peers(),
            )
            .eager[0]
            .peer_id
            for node in snapshot.nodes
        }
        return sorted(firsts & self.alive)


def measure(method: str, size: int, heartbeat_s: float) -> results.Sample:
    """Returns the figures of one method at one size."""
    with Fleet(method, size, heartbeat_s) as fleet:
        log = fleet.replicas.log
        fleet.wait(lambda: len(log.state.snapshot.nodes) == size)
        fleet.wait_all(log.state.snapshot.version)
        time.sleep(SETTLE_S)
        before = fleet.collect()
        time.sleep(IDLE_S)
        after = fleet.collect()
        changes, latencies, slowest = _measure_changes(fleet)
        figures = (
            *_describe_latencies("", latencies, slowest),
            *_describe_idle(size, before, after),
            *_describe_changes(size, before, after, changes),
        )
        if method == "tree":
            figures += _measure_deaths(fleet)
    return results.Sample(
        experiment="distribution",
        variant=f"{method} {size} beat {heartbeat_s:g}",
        seed=1,
        figures=figures,
    )


def _measure_changes(
    fleet: Fleet,
) -> tuple[tuple[Totals, Totals], list[float], list[float]]:
    start = fleet.collect()
    committed: dict[int, float] = {}
    for _ in range(CHANGES):
        version = fleet.replicas.log.publish()
        committed[version] = time.monotonic()
        time.sleep(CHANGE_GAP_S)
    fleet.wait_all(max(committed))
    time.sleep(1.0)
    end = fleet.collect()
    latencies: list[float] = []
    slowest: list[float] = []
    for version, at in committed.items():
        taken = [arrival - at for arrival in fleet.find_arrivals(version)]
        latencies.extend(taken)
        slowest.append(max(taken))
    return (start, end), latencies, slowest


def _measure_deaths(fleet: Fleet) -> tuple[results.Figure, ...]:
    dice = random.Random(1)
    latencies: list[float] = []
    slowest: list[float] = []
    for _ in range(ROUNDS_WITH_DEATHS):
        relays = fleet.list_relays()
        if not relays:
            break
        count = max(1, round(len(relays) * DYING_SHARE))
        fleet.kill(set(dice.sample(relays, count)))
        version = fleet.replicas.log.publish()
        at = time.monotonic()
        fleet.wait_all(version)
        taken = [arrival - at for arrival in fleet.find_arrivals(version)]
        latencies.extend(taken)
        slowest.append(max(taken))
        time.sleep(SETTLE_S)
    if not latencies:
        return ()
    return _describe_latencies("relays die: ", latencies, slowest)


def _describe_latencies(
    prefix: str, latencies: list[float], slowest: list[float]
) -> tuple[results.Figure, ...]:
    ordered = sorted(latencies)
    return (
        results.Figure(
            name=f"{prefix}node p50", value=_pick(ordered, 0.5), unit="s"
        ),
        results.Figure(
            name=f"{prefix}node p99", value=_pick(ordered, 0.99), unit="s"
        ),
        results.Figure(
            name=f"{prefix}in force everywhere max",
            value=max(slowest),
            unit="s",
            bound=BOUND_CONVERGENCE_S,
        ),
    )


def _describe_idle(
    size: int, before: Totals, after: Totals
) -> tuple[results.Figure, ...]:
    took = after.at - before.at
    moved = after.node_bytes - before.node_bytes
    cpu_s = sum(after.cpu_s) - sum(before.cpu_s)
    alone_s = after.cpu_s[0] - before.cpu_s[0]
    leader = after.leader_bytes - before.leader_bytes
    frames = after.leader_frames - before.leader_frames
    return (
        results.Figure(
            name="idle bytes for each node",
            value=moved / size / took,
            unit="B/s",
            bound=BOUND_BYTES,
        ),
        results.Figure(name="idle leader", value=leader / took, unit="B/s"),
        results.Figure(
            name="idle leader frames", value=frames / took, unit="1/s"
        ),
        results.Figure(
            name="idle cpu for each node",
            value=100 * cpu_s / size / took,
            unit="% of a core",
            bound=BOUND_CPU_SHARE,
        ),
        results.Figure(
            name="idle cpu of a node alone",
            value=100 * alone_s / took,
            unit="% of a core",
            bound=BOUND_CPU_SHARE,
        ),
        results.Figure(
            name="memory of a node alone",
            value=after.memory_mb[0],
            unit="MB",
            bound=BOUND_MEMORY_MB,
        ),
    )


def _describe_changes(
    size: int, before: Totals, after: Totals, changes: tuple[Totals, Totals]
) -> tuple[results.Figure, ...]:
    start, end = changes
    took = end.at - start.at
    idle_s = after.at - before.at
    idle_nodes = (after.node_bytes - before.node_bytes) / idle_s * took
    idle_leader = (after.leader_bytes - before.leader_bytes) / idle_s * took
    idle_frames = (after.leader_frames - before.leader_frames) / idle_s * took
    nodes = end.node_bytes - start.node_bytes - idle_nodes
    leader = end.leader_bytes - start.leader_bytes - idle_leader
    frames = end.leader_frames - start.leader_frames - idle_frames
    return (
        results.Figure(
            name="change: bytes for each node",
            value=nodes / size / CHANGES,
            unit="B",
        ),
        results.Figure(
            name="change: leader bytes", value=leader / CHANGES, unit="B"
        ),
        results.Figure(
            name="change: leader frames", value=frames / CHANGES, unit="1"
        ),
    )


def _pick(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _split(names: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Returns the names of each worker; the first has one node alone."""
    rest = names[1:]
    parts = [rest[number::WORKERS] for number in range(WORKERS)]
    return [names[:1], *(part for part in parts if part)]


def _find_domain(name: str) -> str:
    return f"domain-{int(name[1:]) % DOMAINS}"


def main(arguments: list[str]) -> int:
    """Prints the figures; returns 1 when one is beyond its bound."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    samples: list[results.Sample] = []
    if "--beats" in arguments:
        plan = [("tree", BEATS_SIZE, beat_s) for beat_s in BEATS_S]
    else:
        sizes = tuple(int(argument) for argument in arguments) or SIZES
        plan = [(method, size, 1.0) for method in METHODS for size in sizes]
    for method, size, beat_s in plan:
        samples.append(measure(method, size, beat_s))
        print(results.format_table(samples[-1:]), flush=True)
    print(results.format_table(samples))
    results.write_samples(RESULTS_FILE, samples)
    breaches = results.list_breaches(samples)
    print("\n".join(breaches) or "every figure is within its bound")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
