"""Majority-assigned IDs against the leader's log index.

`python -m bench.version_ids` lets publishers race for versions over the same
delays and syncs, in virtual time: once on fake stores that run the algorithm
of "Generating unique IDs", once on the replica core.
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
LOSSES = 20
LONGEST_S = 5.0
CLIENT_MESSAGES = 2
MS_PER_S = 1000
RESULTS_FILE = pathlib.Path("results") / "version_ids.jsonl"


@dataclasses.dataclass(slots=True)
class _Publisher:
    proposal_id: int = 0
    sent_at: float = 0.0


class CountingCluster(replica_cluster.Cluster):
    """Replicas whose messages are counted, without bare heartbeats."""

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
    """Returns the cost of a majority-assigned ID."""
    stores = majority_ids.Stores(seed=SEED, stores=size, publishers=publishers)
    stores.run(RUN_S)
    count = stores.count
    won = len(count.assigned)
    burnt = max(count.assigned, default=0) - won
    return _sample(
        f"majority, {size} stores, {publishers} publishers",
        won,
        count.rounds,
        count.messages,
        burnt,
        count.latencies_s,
    )


def measure_log(size: int, publishers: int) -> results.Sample:
    """Returns the cost of a version from the leader's log."""
    cluster = CountingCluster(seed=SEED, size=size)
    leader = cluster.wait_for_leader()
    cluster.messages = 0
    first = cluster.get(leader).commit_index
    racing = [_Publisher() for _ in range(publishers)]
    latencies: list[float] = []
    end = cluster.now + RUN_S
    while cluster.now < end:
        for publisher in racing:
            if publisher.proposal_id in cluster.accepted:
                latencies.append(cluster.now - publisher.sent_at)
                publisher.proposal_id = 0
            if not publisher.proposal_id:
                publisher.sent_at = cluster.now
                publisher.proposal_id = cluster.propose(leader, b"version")
        _wait_for_any(cluster, racing)
    won = len(latencies)
    burnt = cluster.get(leader).commit_index - first - won
    return _sample(
        f"log index, {size} replicas, {publishers} publishers",
        won,
        won,
        cluster.messages + won * CLIENT_MESSAGES,
        max(0, burnt - publishers),
        [seconds + 2 * majority_ids.DELAY_S for seconds in latencies],
    )


def measure_loss(size: int) -> tuple[results.Sample, results.Sample]:
    """Returns the gap after one store, or the leader, is lost."""
    gaps: list[float] = []
    for seed in range(LOSSES):
        cluster = CountingCluster(seed=seed, size=size)
        cluster.crash(cluster.wait_for_leader())
        started = cluster.now
        cluster.publish(b"next")
        gaps.append(cluster.now - started)
    waits: list[float] = []
    for seed in range(LOSSES):
        stores = majority_ids.Stores(seed=seed, stores=size, publishers=1)
        stores.run(1.0)
        stores.stop_store(0)
        stores.run(1.0)
        waits.append(max(stores.count.latencies_s))
    return (
        _loss(f"majority, {size} stores, one lost", waits),
        _loss(f"log index, {size} replicas, leader lost", gaps),
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
    cluster: replica_cluster.Cluster, racing: list[_Publisher]
) -> None:
    cluster.run_until(
        lambda: any(p.proposal_id in cluster.accepted for p in racing),
        limit_s=LONGEST_S,
    )


def _sample(
    variant: str,
    won: int,
    rounds: int,
    sent: int,
    burnt: int,
    latencies_s: list[float],
) -> results.Sample:
    ordered = sorted(latencies_s)
    return results.Sample(
        experiment="version_ids",
        variant=variant,
        seed=SEED,
        figures=(
            _figure("rounds", rounds / won, "1/version"),
            _figure("messages", sent / won, "1/version"),
            _figure("burnt numbers", burnt / won, "1/version"),
            _figure("p50", ordered[won // 2] * MS_PER_S, "ms"),
            _figure("p99", ordered[won * 99 // 100] * MS_PER_S, "ms"),
        ),
    )


def _loss(variant: str, gaps: list[float]) -> results.Sample:
    ordered = sorted(gaps)
    return results.Sample(
        experiment="version_ids",
        variant=variant,
        seed=SEED,
        figures=(
            _figure("median gap", ordered[len(ordered) // 2], "s"),
            _figure("longest gap", ordered[-1], "s"),
        ),
    )


def _figure(name: str, value: float, unit: str) -> results.Figure:
    return results.Figure(name=name, value=value, unit=unit)


if __name__ == "__main__":
    raise SystemExit(main())
