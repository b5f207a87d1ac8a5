"""Tests of a node's graceful shutdown."""

from typing import Any

from lovagesaddle.core.routing import graceful_shutdown
from tests import fixtures

GRACE_S = 30.0
# Grace periods of deployments, and some shorter and longer ones.
GRACE_PERIODS_S = (1.0, 3.0, 6.0, 10.0, 30.0)
# The platform asks each second whether a node is ready, and the second miss
# takes it out.
MISSES_S = 2.0
# Part of the grace period in which a running request may be cut off, if it was
# sent no later than `LAST_SENT_S` after SIGTERM.
CUT_SHARE = 5 / 6
LAST_SENT_S = 3.0


def _begin() -> graceful_shutdown.GracefulShutdown:
    node = graceful_shutdown.GracefulShutdown()
    event = graceful_shutdown.Begin(grace_s=GRACE_S)
    (limit,) = node.step(event, 0.0)
    assert isinstance(limit, graceful_shutdown.LimitRequests)
    assert limit.schedule == graceful_shutdown.make_schedule(0.0, GRACE_S)
    return node


def _drain() -> graceful_shutdown.GracefulShutdown:
    """Returns a node whose callers had time to move to other nodes."""
    node = _begin()
    assert _tick(node, graceful_shutdown.LINGER_S) == (
        graceful_shutdown.DrainServers(),
    )
    return node


def _close() -> graceful_shutdown.GracefulShutdown:
    """Returns a node whose servers are idle and whose listener is closed."""
    node = _drain()
    assert _report(node, 3.0) == (graceful_shutdown.CloseListeners(),)
    return node


def _report(
    node: graceful_shutdown.GracefulShutdown, now: float, **fields: Any
) -> tuple[graceful_shutdown.Action, ...]:
    event = graceful_shutdown.InProgressChanged(**{"in_progress": 0, **fields})
    return node.step(event, now)


def _tick(
    node: graceful_shutdown.GracefulShutdown, now: float
) -> tuple[graceful_shutdown.Action, ...]:
    return node.step(graceful_shutdown.Tick(), now)


def test_listeners_stay_until_the_servers_are_idle() -> None:
    """A running request may still call other services through its node."""
    node = _drain()
    assert _report(node, 3.0, busy_servers=("s0", "s1")) == ()
    assert _report(node, 5.0, busy_servers=("s1",)) == ()
    assert _tick(node, 10.0) == ()
    assert _report(node, 10.0) == (graceful_shutdown.CloseListeners(),)


def test_nothing_in_progress_is_cut() -> None:
    """The process exits after the last complete answer and settled claim."""
    node = _drain()
    assert _report(node, 3.0, in_progress=2, settling=1) == (
        graceful_shutdown.CloseListeners(),
    )
    assert _report(node, 3.5, in_progress=2, settling=1) == ()
    assert _report(node, 4.0, settling=1) == ()
    assert node.stage is graceful_shutdown.Stage.CLOSING
    done = _report(node, 5.0)
    assert done == (graceful_shutdown.Exit(cut=0, busy_servers=()),)
    assert _tick(node, 6.0) == ()


def test_node_does_not_end_while_a_connection_may_bring_a_request() -> None:
    """A stop ended when no request was in progress and cut the next ones."""
    node = _close()
    assert _report(node, 3.1, connections=1) == ()
    assert _report(node, 3.2, in_progress=1, connections=1) == ()
    assert _report(node, 9.0, connections=1) == ()
    assert _report(node, 9.5) == (
        graceful_shutdown.Exit(cut=0, busy_servers=()),
    )


def test_end_is_decided_by_a_report_made_after_the_listener_closed() -> None:
    """A connection that was accepted since the last report was cut."""
    node = _close()
    assert _tick(node, 3.1) == ()
    assert _report(node, 3.2, connections=1) == ()
    assert len(_report(node, 3.3)) == 1


