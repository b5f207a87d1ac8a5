"""Tests of a node's graceful shutdown."""

from lovagesaddle.core.routing import graceful_shutdown
from tests import fixtures

BOUND_S = 30.0


def _begin(*servers: str) -> graceful_shutdown.GracefulShutdown:
    node = graceful_shutdown.GracefulShutdown()
    event = graceful_shutdown.Begin(bound_s=BOUND_S, servers=servers)
    actions = node.step(event, 0.0)
    assert actions == (graceful_shutdown.AnswerWithClose(),)
    return node


def _drain(*servers: str) -> graceful_shutdown.GracefulShutdown:
    """Returns a node whose callers had time to move to other nodes."""
    node = _begin(*servers)
    assert _tick(node, graceful_shutdown.LINGER_S) == tuple(
        graceful_shutdown.DrainServer(server_id=each) for each in servers
    )
    return node


def _tick(
    node: graceful_shutdown.GracefulShutdown, now: float
) -> tuple[graceful_shutdown.Action, ...]:
    return node.step(graceful_shutdown.Tick(), now)


def test_listeners_stay_until_the_servers_are_idle() -> None:
    """A running request may still call other services through its node."""
    node = _drain("s0", "s1")
    node.step(graceful_shutdown.ServerDrained(server_id="s0"), 5.0)
    assert _tick(node, 10.0) == ()
    last = node.step(graceful_shutdown.ServerDrained(server_id="s1"), 10.0)
    assert isinstance(last[0], graceful_shutdown.CloseListeners)


def test_nothing_in_progress_is_cut() -> None:
    """The process exits after the last complete answer and settled claim."""
    node = _begin()
    node.step(
        graceful_shutdown.InProgressChanged(in_progress=2, settling=1), 0.1
    )
    assert _tick(node, 3.0) == (graceful_shutdown.CloseListeners(),)
    node.step(
        graceful_shutdown.InProgressChanged(in_progress=0, settling=1), 4.0
    )
    assert node.stage is graceful_shutdown.Stage.CLOSING
    done = node.step(graceful_shutdown.InProgressChanged(in_progress=0), 5.0)
    assert done == (graceful_shutdown.Exit(cut=0, busy_servers=()),)
    assert _tick(node, 6.0) == ()


def test_slots_are_served_while_callers_move_away() -> None:
    """A server is drained only once callers had time to leave the node."""
    node = _begin("s0")
    assert _tick(node, graceful_shutdown.LINGER_S * 0.9) == ()
    assert node.stage is graceful_shutdown.Stage.LEAVING
    assert _tick(node, graceful_shutdown.LINGER_S) == (
        graceful_shutdown.DrainServer(server_id="s0"),
    )


def test_callers_get_time_to_move_away() -> None:
    """An idle node still listens for LINGER_S after the shutdown began."""
    node = _begin()
    assert _tick(node, graceful_shutdown.LINGER_S / 2) == ()
    assert len(_tick(node, graceful_shutdown.LINGER_S)) == 2


def test_time_limit_ends_the_shutdown_and_counts_cut_requests() -> None:
    """A request that never ends can't block the shutdown, and is counted."""
    node = _drain("s0")
    node.step(graceful_shutdown.InProgressChanged(in_progress=3), 3.0)
    assert _tick(node, BOUND_S - 0.1) == ()
    assert _tick(node, BOUND_S) == (
        graceful_shutdown.CloseListeners(),
        graceful_shutdown.Exit(cut=3, busy_servers=("s0",)),
    )


def test_second_request_for_a_shutdown_changes_nothing() -> None:
    """A repeated signal neither restarts the time limit nor drains twice."""
    node = _drain("s0")
    again = graceful_shutdown.Begin(bound_s=BOUND_S, servers=("s0",))
    assert node.step(again, BOUND_S - 1) == ()
    assert len(_tick(node, BOUND_S)) == 2


load_tests = fixtures.collect(__name__)
