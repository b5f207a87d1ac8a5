"""Compares majority-assigned IDs with the leader's log index.

`python -m bench.version_ids` lets publishers compete for versions with the same
delays and sync times, in virtual time: on fake stores that run the algorithm of
"Generating unique IDs", and on the replica core.
"""

import dataclasses
import pathlib

from tests import replica_cluster

from bench import majority_ids
from bench import results
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import messages

PUBLISHERS = (1, 2, 5, 10)
SIZES = (3, 5)
RUN_S = 2.0
SEED = 7
LOSS_RUNS = 20
MAX_WAIT_S = 5.0
CLIENT_MESSAGES = 2
MS_PER_S = 1000
RESULTS_FILE = pathlib.Path("results") / "version_ids.jsonl"


@dataclasses.dataclass(slots=True)
class _Publisher:
    proposal_id: int = 0
    sent_at: float = 0.0


class CountingCluster(replica_cluster.Cluster):
    """Counts the messages of replicas, except heartbeats without entries."""

    def __init__(self, *, seed: int, size: int) -> None:
        self.messages = 0
        super().__init__(seed=seed, size=size)
        self.faults = replica_cluster.Faults(
            delay_s=2 * majority_ids.DELAY_S, sync_s=2 * majority_ids.SYNC_S
        )

    def transmit(self, host: replica_cluster.Host, send: events.Send) -> None:
        """See base class."""
        match send.message:
            case messages.AppendRequest(entries=()):
                pass
            case _:
                self.messages += 1
        super().transmit(host, send)


def measure_majority(size: int, publishers: int) -> results.Sample:
    """Measures rounds, messages and latency of majority-assigned IDs."""
    stores = majority_ids.Stores(seed=SEED, stores=size, publishers=publishers)
    stores.run(RUN_S)
    count = stores.count
    assigned = len(count.assigned)
    unused = max(count.assigned, default=0) - assigned
    return _make_sample(
        f"majority, {size} stores, {publishers} publishers",
        assigned,
        count.rounds,
        count.messages,
        unused,
        count.latencies_s,
    )


def measure_log(size: int, publishers: int) -> results.Sample:
    """Measures rounds, messages and latency of versions from the log."""
    cluster = CountingCluster(seed=SEED, size=size)
    leader = cluster.wait_for_leader()
    cluster.messages = 0
    first = cluster.get(leader).commit_index
    competitors = [_Publisher() for _ in range(publishers)]
    latencies: list[float] = []
    end = cluster.now + RUN_S
    while cluster.now < end:
        for publisher in competitors:
            if publisher.proposal_id in cluster.accepted:
                latencies.append(cluster.now - publisher.sent_at)
                publisher.proposal_id = 0
            if not publisher.proposal_id:
                publisher.sent_at = cluster.now
                publisher.proposal_id = cluster.propose(leader, b"version")
        _wait_for_any(cluster, competitors)
    assigned = len(latencies)
    unused = cluster.get(leader).commit_index - first - assigned
    return _make_sample(
        f"log index, {size} replicas, {publishers} publishers",
        assigned,
        assigned,
        cluster.messages + assigned * CLIENT_MESSAGES,
        max(0, unused - publishers),
        [seconds + 2 * majority_ids.DELAY_S for seconds in latencies],
    )


def measure_loss(size: int) -> tuple[results.Sample, results.Sample]:
    """Measures the gap in versions once a store, or the leader, is lost."""
    gaps: list[float] = []
    for seed in range(LOSS_RUNS):
        cluster = CountingCluster(seed=seed, size=size)
        cluster.crash(cluster.wait_for_leader())
        started = cluster.now
        cluster.publish(b"next")
        gaps.append(cluster.now - started)
    waits: list[float] = []
    for seed in range(LOSS_RUNS):
        stores = majority_ids.Stores(seed=seed, stores=size, publishers=1)
        stores.run(1.0)
        stores.stop_store(0)
        stores.run(1.0)
        waits.append(max(stores.count.latencies_s))
    return (
        _make_loss_sample(f"majority, {size} stores, one lost", waits),
        _make_loss_sample(f"log index, {size} replicas, leader lost", gaps),
    )


def main() -> int:
    """Prints the table and writes the samples."""
    samples: list[results.Sample] = []
    for size in SIZES:
        for publishers in PUBLISHERS:
            samples.append(measure_majority(size, publishers))
            samples.append(measure_log(size, publishers))
        samples.extend(measure_loss(size))
    results.write_samples(RESULTS_FILE, samples)
    for sample in samples:
        figures = ", ".join(
            f"{figure.name} {figure.value:.3g} {figure.unit}"
            for figure in sample.figures
        )
        print(f"{sample.variant}: {figures}")
    return 0


def _wait_for_any(
    cluster: replica_cluster.Cluster, competitors: list[_Publisher]
) -> None:
    cluster.run_until(
        lambda: any(p.proposal_id in cluster.accepted for p in competitors),
        limit_s=MAX_WAIT_S,
    )


def _make_sample(
    variant: str,
    assigned: int,
    rounds: int,
    sent: int,
    unused: int,
    latencies_s: list[float],
) -> results.Sample:
    ordered = sorted(latencies_s)
    return results.Sample(
        experiment="version_ids",
        variant=variant,
        seed=SEED,
        figures=(
            _make_figure("rounds", rounds / assigned, "1/version"),
            _make_figure("messages", sent / assigned, "1/version"),
            _make_figure("burnt numbers", unused / assigned, "1/version"),
            _make_figure("p50", ordered[assigned // 2] * MS_PER_S, "ms"),
            _make_figure("p99", ordered[assigned * 99 // 100] * MS_PER_S, "ms"),
        ),
    )


def _make_loss_sample(variant: str, gaps: list[float]) -> results.Sample:
    ordered = sorted(gaps)
    return results.Sample(
        experiment="version_ids",
        variant=variant,
        seed=SEED,
        figures=(
            _make_figure("median gap", ordered[len(ordered) // 2], "s"),
            _make_figure("longest gap", ordered[-1], "s"),
        ),
    )


def _make_figure(name: str, value: float, unit: str) -> results.Figure:
    return results.Figure(name=name, value=value, unit=unit)


if __name__ == "__main__":
    raise SystemExit(main())
