"""Tests of publishes and reads that any replica forwards to the leader."""

from collections.abc import Callable
import dataclasses
import threading
from typing import Any, TypeVar

from returns import result

from lovagesaddle.control import program
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import operator_messages
from tests import control_cluster
from tests import fixtures
from tests import nodes

WAIT_S = 5.0
T = TypeVar("T")


def _make_publish(serial: int, base: int) -> commands.PublishServices:
    return commands.PublishServices(
        publish_id=f"document-{base}-{serial}",
        operator="ana",
        base_version=0,
        services=(),
        document=documents.Document(
            serial=serial, base_serial=base, content=f"no {serial}".encode()
        ),
    )


def _retry(request_call: Callable[[], result.Result[T, Any]]) -> T:
    """Repeats a request until a leader answers it, as operators do."""
    answers: list[T] = []

    def is_answered() -> bool:
        answers.extend(request_call().map(lambda answer: [answer]).value_or([]))
        return bool(answers)

    nodes.wait_for(is_answered, "an answer of a leader")
    return answers[0]


def _publish(
    replica: program.ControlProgram, command: commands.PublishServices
) -> commands.PublishOutcome:
    return _retry(lambda: replica.forwarder.publish(command, WAIT_S)).outcome


def _read_newest(
    replica: program.ControlProgram,
) -> operator_messages.NewestAnswer:
    return _retry(lambda: replica.forwarder.read_newest(WAIT_S))


def test_every_replica_publishes_and_reads() -> None:
    """A publish through one replica is visible at once through any other."""
    with control_cluster.ControlCluster() as cluster:
        cluster.find_leader()
        base = 0
        for number, replica in enumerate(cluster.programs.values()):
            serial = base + 3 + number
            outcome = _publish(replica, _make_publish(serial, base))
            assert outcome is commands.PublishOutcome.ACCEPTED
            for reader in cluster.programs.values():
                newest = _read_newest(reader)
                assert newest.document is not None
                assert newest.document.serial == serial
                assert newest.document.content == f"no {serial}".encode()
            base = serial


def test_one_of_two_racing_documents_wins() -> None:
    """Of two documents with the same base, only one is accepted.

    They are published through different replicas at the same time.
    """
    with control_cluster.ControlCluster() as cluster:
        cluster.find_leader()
        programs = tuple(cluster.programs.values())
        outcomes: list[commands.PublishOutcome] = []

        def publish(number: int) -> None:
            outcomes.append(
                _publish(programs[number], _make_publish(7 + number, 0))
            )

        racers = [threading.Thread(target=publish, args=(n,)) for n in range(2)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        assert sorted(outcome.value for outcome in outcomes) == [
            "accepted",
            "conflict",
        ]


def test_edit_that_does_not_fit_is_not_put_into_the_log() -> None:
    """An edit that can't be applied is refused before it is replicated.

    In the log it would stop every replica.
    """
    with control_cluster.ControlCluster() as cluster:
        leader = cluster.programs[cluster.find_leader()]
        _publish(leader, _make_publish(7, 0))
        state = leader._consensus.state
        edit = publication_edits.to_stored_command(state, _make_publish(8, 7))
        assert isinstance(edit, commands.EditPublication)
        assert edit.document is not None
        damaged = dataclasses.replace(
            edit,
            document=dataclasses.replace(
                edit.document, checksum=edit.document.checksum ^ 1
            ),
        )
        for name in tuple(cluster.programs):
            request = operator_messages.EditRequest(
                request_id=f"damaged-{name}", command=damaged
            )
            cluster.ask(name, request)
        assert not cluster.failures


def test_replica_without_a_leader_refuses_at_once() -> None:
    """A replica without a leader refuses publishes and reads."""
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
            forwarder.publish(_make_publish(7, 0), WAIT_S), result.Failure
        )


def test_added_kind_reaches_every_replica() -> None:
    """A follower forwards the operator; a restarted replica still has it."""
    with control_cluster.ControlCluster() as cluster:
        leader = cluster.find_leader()
        answer = cluster.ask_leader(
            lambda request_id: operator_messages.AddKindRequest(
                request_id=request_id, kind="download"
            ),
            operator_messages.AddKindAnswer,
        )
        assert answer.kinds == ("download",)
        cluster.stop(leader)
        cluster.start(leader)
        cluster.wait_until(
            lambda: all(
                cluster.get_state(name).kinds == ("download",)
                for name in cluster.list_running()
            )
        )


load_tests = fixtures.collect(__name__)
