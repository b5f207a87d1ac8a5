"""Measures the state by fleet size: `python -m bench.state_cost`.

Prints, for several fleet sizes, the encoded size of the snapshot and of one
change, and the time to compute digests and to compute and apply a delta.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import time

import msgspec

from bench import fleet_state
from bench import results
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import snapshots

SIZES = (100, 200, 550, 1_100)
REPEATS = 15
RESULTS_FILE = pathlib.Path("results") / "state_cost.jsonl"


def measure(node_count: int) -> results.Sample:
    """Measures the state of a fleet with `node_count` nodes."""
    snapshot = fleet_state.build_snapshot(node_count)
    base = delta.hash_snapshot(snapshot)
    changed_server = dataclasses.replace(snapshot.servers[0], slots=19)
    target_snapshot = dataclasses.replace(
        snapshot, version=2, servers=(changed_server, *snapshot.servers[1:])
    )
    target = delta.rehash_snapshot(base, target_snapshot)
    change = delta.compute_delta(base, target)
    encoder = msgspec.msgpack.Encoder()
    return results.Sample(
        experiment="state_cost",
        variant=f"{node_count} nodes",
        seed=1,
        figures=(
            _make_size_figure("snapshot", encoder.encode(snapshot)),
            _make_size_figure("delta of one server", encoder.encode(change)),
            _measure_time(
                "digest of the whole", lambda: delta.hash_snapshot(snapshot)
            ),
            _measure_time(
                "digest of one change",
                lambda: delta.rehash_snapshot(base, target_snapshot),
            ),
            _measure_time(
                "compute delta", lambda: delta.compute_delta(base, target)
            ),
            _measure_time(
                "apply delta", lambda: delta.apply_delta(base, change)
            ),
            *_measure_state(snapshot),
        ),
    )


def _measure_state(snapshot: snapshots.Snapshot) -> list[results.Figure]:
    """Measures the encoding of a replica's whole state."""
    publication = operator_messages.Publication(
        version=1,
        publish_id="p" * 32,
        operator="bench",
        base_version=0,
        revisions=tuple(f"{s.name}={s.revision}" for s in snapshot.services),
    )
    record = state_lib.PublicationRecord(
        publication=publication, services=snapshot.services
    )
    state = state_lib.State(
        snapshot=snapshot,
        publications=(record,) * state_lib.MAX_PUBLICATIONS,
    )
    publish = commands.PublishServices(
        publish_id="p" * 32,
        operator="bench",
        base_version=0,
        services=snapshot.services,
    )
    encoder = msgspec.msgpack.Encoder()
    return [
        _make_size_figure("publish command", encoder.encode(publish)),
        _make_size_figure("replica's state", encoder.encode(state)),
        _measure_time("encode replica's state", lambda: encoder.encode(state)),
    ]


def main() -> int:
    """Prints the table and writes the samples."""
    samples = tuple(measure(size) for size in SIZES)
    results.write_samples(RESULTS_FILE, samples)
    print(results.format_table(samples))
    return 0


def _make_size_figure(name: str, data: bytes) -> results.Figure:
    return results.Figure(name=name, value=len(data), unit="B")


def _measure_time(name: str, work: Callable[[], object]) -> results.Figure:
    elapsed_s: list[float] = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        work()
        elapsed_s.append(time.perf_counter() - started_at)
    median_s = sorted(elapsed_s)[REPEATS // 2]
    return results.Figure(name=name, value=median_s * 1_000, unit="ms")


if __name__ == "__main__":
    raise SystemExit(main())
