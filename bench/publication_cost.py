"""What publications cost a replica: `python -m bench.publication_cost`.

For documents of several sizes, publishes one after the other, each with one
route changed, and prints bytes of the commands, of the replica's snapshot and
of its folder, and the process's memory at its peak.
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
    """Returns the figures of documents with that many routes."""
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
                begun = time.process_time()
                payload = machine.encode_command(command)
                propose_s += time.process_time() - begun
                sizes.append(len(payload))
                del command
                entry = entries_lib.Entry(
                    index=index,
                    term=1,
                    kind=entries_lib.EntryKind.COMMAND,
                    payload=payload,
                )
                store.write((events.Persist(sync_id=index, entries=(entry,)),))
                begun = time.process_time()
                machine.apply((entry,))
                apply_s += time.process_time() - begun
                del entry, payload
            held_mb = _read_peak_mb()
            log_bytes = _measure_folder(folder)
            begun = time.process_time()
            data = machine.encode()
            encode_s = time.process_time() - begun
            image = entries_lib.Image(index=PUBLICATIONS, term=1, data=data)
            begun = time.process_time()
            store.write(
                (events.Persist(sync_id=PUBLICATIONS + 1, image=image),)
            )
            store_s = time.process_time() - begun
            peak_mb = _read_peak_mb()
        restored = replicated_state.ReplicatedState()
        begun = time.process_time()
        restored.restore(image)
        restore_s = time.process_time() - begun
    if restored.state != machine.state:
        raise AssertionError("the restored state is another one")
    return results.Sample(
        experiment="publication_cost",
        variant=f"{route_count} routes",
        seed=1,
        figures=(
            _figure("first command", sizes[0] / 1e3, "kB"),
            _figure("later command", max(sizes[1:]) / 1e3, "kB"),
            _figure("encode command", propose_s / PUBLICATIONS * 1e3, "ms"),
            _figure("apply entry", apply_s / PUBLICATIONS * 1e3, "ms"),
            _figure("log on disk", log_bytes / 1e6, "MB"),
            _figure("snapshot", len(data) / 1e6, "MB"),
            _figure("encode snapshot", encode_s * 1e3, "ms"),
            _figure("store snapshot", store_s * 1e3, "ms"),
            _figure("restore snapshot", restore_s * 1e3, "ms"),
            _figure("memory of the state", held_mb - idle_mb, "MB"),
            _figure("memory with a snapshot", peak_mb - idle_mb, "MB"),
            _figure("memory at its peak", _read_peak_mb(), "MB"),
        ),
    )


def main() -> int:
    """Prints the table and writes the samples."""
    samples: list[results.Sample] = []
    for count in ROUTES:
        # The peak of memory is of a process's whole life.
        with multiprocessing.get_context("spawn").Pool(1) as pool:
            samples.append(pool.apply(measure, (count,)))
    results.write_samples(RESULTS_FILE, tuple(samples))
    print(results.format_table(tuple(samples)))
    return 0


def _measure_folder(folder: pathlib.Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def _read_peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3


def _figure(name: str, value: float, unit: str) -> results.Figure:
    return results.Figure(name=name, value=value, unit=unit)


if __name__ == "__main__":
    raise SystemExit(main())
