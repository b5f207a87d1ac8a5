"""Measures how versions are accepted: `python -m bench.consensus`.

Runs real control processes on loopback, each with a data folder of its own on
this machine's disk, and operators that publish the services of a whole mesh.
"""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import pathlib
import signal
import tempfile
import time

from bench import fleet_state
from bench import replica_processes
from bench import results
from lovagesaddle.control import replicated_state
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import store as store_lib

SIZES = (3, 5)
PUBLISH_S = 5.0
OPERATORS = (1, 4)
IDLE_S = 10.0
LEADER_LOSSES = 9
LOG_LENGTHS = (1_000, 10_000, 100_000)
NODES = 50
MS_PER_S = 1000
RESULTS_FILE = pathlib.Path("results") / "consensus.jsonl"


def measure_publishes(size: int, operators: int) -> results.Sample:
    """Measures the rate, latency and syncs of publishes."""
    published = fleet_state.build_snapshot(NODES).services
    with (
        replica_processes.ReplicaProcesses(size) as replicas,
        _open_operators(replicas, operators, published) as publishers,
        futures.ThreadPoolExecutor(operators) as pool,
    ):
        publishers[0].publish_accepted()
        started = time.monotonic()
        done = pool.map(_publish_repeatedly, publishers)
        answers = [answer for part in done for answer in part]
        elapsed_s = time.monotonic() - started
        syncs = replicas.stop_all().syncs
    accepted = sum(answer.is_accepted for answer in answers)
    latencies = sorted(answer.latency_s for answer in answers)
    return results.Sample(
        experiment="consensus",
        variant=f"{size} replicas, {operators} operators",
        seed=1,
        figures=(
            _make_figure("accepted publishes", accepted / elapsed_s, "1/s"),
            _make_figure("answered publishes", len(answers) / elapsed_s, "1/s"),
            _make_figure(
                "publish p50",
                _compute_quantile(latencies, 0.5) * MS_PER_S,
                "ms",
            ),
            _make_figure(
                "publish p99",
                _compute_quantile(latencies, 0.99) * MS_PER_S,
                "ms",
            ),
            _make_figure(
                "syncs of all replicas", syncs / len(answers), "1/publish"
            ),
        ),
    )


def measure_idle(size: int) -> results.Sample:
    """Measures processor time, memory and traffic of idle replicas."""
    with (
        replica_processes.ReplicaProcesses(size) as replicas,
        replica_processes.Publisher(replicas.list_addresses()) as operator,
    ):
        operator.publish_accepted()
        before = replicas.read_cpu_s()
        started = time.monotonic()
        time.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started
        cpu_s = replicas.read_cpu_s() - before
        memory = replicas.read_memory_bytes()
        totals = replicas.stop_all()
    return results.Sample(
        experiment="consensus",
        variant=f"{size} replicas, idle",
        seed=1,
        figures=(
            _make_figure(
                "processor of a replica", cpu_s / elapsed_s / size * 100, "%"
            ),
            _make_figure("memory of a replica", memory / 1e6, "MB"),
            _make_figure(
                "traffic of a replica",
                totals.traffic_bytes / elapsed_s / size,
                "B/s",
            ),
        ),
    )


