"""Tests of the consensus replica with its data folder and links."""

import zmq

from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.control import replica_links
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import founding as founding_lib
from lovagesaddle.core.consensus import replica as replica_lib
from lovagesaddle.core.consensus import timing
from lovagesaddle.core.model import commands
from lovagesaddle.storage import syncer as syncer_lib
from lovagesaddle.transport import endpoint as endpoint_lib
from tests import fixtures

TICKS = 100
TICK_S = 0.02
PROPOSING_TICKS = range(50, 52)


class FastSyncer(syncer_lib.Syncer):
    """Reports every sync as complete by the next poll."""

    def __init__(self) -> None:
        self._ready: list[events.Persist] = []
        self._started: list[events.Persist] = []

    def put(self, persist: events.Persist) -> None:
        """See base class."""
        self._ready.append(persist)

    def poll(self) -> events.Persisted | None:
        """See base class."""
        done, self._started = self._started, self._ready
        self._ready = []
        if not done:
            return None
        return events.Persisted(sync_id=done[-1].sync_id)


class NoJitter(timing.RandomSource):
    """Yields the shortest timeout always."""

    def random(self) -> float:
        """See base class."""
        return 0.0


def test_sync_that_ends_at_once_is_not_forgotten() -> None:
    """Every proposal is answered even if syncs complete immediately."""
    own = entries_lib.Member(
        member_id="r1-1", replica_id="r1", address="tcp://127.0.0.1:1"
    )
    applied: list[int] = []
    with (
        zmq.Context() as context,
        endpoint_lib.Endpoint(context=context, own_id="r1") as endpoint,
    ):
        consensus = _make_consensus(own, endpoint)
        for number in range(TICKS):
            consensus.tick(number * TICK_S)
            if number in PROPOSING_TICKS:
                consensus.propose(
                    commands.AssignShards(shards=()), applied.append, print
                )
            consensus.flush(number * TICK_S)
        assert consensus.view().is_leader
    assert len(applied) == len(PROPOSING_TICKS)


def _make_consensus(
    own: entries_lib.Member, endpoint: endpoint_lib.Endpoint
) -> consensus_lib.Consensus:
    return consensus_lib.Consensus(
        cluster_id="c",
        own=own,
        replica=replica_lib.Replica(
            own_id=own.member_id,
            restored=entries_lib.RestoredState(),
            limits=timing.Timing(election_timeout_s=0.2),
            random=NoJitter(),
        ),
        founding=founding_lib.Founding(
            cluster_id="c", own=own, founders=("r1",), is_founding=True
        ),
        syncer=FastSyncer(),
        random_source=NoJitter(),
        links=replica_links.ReplicaLinks(
            endpoint=endpoint,
            cluster_id="c",
            own_id=own.member_id,
            replicas=(),
        ),
    )


load_tests = fixtures.collect(__name__)