def test_listener_closes_by_a_report_made_after_the_drain() -> None:
    """A server that took a request since the last report was cut off."""
    node = _begin()
    drains = _report(node, graceful_shutdown.LINGER_S)
    assert drains == (graceful_shutdown.DrainServers(),)
    assert _tick(node, 3.0) == ()
    assert _report(node, 3.1, busy_servers=("s0",)) == ()
    assert _report(node, 3.2) == (graceful_shutdown.CloseListeners(),)


def test_slots_are_served_while_callers_move_away() -> None:
    """A server is drained only once callers had time to leave the node."""
    node = _begin()
    assert _tick(node, graceful_shutdown.LINGER_S * 0.9) == ()
    assert node.stage is graceful_shutdown.Stage.LEAVING
    assert _tick(node, graceful_shutdown.LINGER_S) == (
        graceful_shutdown.DrainServers(),
    )


def test_callers_get_time_to_move_away() -> None:
    """An idle node still listens for LINGER_S after the shutdown began."""
    node = _begin()
    assert _report(node, graceful_shutdown.LINGER_S / 2) == ()
    assert _report(node, graceful_shutdown.LINGER_S * 0.99) == ()
    _report(node, graceful_shutdown.LINGER_S)
    assert _report(node, graceful_shutdown.LINGER_S) == (
        graceful_shutdown.CloseListeners(),
    )


def test_time_limit_ends_the_shutdown_and_counts_cut_requests() -> None:
    """A request that never ends can't block the shutdown, and is counted."""
    node = _drain()
    _report(node, 3.0, in_progress=3, busy_servers=("s0",))
    end_s = graceful_shutdown.make_schedule(0.0, GRACE_S).answers_end_at
    assert _tick(node, end_s - 0.1) == ()
    assert _tick(node, end_s) == (
        graceful_shutdown.CloseListeners(),
        graceful_shutdown.Exit(cut=3, busy_servers=("s0",)),
    )


def test_second_request_for_a_shutdown_changes_nothing() -> None:
    """A repeated signal neither restarts the time limit nor drains twice."""
    node = _drain()
    again = graceful_shutdown.Begin(grace_s=GRACE_S)
    end_s = graceful_shutdown.make_schedule(0.0, GRACE_S).answers_end_at
    assert node.step(again, end_s - 1) == ()
    assert len(_tick(node, end_s)) == 2


def test_late_request_is_taken_only_if_it_ends_before_the_process() -> None:
    """A request that was taken late and cut had run, and got no answer."""
    for grace_s in GRACE_PERIODS_S:
        schedule = graceful_shutdown.make_schedule(100.0, grace_s)
        assert schedule.callers_left_at < schedule.requests_end_at
        late = schedule.callers_left_at
        end = schedule.requests_end_at
        assert schedule.allows(now=late, deadline=end, run_s=0.0)
        assert not schedule.allows(now=late, deadline=end + 0.01, run_s=0.0)
        # Known from the servers' reports, whatever the deadline.
        early = late - 0.01
        assert schedule.allows(now=early, deadline=end + 9, run_s=end - early)
        assert not schedule.allows(
            now=early, deadline=end + 9, run_s=end - early + 0.01
        )


def test_schedule_follows_from_the_grace_period() -> None:
    """Answers end inside the part in which cuts are allowed, before the kill.

    With times that did not depend on the grace period, a node was killed at the
    end of a short one and cut requests in the middle of a long one.
    """
    for grace_s in GRACE_PERIODS_S:
        schedule = graceful_shutdown.make_schedule(0.0, grace_s)
        assert grace_s * CUT_SHARE < schedule.requests_end_at
        assert schedule.requests_end_at < schedule.answers_end_at < grace_s
        assert schedule.callers_left_at <= LAST_SENT_S
    for grace_s in (6.0, 10.0, 30.0):
        schedule = graceful_shutdown.make_schedule(0.0, grace_s)
        assert schedule.callers_left_at >= MISSES_S


load_tests = fixtures.collect(__name__)
