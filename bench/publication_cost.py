"""Measures publications at a replica: `python -m bench.publication_cost`.

For each document size it publishes a series of documents, each with one route
changed. It prints the bytes of the commands, of the replica's snapshot and of
its folder, the processor times, and the peak memory of the process.
"""

import multiprocessing
import pathlib
import resource
import tempfile
import time

from bench import publication_documents
from bench import results
from lovagesaddle.control import replicated_state
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import store as store_lib

ROUTES = (1_600, 3_040)
PUBLICATIONS = 64
RESULTS_FILE = pathlib.Path("results") / "publication_cost.jsonl"
_IDENTITY = identity_lib.Identity(
    cluster_id="bench", replica_id="r1", member_id="r1-1"
)


def measure(route_count: int) -> results.Sample:
    """Measures publications of documents with `route_count` routes."""
    author = publication_documents.Author(route_count)
    machine = replicated_state.ReplicatedState()
    idle_mb = _read_peak_mb()
    sizes: list[int] = []
    propose_s = apply_s = 0.0
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with store_lib.Store(folder=folder, identity=_IDENTITY) as store:
            for index in range(1, PUBLICATIONS + 1):
                command = author.write_command()
                started_at = time.process_time()
                payload = machine.encode_command(command)
                propose_s += time.process_time() - started_at
                sizes.append(len(payload))
                del command
                entry = entries_lib.Entry(
                    index=index,
                    term=1,
                    kind=entries_lib.EntryKind.COMMAND,
                    payload=payload,
                )
                store.write((events.Persist(sync_id=index, entries=(entry,)),))
                started_at = time.process_time()
                machine.apply((entry,))
                apply_s += time.process_time() - started_at
                del entry, payload
            state_mb = _read_peak_mb()
            log_bytes = _sum_file_sizes(folder)
            started_at = time.process_time()
            data = machine.encode()
            encode_s = time.process_time() - started_at
            image = entries_lib.Image(index=PUBLICATIONS, term=1, data=data)
            started_at = time.process_time()
            store.write(
                (events.Persist(sync_id=PUBLICATIONS + 1, image=image),)
            )
            store_s = time.process_time() - started_at
            peak_mb = _read_peak_mb()
        restored = replicated_state.ReplicatedState()
        started_at = time.process_time()
        restored.restore(image)
        restore_s = time.process_time() - started_at
    if restored.state != machine.state:
        raise AssertionError("the restored state differs from the original")
    return results.Sample(
        experiment="publication_cost",
        variant=f"{route_count} routes",
        seed=1,
        figures=(
            _make_figure("first command", sizes[0] / 1e3, "kB"),
            _make_figure("later command", max(sizes[1:]) / 1e3, "kB"),
            _make_figure(
                "encode command", propose_s / PUBLICATIONS * 1e3, "ms"
            ),
            _make_figure("apply entry", apply_s / PUBLICATIONS * 1e3, "ms"),
            _make_figure("log on disk", log_bytes / 1e6, "MB"),
            _make_figure("snapshot", len(data) / 1e6, "MB"),
            _make_figure("encode snapshot", encode_s * 1e3, "ms"),
            _make_figure("store snapshot", store_s * 1e3, "ms"),
            _make_figure("restore snapshot", restore_s * 1e3, "ms"),
            _make_figure("memory of the state", state_mb - idle_mb, "MB"),
            _make_figure("memory with a snapshot", peak_mb - idle_mb, "MB"),
            _make_figure("memory at its peak", _read_peak_mb(), "MB"),
        ),
    )


def main() -> int:
    """Prints the table and writes the samples."""
    samples: list[results.Sample] = []
    for count in ROUTES:
        # Peak memory covers the whole life of a process, so each size is
        # measured in a process of its own.
        with multiprocessing.get_context("spawn").Pool(1) as pool:
            samples.append(pool.apply(measure, (count,)))
    results.write_samples(RESULTS_FILE, tuple(samples))
    print(results.format_table(tuple(samples)))
    return 0


def _sum_file_sizes(folder: pathlib.Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def _read_peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3


def _make_figure(name: str, value: float, unit: str) -> results.Figure:
    return results.Figure(name=name, value=value, unit=unit)


if __name__ == "__main__":
    raise SystemExit(main())
