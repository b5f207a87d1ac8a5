"""Tests of the client that sends an operator's requests to replicas."""

import dataclasses

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import cluster_requests
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from tests import fake_replica
from tests import fixtures

Message = fake_replica.Message
SHORT_S = 0.3


def test_write_follows_the_leader() -> None:
    """A change refused by a follower is sent to the leader it names."""
    cluster = fake_replica.FakeCluster()
    with fake_replica.FakeReplica("c2", cluster.answer) as leader:
        answer = fake_replica.refuse_as_follower(leader)
        with (
            fake_replica.FakeReplica("c1", answer) as follower,
            _open(follower) as client,
        ):
            found = _publish(client, "p1")
    assert found.unwrap().outcome is commands.PublishOutcome.ACCEPTED
    assert [type(m) for m in leader.seen] == [operator_messages.PublishRequest]


def test_lost_answer_is_asked_for_with_the_same_publish_id() -> None:
    """A publish whose answer is lost is sent again and applied once."""
    cluster = fake_replica.FakeCluster()
    losses = [True]

    def answer(request: Message) -> Message | None:
        answered = cluster.answer(request)
        return None if losses and losses.pop() else answered

    with (
        fake_replica.FakeReplica("c1", answer) as replica,
        _open(replica) as client,
    ):
        found = _publish(client, "p1")
    assert found.unwrap().version == 1
    assert len(cluster.state.publications) == 1
    assert len(replica.seen) == 2


def test_silence_is_no_refusal() -> None:
    """Without an answer, the failure lists the replicas that were tried."""
    with (
        fake_replica.FakeReplica("c1", lambda _: None) as replica,
        _open(replica, timeout_s=SHORT_S) as client,
    ):
        failure = _publish(client, "p1").failure()
    assert failure.attempts == (
        client_lib.Attempt(replica_id="c1", cause="no answer"),
    )


def test_read_prefers_the_leader() -> None:
    """A read prefers the leader's answer to a stale one."""
    fresh, stale = fake_replica.FakeCluster(), fake_replica.FakeCluster()
    stale.stale_s = 40.0
    with (
        fake_replica.FakeReplica("c1", stale.answer) as isolated,
        fake_replica.FakeReplica("c2", fresh.answer) as leader,
        _open(isolated, leader) as client,
    ):
        status = cluster_requests.fetch_status(client).unwrap()
    assert status.stale_s == 0


def test_read_without_a_leader_shows_how_stale_it_is() -> None:
    """When only an isolated replica answers, its staleness is returned."""
    stale = fake_replica.FakeCluster()
    stale.stale_s = 40.0
    with (
        fake_replica.FakeReplica("c1", stale.answer) as isolated,
        fake_replica.FakeReplica("c2", lambda _: None) as unresponsive,
        _open(isolated, unresponsive) as client,
    ):
        assert cluster_requests.fetch_status(client).unwrap().stale_s == 40.0


def test_crossed_answer_is_passed_over() -> None:
    """An answer with the ID of another request is ignored."""
    cluster = fake_replica.FakeCluster()
    crossed = [True]

    def answer(request: Message) -> Message | None:
        answered = cluster.answer(request)
        assert answered is not None
        if crossed and crossed.pop():
            return dataclasses.replace(answered, request_id="another")
        return answered

    with (
        fake_replica.FakeReplica("c1", answer) as replica,
        _open(replica) as client,
    ):
        assert cluster_requests.fetch_base_version(client).unwrap() == 0
    assert len(replica.seen) == 2


def test_stale_status_never_shows_a_version_in_force() -> None:
    """The answer of an isolated replica does not end the wait."""
    stale = fake_replica.FakeCluster()
    stale.stale_s = 9.0
    with (
        fake_replica.FakeReplica("c1", stale.answer) as replica,
        _open(replica) as client,
    ):
        progress = cluster_requests.wait_in_force(
            client, 0, timeout_s=0, report=lambda _: None
        )
    assert not progress.in_force


def _open(
    *replicas: fake_replica.FakeReplica, timeout_s: float = 10.0
) -> client_lib.Client:
    settings = fake_replica.make_settings(*replicas, timeout_s=timeout_s)
    return client_lib.Client(settings)


def _publish(
    client: client_lib.Client, publish_id: str
) -> client_lib.Answer[commands.PublishResult]:
    return cluster_requests.publish_services(
        client, (), publish_id=publish_id, base_version=0
    )


load_tests = fixtures.collect(__name__)
