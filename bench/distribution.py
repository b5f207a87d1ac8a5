"""Measures distribution to many nodes: `python -m bench.distribution`.

The nodes run over real ZeroMQ on loopback, several in each worker process.
The relay tree is compared with two baselines: in one the leader pushes to
every node, in the other every node polls a replica. With `--beats`, only the
tree is measured, with several heartbeat intervals.
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
HEARTBEATS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
HEARTBEATS_SIZE = 100
DOMAINS = 3
WORKERS = 7
IDLE_S = 5.0
CHANGES = 12
CHANGE_GAP_S = 0.5
KILL_ROUNDS = 4
KILLED_SHARE = 0.05
CONVERGENCE_TIMEOUT_S = 60.0
POLL_S = 0.1
SETTLE_S = 3.0
BOUND_CONVERGENCE_S = 4.0
BOUND_BYTES_PER_S = 10_000.0
BOUND_CPU_PERCENT = 2.5
BOUND_MEMORY_MB = 256.0
RESULTS_FILE = pathlib.Path("results") / "distribution.jsonl"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """Resources that the workers and the leader have used so far.

    Attributes:
      at: Time of the reports, in seconds of the monotonic clock.
      cpu_s: Processor time of each worker, in seconds.
      memory_mb: Resident memory of each worker, in megabytes.
      node_bytes: Bytes sent and received by all nodes.
      leader_bytes: Bytes sent and received by the leader.
      leader_frames: Frames sent and received by the leader.
    """

    at: float
    cpu_s: tuple[float, ...]
    memory_mb: tuple[float, ...]
    node_bytes: int
    leader_bytes: int
    leader_frames: int


class Fleet:
    """Runs replicas in this process and nodes in worker processes.

    Args:
      method: Key of `distribution_methods.NODE_TYPES`.
      size: Number of nodes.
      heartbeat_s: Time between heartbeats, in seconds.
    """

    def __init__(self, method: str, size: int, heartbeat_s: float) -> None:
        self.size = size
        self.replicas = distribution_source.Replicas(heartbeat_s)
        self.names = tuple(f"n{number:04d}" for number in range(size))
        self.running = set(self.names)
        self.installed: dict[int, dict[str, float]] = {}
        self._newest: dict[str, int] = {}
        self._pipes: list[connection.Connection] = []
        self._processes: list[multiprocessing.process.BaseProcess] = []
        self._names_by_worker = _assign_to_workers(self.names)
        self._method = method
        self._heartbeat_s = heartbeat_s

    def __enter__(self) -> Self:
        self.replicas.__enter__()
        addresses = tuple(
            schema.ReplicaAddress(replica_id=p.peer_id, address=p.address)
            for p in self.replicas.list_peers()
        )
        spawn = multiprocessing.get_context("spawn")
        for names in self._names_by_worker:
            own_end, worker_end = spawn.Pipe()
            assignment = worker_lib.Assignment(
                method=self._method,
                names=names,
                domains=tuple(_choose_domain(name) for name in names),
                replicas=addresses,
                heartbeat_s=self._heartbeat_s,
            )
            process = spawn.Process(
                target=worker_lib.run_worker, args=(worker_end, assignment)
            )
            process.start()
            self._pipes.append(own_end)
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
            process.join(CONVERGENCE_TIMEOUT_S)
        self.replicas.__exit__(kind, error, trace)

    def collect(self) -> Totals:
        """Requests a report from every worker; returns the totals."""
        for pipe in self._pipes:
            pipe.send(worker_lib.ReportOrder())
        reports: list[worker_lib.Report] = [p.recv() for p in self._pipes]
        for report in reports:
            for install in report.installed:
                self.installed.setdefault(install.version, {})[install.name] = (
                    install.at
                )
                self._newest[install.name] = install.version
        counts = self.replicas.leader.endpoint.traffic.list_counts()
        return Totals(
            at=time.monotonic(),
            cpu_s=tuple(report.cpu_s for report in reports),
            memory_mb=tuple(report.memory_mb for report in reports),
            node_bytes=sum(sum(report.sizes) for report in reports),
            leader_bytes=sum(count.size for count in counts),
            leader_frames=sum(count.frames for count in counts),
        )

    def wait_until(self, done: Callable[[], bool]) -> None:
        """Collects reports until `done()` is true.

        Raises:
          TimeoutError: It was not true within `CONVERGENCE_TIMEOUT_S` seconds.
        """
        end = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while not done():
            if time.monotonic() > end:
                raise TimeoutError("the nodes did not converge")
            time.sleep(POLL_S)
            self.collect()

    def wait_until_installed(self, version: int) -> None:
        """Waits until every running node has installed `version` or newer."""
        self.wait_until(
            lambda: all(
                self._newest.get(name, 0) >= version for name in self.running
            )
        )

    def find_install_times(self, version: int) -> list[float]:
        """Returns when each running node first installed `version` or newer.

        The times are in seconds of the monotonic clock, in no order.
        """
        install_times: list[float] = []
        for name in self.running:
            times = [
                nodes[name]
                for newer, nodes in self.installed.items()
                if newer >= version and name in nodes
            ]
            install_times.append(min(times))
        return install_times

    def kill(self, names: set[str]) -> None:
        """Stops nodes without a notice to their peers."""
        self.running -= names
        for pipe in self._pipes:
            pipe.send(worker_lib.KillOrder(names=tuple(names)))

    def list_relays(self) -> list[str]:
        """Returns the running nodes that are the eager parent of another."""
        snapshot = self.replicas.log.state.snapshot
        eager_parents = {
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
        return sorted(eager_parents & self.running)


def measure(method: str, size: int, heartbeat_s: float) -> results.Sample:
    """Measures one method at one size.

    Args:
      method: Key of `distribution_methods.NODE_TYPES`.
      size: Number of nodes.
      heartbeat_s: Time between heartbeats, in seconds.
    """
    with Fleet(method, size, heartbeat_s) as fleet:
        log = fleet.replicas.log
        fleet.wait_until(lambda: len(log.state.snapshot.nodes) == size)
        fleet.wait_until_installed(log.state.snapshot.version)
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
            figures += _measure_relay_kills(fleet)
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
    fleet.wait_until_installed(max(committed))
    time.sleep(1.0)
    end = fleet.collect()
    latencies: list[float] = []
    slowest: list[float] = []
    for version, at in committed.items():
        elapsed = [
            installed_at - at
            for installed_at in fleet.find_install_times(version)
        ]
        latencies.extend(elapsed)
        slowest.append(max(elapsed))
    return (start, end), latencies, slowest


def _measure_relay_kills(fleet: Fleet) -> tuple[results.Figure, ...]:
    source = random.Random(1)
    latencies: list[float] = []
    slowest: list[float] = []
    for _ in range(KILL_ROUNDS):
        relays = fleet.list_relays()
        if not relays:
            break
        count = max(1, round(len(relays) * KILLED_SHARE))
        fleet.kill(set(source.sample(relays, count)))
        version = fleet.replicas.log.publish()
        at = time.monotonic()
        fleet.wait_until_installed(version)
        elapsed = [
            installed_at - at
            for installed_at in fleet.find_install_times(version)
        ]
        latencies.extend(elapsed)
        slowest.append(max(elapsed))
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
            name=f"{prefix}node p50",
            value=_compute_quantile(ordered, 0.5),
            unit="s",
        ),
        results.Figure(
            name=f"{prefix}node p99",
            value=_compute_quantile(ordered, 0.99),
            unit="s",
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
    elapsed_s = after.at - before.at
    node_bytes_moved = after.node_bytes - before.node_bytes
    cpu_s = sum(after.cpu_s) - sum(before.cpu_s)
    single_node_cpu_s = after.cpu_s[0] - before.cpu_s[0]
    leader = after.leader_bytes - before.leader_bytes
    frames = after.leader_frames - before.leader_frames
    return (
        results.Figure(
            name="idle bytes for each node",
            value=node_bytes_moved / size / elapsed_s,
            unit="B/s",
            bound=BOUND_BYTES_PER_S,
        ),
        results.Figure(
            name="idle leader", value=leader / elapsed_s, unit="B/s"
        ),
        results.Figure(
            name="idle leader frames", value=frames / elapsed_s, unit="1/s"
        ),
        results.Figure(
            name="idle cpu for each node",
            value=100 * cpu_s / size / elapsed_s,
            unit="% of a core",
            bound=BOUND_CPU_PERCENT,
        ),
        results.Figure(
            name="idle cpu of a node alone",
            value=100 * single_node_cpu_s / elapsed_s,
            unit="% of a core",
            bound=BOUND_CPU_PERCENT,
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
    elapsed_s = end.at - start.at
    idle_s = after.at - before.at
    idle_nodes = (after.node_bytes - before.node_bytes) / idle_s * elapsed_s
    idle_leader = (
        (after.leader_bytes - before.leader_bytes) / idle_s * elapsed_s
    )
    idle_frames = (
        (after.leader_frames - before.leader_frames) / idle_s * elapsed_s
    )
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


def _compute_quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _assign_to_workers(names: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Assigns nodes to workers.

    The first worker has one node alone, whose processor time and memory can
    so be read.
    """
    rest = names[1:]
    parts = [rest[number::WORKERS] for number in range(WORKERS)]
    return [names[:1], *(part for part in parts if part)]


def _choose_domain(name: str) -> str:
    return f"domain-{int(name[1:]) % DOMAINS}"


def main(arguments: list[str]) -> int:
    """Prints the figures; returns 1 if one exceeds its bound."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    samples: list[results.Sample] = []
    if "--beats" in arguments:
        plan = [
            ("tree", HEARTBEATS_SIZE, heartbeat_s)
            for heartbeat_s in HEARTBEATS_S
        ]
    else:
        sizes = tuple(int(argument) for argument in arguments) or SIZES
        plan = [(method, size, 1.0) for method in METHODS for size in sizes]
    for method, size, heartbeat_s in plan:
        samples.append(measure(method, size, heartbeat_s))
        print(results.format_table(samples[-1:]), flush=True)
    print(results.format_table(samples))
    results.write_samples(RESULTS_FILE, samples)
    breaches = results.list_breaches(samples)
    print("\n".join(breaches) or "every figure is within its bound")
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
