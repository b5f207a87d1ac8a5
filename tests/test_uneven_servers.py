"""Tests of the placement on servers that differ in speed, in virtual time."""

import random

from bench import uneven_servers

from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from tests import fixtures
from tests import routing_mesh

Reason = balancer_events.PickReason
KIND = "lookup"
USUAL_S = 0.15
SLOTS = 6


class Entry:
    """A balancer in failure domain d0 that has heard of all its servers."""

    def __init__(self, seed: int = 1, *, count: int = 8) -> None:
        self.candidates = routing_mesh.make_candidates(
            count, slots=SLOTS, domains=2
        )
        self.balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="d0"),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(seed),
        )
        event = balancer_events.TableInstalled(candidates=self.candidates)
        self.balancer.step(event, 0.0)

    def hear(
        self,
        server_id: str,
        now: float = 0.0,
        *,
        running: int = 0,
        slowdown: float = 1.0,
        usual_s: float = USUAL_S,
    ) -> None:
        """Gets a report of a server with the answer to a request."""
        report = load_reports.LoadReport(
            running=running + 1,
            queued=0,
            limit=SLOTS,
            latency_s=usual_s,
            slowdown=slowdown,
            usual_run_s=usual_s,
        )
        event = balancer_events.Finished(
            server_id=server_id,
            incarnation=1,
            result=balancer_events.AttemptResult.ANSWERED,
            load_report=report,
            kind=KIND,
        )
        self.balancer.step(event, now)

    def pick(
        self,
        now: float = 0.0,
        *,
        needs_room: bool = False,
        target_s: float | None = 0.5,
    ) -> balancer_events.Decision:
        """Picks a server for one request."""
        event = balancer_events.Pick(
            service="desk",
            version=1,
            candidates=self.candidates,
            needs_room=needs_room,
            kind=KIND,
            target_s=target_s,
        )
        return self.balancer.pick(event, now)


def test_uneven_servers_answer_more_in_time_and_closer() -> None:
    """Slowed servers got as much as others, and 2 in 5 left their domain."""
    setups = [
        uneven_servers.Setup(load=0.8, measured_s=2.0, tells=tells)
        for tells in (False, True)
    ]
    before, after = [uneven_servers.Simulation(each).run() for each in setups]
    assert after.in_time_share > before.in_time_share + 0.02
    assert after.p99_s < before.p99_s
    assert after.far_share < before.far_share / 3
    assert after.served_share > before.served_share - 0.002


def test_slow_third_takes_no_more_than_its_own_room() -> None:
    """A third of the servers ran at a tenth of the speed, held by requests."""
    setup = uneven_servers.Setup(
        servers=24,
        speeds=(1.0, 1.0, 0.1),
        noise_share=0.0,
        uneven_load=0.0,
        load=0.8,
        measured_s=3.0,
    )
    tally = uneven_servers.Simulation(setup).run()
    assert tally.served_share > 0.995
    assert tally.in_time_share > 0.93


def test_slowed_server_is_passed_over_until_its_report_is_old() -> None:
    """A report of a slow moment kept a server empty for seconds."""
    entry = Entry(count=4)
    entry.hear("s0", slowdown=2.5)
    entry.hear("s2")
    picked = {entry.pick(0.05).server for _ in range(4)}
    assert {each.server_id for each in picked if each} == {"s2"}
    later = Entry(count=4)
    later.hear("s0", slowdown=2.5)
    later.hear("s2")
    picked = {later.pick(1.0).server for _ in range(4)}
    assert {each.server_id for each in picked if each} == {"s0", "s2"}


def test_entries_that_hear_of_one_idle_server_do_not_fill_it() -> None:
    """All entries sent their next request to the server that fell idle."""
    picked = 0
    for seed in range(20):
        entry = Entry(seed, count=24)
        for each in entry.candidates:
            running = 0 if each.server_id == "s0" else 4
            entry.hear(each.server_id, running=running)
        server = entry.pick().server
        picked += server is not None and server.server_id == "s0"
    assert 0 < picked <= SLOTS + 4


def test_unheard_server_counts_as_loaded_as_the_others() -> None:
    """A server whose reports stopped looked idle and attracted requests."""
    entry = Entry(count=8)
    for each in entry.candidates:
        entry.hear(each.server_id, running=6)
    for each in entry.candidates[2:]:
        entry.hear(each.server_id, 5.0, running=4)
    picks = [entry.pick(5.0).server for _ in range(3)]
    assert {each.server_id for each in picks if each} <= {"s2", "s4", "s6"}


def test_request_leaves_its_domain_only_for_a_gain_that_callers_need() -> None:
    """Bytes between failure domains were spent for a few milliseconds."""
    entry = Entry(count=8)
    for each in entry.candidates:
        is_own = each.failure_domain == "d0"
        entry.hear(each.server_id, running=5 if is_own else 0)
    assert entry.pick().reason is Reason.OWN_DOMAIN
    for target_s in (None, -0.1):
        decision = entry.pick(target_s=target_s)
        assert decision.reason is Reason.OWN_DOMAIN
        assert not decision.may_move
    for each in entry.candidates:
        if each.failure_domain == "d0":
            entry.hear(each.server_id, running=12)
    assert entry.pick().reason is Reason.OTHER_DOMAIN


def test_request_may_move_once_and_not_while_all_are_full() -> None:
    """Each full owner passed a request on to the next full one."""
    entry = Entry(count=4)
    for each in entry.candidates:
        entry.hear(each.server_id)
    assert entry.pick().may_move
    for each in entry.candidates:
        entry.hear(each.server_id, running=30)
    assert not entry.pick().may_move
    assert entry.pick(needs_room=True).server is None


load_tests = fixtures.collect(__name__)