def measure_leader_loss(size: int) -> results.Sample:
    """Measures the time from a leader's kill to the next accepted publish."""
    gaps: list[float] = []
    for _ in range(LEADER_LOSSES):
        with (
            replica_processes.ReplicaProcesses(size) as replicas,
            replica_processes.Publisher(replicas.list_addresses()) as operator,
        ):
            operator.publish_accepted()
            replicas.stop(operator.leader.peer_id, signal.SIGKILL)
            started = time.monotonic()
            operator.publish_accepted()
            gaps.append(time.monotonic() - started)
    gaps.sort()
    return results.Sample(
        experiment="consensus",
        variant=f"{size} replicas, leader killed",
        seed=1,
        figures=(
            _make_figure("median to next publish", gaps[len(gaps) // 2], "s"),
            _make_figure("longest to next publish", gaps[-1], "s"),
        ),
    )


def measure_recovery(length: int) -> results.Sample:
    """Measures how long a replica takes to restore a log without snapshot.

    Args:
      length: Number of entries in the log.
    """
    identity = identity_lib.Identity(
        cluster_id="bench", replica_id="r1", member_id="r1-1"
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with store_lib.Store(folder=folder, identity=identity) as store:
            store.write((_make_log(length),))
            size = sum(path.stat().st_size for path in folder.iterdir())
        started = time.monotonic()
        with store_lib.Store(folder=folder, identity=identity) as store:
            loaded_at = time.monotonic()
            restored = replicated_state.ReplicatedState()
            restored.apply(store.restored.entries)
        applied_at = time.monotonic()
    return results.Sample(
        experiment="consensus",
        variant=f"log of {length} entries",
        seed=1,
        figures=(
            _make_figure("folder", size / 1e6, "MB"),
            _make_figure("read and check", loaded_at - started, "s"),
            _make_figure("apply", applied_at - loaded_at, "s"),
        ),
    )


def main() -> int:
    """Prints the table and writes the samples."""
    samples: list[results.Sample] = []
    for size in SIZES:
        for operators in OPERATORS:
            samples.append(measure_publishes(size, operators))
        samples.append(measure_leader_loss(size))
        samples.append(measure_idle(size))
    samples.extend(measure_recovery(length) for length in LOG_LENGTHS)
    results.write_samples(RESULTS_FILE, samples)
    print(results.format_table(samples))
    return 0


@contextlib.contextmanager
def _open_operators(
    replicas: replica_processes.ReplicaProcesses,
    count: int,
    published: tuple[services.Service, ...],
) -> Iterator[list[replica_processes.Publisher]]:
    addresses = replicas.list_addresses()
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                replica_processes.Publisher(addresses, published)
            )
            for _ in range(count)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class _PublishAnswer:
    latency_s: float
    is_accepted: bool


def _publish_repeatedly(
    operator: replica_processes.Publisher,
) -> list[_PublishAnswer]:
    answers: list[_PublishAnswer] = []
    end = time.monotonic() + PUBLISH_S
    while time.monotonic() < end:
        started = time.monotonic()
        outcome = operator.publish().outcome
        answers.append(
            _PublishAnswer(
                latency_s=time.monotonic() - started,
                is_accepted=outcome is commands.PublishOutcome.ACCEPTED,
            )
        )
    return answers


def _make_log(length: int) -> events.Persist:
    """Returns a log of membership changes that change one server each."""
    snapshot = fleet_state.build_snapshot(NODES)
    founding = commands.ChangeMembership(
        nodes=snapshot.nodes, servers=snapshot.servers
    )
    entries = [_make_entry(1, founding)]
    for index in range(2, length + 1):
        server = snapshot.servers[index % len(snapshot.servers)]
        entries.append(_make_entry(index, _change_slots(server, index)))
    return events.Persist(sync_id=1, entries=tuple(entries))


def _change_slots(
    server: snapshots.BackendServer, index: int
) -> commands.ChangeMembership:
    changed = snapshots.BackendServer(
        server_id=server.server_id,
        incarnation=server.incarnation,
        service=server.service,
        node_id=server.node_id,
        slots=index % 20,
        connections=server.connections,
        state=server.state,
    )
    return commands.ChangeMembership(servers=(changed,))


def _make_entry(
    index: int, command: commands.ChangeMembership
) -> entries_lib.Entry:
    return entries_lib.Entry(
        index=index,
        term=1,
        kind=entries_lib.EntryKind.COMMAND,
        payload=commands.COMMANDS.encode(command),
    )


def _compute_quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _make_figure(name: str, value: float, unit: str) -> results.Figure:
    return results.Figure(name=name, value=value, unit=unit)


if __name__ == "__main__":
    raise SystemExit(main())
