"""Tests of publishes and reads that any replica carries to the leader."""

import threading

from returns import result

from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from tests import control_cluster
from tests import fixtures

WAIT_S = 5.0


def _make(serial: int, base: int) -> commands.PublishServices:
    return commands.PublishServices(
        publish_id=f"document-{base}-{serial}",
        operator="ana",
        base_version=0,
        services=(),
        document=documents.Document(
            serial=serial, base_serial=base, content=f"no {serial}".encode()
        ),
    )


def test_every_replica_publishes_and_reads() -> None:
    """A change through one replica is read at once through any other."""
    with control_cluster.ControlCluster() as cluster:
        cluster.find_leader()
        base = 0
        for number, program in enumerate(cluster.programs.values()):
            serial = base + 3 + number
            found = program.forwarder.publish(_make(serial, base), WAIT_S)
            accepted = commands.PublishOutcome.ACCEPTED
            assert found.unwrap().outcome is accepted
            for reader in cluster.programs.values():
                newest = reader.forwarder.read_newest(WAIT_S).unwrap()
                assert newest.document is not None
                assert newest.document.serial == serial
                assert newest.document.content == f"no {serial}".encode()
            base = serial


def test_one_of_two_racing_documents_wins() -> None:
    """Two documents on one base are not both accepted, wherever they arrive."""
    with control_cluster.ControlCluster() as cluster:
        cluster.find_leader()
        programs = tuple(cluster.programs.values())
        outcomes: list[commands.PublishOutcome] = []

        def publish(number: int) -> None:
            found = programs[number].forwarder.publish(
                _make(7 + number, 0), WAIT_S
            )
            outcomes.append(found.unwrap().outcome)

        racers = [threading.Thread(target=publish, args=(n,)) for n in range(2)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        assert sorted(outcome.value for outcome in outcomes) == [
            "accepted",
            "conflict",
        ]


def test_replica_without_a_leader_refuses_at_once() -> None:
    """Alone, a replica neither publishes nor reads, and says so."""
    with control_cluster.ControlCluster() as cluster:
        leader = cluster.find_leader()
        alone = next(name for name in cluster.programs if name != leader)
        for name in tuple(cluster.programs):
            if name != alone:
                cluster.stop(name)
        cluster.wait_for_status(alone, lambda status: not status.leader_id)
        forwarder = cluster.programs[alone].forwarder
        assert isinstance(forwarder.read_newest(WAIT_S), result.Failure)
        assert isinstance(
            forwarder.publish(_make(7, 0), WAIT_S), result.Failure
        )


load_tests = fixtures.collect(__name__)
