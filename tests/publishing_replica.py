"""A cluster of one replica that accepts publications, in virtual time.

`python -m tests.publishing_replica ROUTES COUNT` publishes COUNT times to a
real data folder, each time with one route changed, and prints the peak memory
of the process in kB.
"""

from collections.abc import Iterator
import contextlib
import pathlib
import re
import sys
import tempfile

from bench import publication_documents
import zmq

from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.control import replica_links
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import founding as founding_lib
from lovagesaddle.core.consensus import replica as replica_lib
from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import commands
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import store as store_lib
from lovagesaddle.storage import syncer as syncer_lib
from lovagesaddle.transport import endpoint as endpoint_lib

TICK_S = 0.02
MAX_TICKS = 200
OWN = entries_lib.Member(
    member_id="r1-1", replica_id="r1", address="tcp://127.0.0.1:1"
)
IDENTITY = identity_lib.Identity(
    cluster_id="c", replica_id="r1", member_id="r1-1"
)


class StoringSyncer(syncer_lib.Syncer):
    """Stores on the calling thread and records the stored sizes in bytes.

    Args:
      store: The data folder.
    """

    def __init__(self, store: store_lib.Store) -> None:
        self._store = store
        self._ready: list[events.Persist] = []
        self.entry_bytes: list[int] = []
        self.image_bytes: list[int] = []

    def put(self, persist: events.Persist) -> None:
        """See base class."""
        self._ready.append(persist)
        self.entry_bytes.extend(len(e.payload) for e in persist.entries)
        if persist.image is not None:
            self.image_bytes.append(len(persist.image.data))

    def poll(self) -> events.Persisted | None:
        """See base class."""
        ready, self._ready = tuple(self._ready), []
        if not ready:
            return None
        self._store.write(ready)
        return events.Persisted(sync_id=ready[-1].sync_id)


class NoJitter(timing.RandomSource):
    """Jitter that always gives the shortest timeout."""

    def random(self) -> float:
        """See base class."""
        return 0.0


class PublishingReplica:
    """Publishes and waits until the publication is applied.

    Args:
      store: The data folder.
      endpoint: Endpoint without connections.
    """

    def __init__(
        self, store: store_lib.Store, endpoint: endpoint_lib.Endpoint
    ) -> None:
        self.syncer = StoringSyncer(store)
        self.consensus = _make_consensus(store, endpoint, self.syncer)
        self._now = 0.0

    def publish(self, command: commands.PublishServices) -> int:
        """Publishes a command and returns its version."""
        self._run_until_leader()
        versions: list[int] = []
        refusals: list[str] = []
        self.consensus.propose(command, versions.append, refusals.append)
        for _ in range(MAX_TICKS):
            self.step()
            if refusals:
                raise AssertionError(refusals[0])
            if versions:
                return versions[0]
        raise AssertionError("the publish was not applied")

    def step(self) -> None:
        """Advances the virtual time by one tick."""
        self._now += TICK_S
        self.consensus.tick(self._now)
        self.consensus.flush(self._now)

    def _run_until_leader(self) -> None:
        for _ in range(MAX_TICKS):
            if self.consensus.view().state.snapshot.cluster_id:
                return
            self.step()
        raise AssertionError("the replica does not lead")


@contextlib.contextmanager
def open_replica(folder: pathlib.Path) -> Iterator[PublishingReplica]:
    """Yields a replica on a new or existing data folder."""
    with (
        zmq.Context() as context,
        endpoint_lib.Endpoint(context=context, own_id="r1") as endpoint,
        store_lib.Store(folder=folder, identity=IDENTITY) as store,
    ):
        yield PublishingReplica(store, endpoint)


def _make_consensus(
    store: store_lib.Store,
    endpoint: endpoint_lib.Endpoint,
    syncer: syncer_lib.Syncer,
) -> consensus_lib.Consensus:
    return consensus_lib.Consensus(
        cluster_id="c",
        own=OWN,
        replica=replica_lib.Replica(
            own_id=OWN.member_id,
            restored=store.restored,
            limits=timing.Timing(election_timeout_s=0.5),
            random=NoJitter(),
        ),
        founding=founding_lib.Founding(
            cluster_id="c", own=OWN, founders=("r1",), is_founding=True
        ),
        syncer=syncer,
        random_source=NoJitter(),
        links=replica_links.ReplicaLinks(
            endpoint=endpoint,
            cluster_id="c",
            own_id=OWN.member_id,
            replicas=(),
        ),
    )


def main(route_count: int, publications: int) -> None:
    """Publishes and prints the peak memory of this process, in kB."""
    author = publication_documents.Author(route_count)
    with (
        tempfile.TemporaryDirectory() as name,
        open_replica(pathlib.Path(name)) as replica,
    ):
        for _ in range(publications):
            replica.publish(author.write_command())
    print(_read_peak_kb())


def _read_peak_kb() -> int:
    # The peak of getrusage includes the process image before exec, such as a
    # large test run.
    status = pathlib.Path("/proc/self/status").read_text(encoding="utf-8")
    (peak,) = re.findall(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
    return int(peak)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
