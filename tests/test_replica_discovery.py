"""Tests of how a replica learns that it was removed."""

import random
from unittest import mock

from lovagesaddle.control import replica_discovery
from lovagesaddle.control import replica_links
from lovagesaddle.core import echoes
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import replica as replica_lib
from tests import fixtures

OWN = entries_lib.Member(
    member_id="r4-1", replica_id="r4", address="tcp://127.0.0.1:4"
)
LEADER = entries_lib.Member(
    member_id="r1-1", replica_id="r1", address="tcp://127.0.0.1:1"
)
TERM = 5


def _make_answer(sequence: int) -> founding.Introduction:
    """Returns a leader's answer that does not know the receiver."""
    return founding.Introduction(
        cluster_id="c",
        member=LEADER,
        is_founding=False,
        has_log=True,
        term=TERM,
        is_settled=True,
        members=(LEADER,),
        sequence=sequence,
    )


def _make_discovery(
    links: mock.Mock, *, leader: str
) -> replica_discovery.ReplicaDiscovery:
    replica = mock.create_autospec(replica_lib.Replica, instance=True)
    replica.last_index = 7
    replica.term = TERM
    replica.leader = leader
    return replica_discovery.ReplicaDiscovery(
        cluster_id="c",
        own=OWN,
        replica=replica,
        links=links,
        random_source=random.Random(1),
    )


def _is_removed(
    discovery: replica_discovery.ReplicaDiscovery, now: float
) -> bool:
    try:
        discovery.tick(now)
    except replica_discovery.RemovedError:
        return True
    return False


def test_late_answer_does_not_empty_a_replica_that_has_joined() -> None:
    """The answer to its first introduction may come after its first entries.

    A replica that believed it dropped its copy of accepted data.
    """
    links = mock.create_autospec(replica_links.ReplicaLinks, instance=True)
    discovery = _make_discovery(links, leader="r1-1")
    assert not _is_removed(discovery, 1.0)
    discovery.handle(_make_answer(echoes.NONE), b"", 1.1)
    assert not _is_removed(discovery, 1.2)
    # The answer to a question of an earlier process at the address.
    discovery.handle(_make_answer(12345), b"", 1.3)
    assert not _is_removed(discovery, 1.4)


def test_answer_to_its_question_tells_a_replica_that_it_was_removed() -> None:
    """A removed replica gets no entries and has to ask."""
    links = mock.create_autospec(replica_links.ReplicaLinks, instance=True)
    discovery = _make_discovery(links, leader="")
    assert not _is_removed(discovery, 1.0)
    assert not _is_removed(
        discovery, 1.1 + replica_discovery.NO_LEADER_TIMEOUT_S
    )
    (asked,) = links.introduce_to_all.call_args.args
    assert asked.is_question
    discovery.handle(_make_answer(asked.sequence), b"", 2.2)
    assert _is_removed(discovery, 2.3)


load_tests = fixtures.collect(__name__)
