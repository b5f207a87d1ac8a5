"""Tests of servers that state limits to many nodes, in virtual time."""

import math

from lovagesaddle.core.routing import request_rates
from tests import fixtures
from tests import limited_mesh

ENTRIES = 12
SERVERS = 4
CALLS_S = 100.0
LENGTH_S = 40.0


def _state_none(at: float) -> float | None:
    del at
    return None


def _make_mesh(
    *limits: limited_mesh.Limit, others: limited_mesh.Limit = _state_none
) -> limited_mesh.LimitedMesh:
    padding = [others] * (SERVERS - len(limits))
    return limited_mesh.LimitedMesh(
        [*limits, *padding], entries=ENTRIES, calls_s=CALLS_S
    )


def test_limit_below_the_number_of_entries_is_kept() -> None:
    """Entries don't get a share of the limit each; what is over moves on."""
    mesh = _make_mesh(lambda at: 5.0 if at > 5.0 else None)
    mesh.run(LENGTH_S)
    assert mesh.find_excess(mesh.servers["s0"], since=5.0) <= 0
    assert not mesh.failed, len(mesh.failed)


def test_limited_server_is_spared_while_others_have_room() -> None:
    """It looked idle, so one call in nine was sent there in vain.

    Each refusal costs a round trip; they are to be under 1 in 100 calls.
    """
    mesh = _make_mesh(lambda _: 15.0)
    mesh.run(LENGTH_S)
    server = mesh.servers["s0"]
    assert server.arrivals
    assert server.refusals <= 0.01 * CALLS_S * LENGTH_S, server.refusals


def test_limit_that_changes_and_ends_is_kept_while_it_lasts() -> None:
    """A limit may rise and fall; the server is used fully once it ends."""

    def limit(at: float) -> float | None:
        for end, rate in ((5.0, None), (12.0, 20.0), (20.0, 4.0), (26.0, 30.0)):
            if at < end:
                return rate
        return None

    mesh = _make_mesh(limit)
    mesh.run(LENGTH_S)
    server = mesh.servers["s0"]
    assert mesh.find_excess(server, since=5.0) <= 0
    assert not mesh.failed, len(mesh.failed)
    last = [at for at, _ in server.arrivals if at > 30.0]
    assert len(last) > CALLS_S * 10.0 / SERVERS / 2


def test_limits_of_all_servers_are_used_and_the_rest_is_refused() -> None:
    """What no server takes is refused as not run, and no more than that."""
    mesh = _make_mesh(others=lambda _: 10.0)
    mesh.run(LENGTH_S)
    for server in mesh.servers.values():
        assert mesh.find_excess(server, since=0.0) <= 0
    assert set(mesh.failed) == {503}
    taken = SERVERS * 10.0 * LENGTH_S
    assert mesh.answered >= 0.9 * taken, (mesh.answered, taken)


def test_server_that_takes_none_is_asked_now_and_then() -> None:
    """Only an answer can end a limit, so a limit of 0 is tried."""
    mesh = _make_mesh(lambda at: 0.0 if 5.0 < at < 20.0 else None)
    mesh.run(LENGTH_S)
    server = mesh.servers["s0"]
    assert mesh.find_excess(server, since=5.0) <= 0
    assert [at for at, _ in server.arrivals if at > 30.0]


def test_older_answer_does_not_end_a_limit() -> None:
    """Answers cross: one that was under way says nothing about the end."""
    rate = request_rates.RequestRate()
    rate.state(5.0, sent_at=0.0, now=1.0)
    rate.state(None, sent_at=0.9, now=1.1)
    assert rate.rate == 5.0
    rate.state(None, sent_at=1.2, now=1.3)
    assert rate.rate is None


def test_limit_outlives_restarts_of_the_owner() -> None:
    """A restarted owner knew no limit and sent a burst before each answer."""
    mesh = _make_mesh(lambda _: 1.0, lambda _: 8.0)
    for number in range(1, 20):
        mesh.restart_owner("s0", 2.0 * number)
        mesh.restart_owner("s1", 2.0 * number)
    mesh.run(LENGTH_S)
    assert mesh.find_excess(mesh.servers["s0"], since=0.0) <= 0
    assert mesh.find_excess(mesh.servers["s1"], since=0.0) <= 0


def test_limit_outlives_restarts_of_entries() -> None:
    """Entries that know nothing of a limit come and go."""
    mesh = _make_mesh(lambda _: 1.0)
    for number in range(60):
        mesh.restart_entry(number % ENTRIES, 0.6 * number)
    mesh.run(LENGTH_S)
    assert mesh.find_excess(mesh.servers["s0"], since=0.0) <= 0


def test_absurd_rates_of_other_nodes_leave_the_bucket_usable() -> None:
    """A rate that is no number made the reported waits no number either."""
    for absurd in (math.nan, math.inf, -math.inf, -1.0, 1e308):
        rate = request_rates.RequestRate()
        rate.adopt(absurd, 0.0)
        taken = sum(rate.take(float(second)) for second in range(100))
        assert taken >= request_rates.MIN_RATE * 100, (absurd, taken)
        assert math.isfinite(rate.reserve_wait(100.0))


load_tests = fixtures.collect(__name__)
