"""Tests of the replicated state machine and of deltas."""

import dataclasses
from unittest import mock

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from tests import fixtures

ACCEPTED = commands.PublishOutcome.ACCEPTED


def _make_service(
    name: str, *, revision: int = 1, depends_on: tuple[str, ...] = ()
) -> services.Service:
    return services.Service(
        name=name,
        revision=revision,
        callers=(),
        routes=(),
        depends_on=depends_on,
    )


def _make_publish(
    publish_id: str, base: int, *published: services.Service
) -> commands.PublishServices:
    return commands.PublishServices(
        publish_id=publish_id,
        operator="ana",
        base_version=base,
        services=published,
    )


def _make_node(node_id: str, incarnation: int = 1) -> snapshots.Node:
    return snapshots.Node(
        node_id=node_id,
        incarnation=incarnation,
        failure_domain="a",
        region="r",
        http_address="127.0.0.1:1",
        control_address="tcp://127.0.0.1:2",
        public_key="",
    )


def _make_server(node_id: str, incarnation: int = 1) -> snapshots.BackendServer:
    return snapshots.BackendServer(
        server_id=f"{node_id}/orderdesk",
        incarnation=incarnation,
        service="orderdesk",
        node_id=node_id,
        slots=20,
        connections=100,
        state=snapshots.ServerState.SERVING,
    )


def test_equal_base_lets_one_publish_win() -> None:
    """Of two publishes with the same base, the second gets a conflict.

    The conflict names the first one as the winner.
    """
    state = state_lib.make_initial_state()
    first = state_lib.apply_command(
        state, 1, _make_publish("p1", 0, _make_service("orderdesk"))
    )
    second = state_lib.apply_command(
        first.state, 2, _make_publish("p2", 0, _make_service("artwork"))
    )
    assert first.result is not None and second.result is not None
    assert first.result.outcome is ACCEPTED
    assert second.result.outcome is commands.PublishOutcome.CONFLICT
    assert second.result.winner_id == "p1"
    assert second.result.winner_operator == "ana"
    assert second.result.version == 1
    assert second.state.snapshot.services == first.state.snapshot.services


def test_resent_publish_gets_the_first_answer() -> None:
    """A publish is applied once, however often it is sent."""
    command = _make_publish("p1", 0, _make_service("orderdesk"))
    first = state_lib.apply_command(state_lib.make_initial_state(), 3, command)
    later = state_lib.apply_command(
        first.state, 4, _make_publish("p2", 3, _make_service("artwork"))
    )
    again = state_lib.apply_command(later.state, 5, command)
    assert again.result == first.result
    assert again.state.snapshot.services == later.state.snapshot.services


def test_resend_after_a_conflict_is_checked_again() -> None:
    """After a conflict, the same publish ID is accepted with a correct base.

    It is accepted once: a further resend gets the accepted result.
    """
    first = state_lib.apply_command(
        state_lib.make_initial_state(),
        1,
        _make_publish("p1", 0, _make_service("orderdesk")),
    )
    conflict = state_lib.apply_command(
        first.state, 2, _make_publish("p2", 0, _make_service("artwork"))
    )
    accepted = state_lib.apply_command(
        conflict.state, 3, _make_publish("p2", 1, _make_service("artwork"))
    )
    again = state_lib.apply_command(
        accepted.state, 4, _make_publish("p2", 0, _make_service("artwork"))
    )
    assert conflict.result is not None and accepted.result is not None
    assert conflict.result.outcome is commands.PublishOutcome.CONFLICT
    assert accepted.result.outcome is ACCEPTED
    assert again.result == accepted.result
    assert again.state.publication_version == 3


def test_refused_publishes_displace_no_accepted_one() -> None:
    """An accepted order that is sent again after many others is accepted.

    Refused orders, such as invalid or outdated ones, are sent in any number.
    """
    kept = 5
    with mock.patch.object(state_lib, "MAX_PUBLISH_RESULTS", kept):
        state = state_lib.make_initial_state()
        first = _make_publish("first", 0, _make_service("desk"))
        state = state_lib.apply_command(state, 1, first).state
        for number in range(2, 4 * kept):
            refused = _make_publish(f"p{number}", 0, _make_service("art"))
            state = state_lib.apply_command(state, number, refused).state
        again = state_lib.apply_command(state, 4 * kept, first).result
        assert again is not None
        assert (again.outcome, again.version) == (ACCEPTED, 1)
        assert len(state.results) == kept + 1


def test_removing_a_needed_service_is_rejected() -> None:
    """A publish that lacks a service that another depends on is rejected."""
    state = state_lib.make_initial_state()
    applied = state_lib.apply_command(
        state, 1, _make_publish("p", 0, _make_service("a", depends_on=("b",)))
    )
    assert applied.result is not None
    assert applied.result.outcome is commands.PublishOutcome.REJECTED
    assert applied.result.causes == (
        'service "b" does not exist but is needed by service "a"',
    )
    assert applied.state.snapshot.services == ()


def test_older_incarnation_does_not_revive_a_member() -> None:
    """Changes with an earlier incarnation of a node or server are ignored."""
    state = state_lib.make_initial_state()
    state = state_lib.apply_command(
        state,
        1,
        commands.ChangeMembership(
            nodes=(_make_node("n1", 2),), servers=(_make_server("n1", 5),)
        ),
    ).state
    old = commands.ChangeMembership(
        servers=(_make_server("n1", 4),),
        gone_nodes=(commands.Incarnation(member_id="n1", incarnation=1),),
    )
    after = state_lib.apply_command(state, 2, old).state
    assert after.snapshot.servers[0].incarnation == 5
    assert after.snapshot.nodes[0].incarnation == 2


def test_servers_leave_with_their_node() -> None:
    """A snapshot never contains a server without the server's node."""
    joined = commands.ChangeMembership(
        nodes=(_make_node("n1"),),
        servers=(_make_server("n1"), _make_server("n2")),
    )
    state = state_lib.apply_command(
        state_lib.make_initial_state(), 1, joined
    ).state
    assert [s.node_id for s in state.snapshot.servers] == ["n1"]
    gone = commands.ChangeMembership(
        gone_nodes=(commands.Incarnation(member_id="n1", incarnation=1),)
    )
    assert state_lib.apply_command(state, 2, gone).state.snapshot.servers == ()


def test_delta_reproduces_the_target() -> None:
    """A delta turns its base into its target, with the same digest."""
    base, target = _make_two_versions()
    change = delta.compute_delta(base, target)
    result = delta.apply_delta(base, change)
    assert result == target
    assert result.digest == delta.hash_snapshot(target.snapshot).digest


def test_unchanged_tuples_are_reused() -> None:
    """A delta that changes servers reuses the nodes' and services' tuples."""
    base = _make_two_versions()[0]
    changed = dataclasses.replace(base.snapshot.servers[0], slots=1)
    target = delta.rehash_snapshot(
        base,
        dataclasses.replace(base.snapshot, version=2, servers=(changed,)),
    )
    result = delta.apply_delta(base, delta.compute_delta(base, target))
    assert result.snapshot.nodes is base.snapshot.nodes
    assert result.snapshot.services is base.snapshot.services
    assert result.snapshot.servers == (changed,)


def test_delta_on_another_base_is_refused() -> None:
    """A delta that is corrupted or has another base is not applied.

    The same holds for one of another cluster and one that is not newer.
    """
    base, target = _make_two_versions()
    change = delta.compute_delta(base, target)
    damaged = (
        dataclasses.replace(change, base_version=9),
        dataclasses.replace(change, base_digest=b"x" * 16),
        dataclasses.replace(change, cluster_id="other"),
        dataclasses.replace(change, removed_nodes=()),
        dataclasses.replace(change, version=1),
    )
    for wrong in damaged:
        try:
            delta.apply_delta(base, wrong)
        except errors.DigestMismatchError:
            continue
        raise AssertionError(f"applied {wrong}")


def _make_two_versions() -> tuple[delta.HashedSnapshot, delta.HashedSnapshot]:
    before = snapshots.Snapshot(
        cluster_id="c",
        version=1,
        services=(_make_service("a"), _make_service("b")),
        nodes=(_make_node("n1"), _make_node("n2")),
        servers=(_make_server("n1"),),
    )
    after = dataclasses.replace(
        before,
        version=4,
        services=(_make_service("a", revision=2), _make_service("c")),
        nodes=(before.nodes[0],),
    )
    return delta.hash_snapshot(before), delta.hash_snapshot(after)


def test_snapshot_names_its_publication() -> None:
    """Nodes can distinguish an empty publication from no publication."""
    state = state_lib.make_initial_state()
    assert state.snapshot.publication == 0
    state = state_lib.apply_command(state, 1, _make_publish("p1", 0)).state
    joined = commands.ChangeMembership(nodes=(_make_node("n1"),))
    state = state_lib.apply_command(state, 2, joined).state
    assert state.snapshot.publication == 1


def test_state_of_an_earlier_release_names_its_publication() -> None:
    """A stored state without the publication's version gets it on loading."""
    state = state_lib.make_initial_state()
    state = state_lib.apply_command(state, 1, _make_publish("p1", 0)).state
    earlier = dataclasses.replace(
        state, snapshot=dataclasses.replace(state.snapshot, publication=0)
    )
    assert state_lib.set_snapshot_publication(earlier) == state


load_tests = fixtures.collect(__name__)
