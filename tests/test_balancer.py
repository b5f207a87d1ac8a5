"""Tests of the balancer, which picks a backend server for an attempt."""

import random

from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import server_stats
from lovagesaddle.core.routing import table
from tests import fixtures
from tests import routing_mesh

Result = balancer_events.AttemptResult
Reason = balancer_events.PickReason


class Entry:
    """Drives a balancer in failure domain d0 with a routing table."""

    def __init__(self, candidates: tuple[table.Candidate, ...]) -> None:
        self.candidates = candidates
        self.balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="d0"),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(1),
        )
        self.install(candidates, 0.0)

    def install(
        self, candidates: tuple[table.Candidate, ...], now: float
    ) -> None:
        """Installs another table."""
        self.candidates = candidates
        event = balancer_events.TableInstalled(candidates=candidates)
        self.balancer.step(event, now)

    def pick(
        self,
        now: float = 0.0,
        tried: frozenset[str] = frozenset(),
        body_bytes: int = 0,
    ) -> balancer_events.Decision:
        """Picks a server for one attempt."""
        event = balancer_events.Pick(
            service="desk",
            version=1,
            candidates=self.candidates,
            tried=tried,
            body_bytes=body_bytes,
        )
        return self.balancer.step(event, now)[0]

    def finish(
        self,
        server_id: str,
        result: Result,
        now: float = 0.0,
        report: load_reports.LoadReport | None = None,
    ) -> None:
        """Reports the end of one attempt."""
        event = balancer_events.Finished(
            server_id=server_id,
            incarnation=1,
            result=result,
            load_report=report,
        )
        self.balancer.step(event, now)

    def fail(self, server_id: str, now: float, count: int) -> None:
        """Reports several failures of a server in a row."""
        for _ in range(count):
            self.finish(server_id, Result.FAILED, now)

    def sample(self, now: float, count: int = 200) -> dict[str, int]:
        """Returns the numbers of picks by server; each attempt ends at once."""
        counts: dict[str, int] = {}
        for _ in range(count):
            server = self.pick(now).server
            assert server is not None
            counts[server.server_id] = counts.get(server.server_id, 0) + 1
            self.finish(server.server_id, Result.ABANDONED, now)
        return counts


def _report(
    running: int, *, latency_s: float = 0.01, draining: bool = False
) -> load_reports.LoadReport:
    return load_reports.LoadReport(
        running=running,
        queued=0,
        limit=20,
        latency_s=latency_s,
        draining=draining,
    )


def test_own_domain_first_while_it_has_room() -> None:
    """Requests leave the failure domain only once its servers are full."""
    entry = Entry(routing_mesh.make_candidates(3, slots=10))
    reasons = [entry.pick().reason for _ in range(9)]
    assert reasons[:8] == [Reason.OWN_DOMAIN] * 8
    assert reasons[8] is Reason.OTHER_DOMAIN


def test_server_is_picked_although_all_are_full() -> None:
    """If no server has room, one is picked and its owner may refuse."""
    entry = Entry(routing_mesh.make_candidates(3, slots=1))
    reasons = [entry.pick().reason for _ in range(4)]
    assert reasons[3] is Reason.NO_ROOM, reasons


def test_pick_among_full_servers_compares_only_two() -> None:
    """A stale report doesn't send the requests of all entries to one server."""
    entry = Entry(routing_mesh.make_candidates(6))
    for number in range(6):
        running = 30 if number == 1 else 40
        entry.finish(f"s{number}", Result.ANSWERED, 0.0, _report(running))
    counts = entry.sample(0.01)
    assert counts["s1"] < 0.45 * 200, counts


def test_reported_load_of_other_entries_counts() -> None:
    """A server that its owner reports as busy isn't picked."""
    entry = Entry(routing_mesh.make_candidates(2, domains=1))
    entry.finish("s0", Result.ANSWERED, 0.0, _report(15))
    entry.finish("s1", Result.ANSWERED, 0.0, _report(1))
    assert set(entry.sample(0.01)) == {"s1"}


def test_slow_server_is_tried_again_once_its_report_is_old() -> None:
    """A reported latency loses weight, so that a recovered server is picked."""
    entry = Entry(routing_mesh.make_candidates(2, domains=1))
    entry.finish("s0", Result.ANSWERED, 0.0, _report(0, latency_s=1.0))
    entry.finish("s1", Result.ANSWERED, 0.0, _report(0, latency_s=0.01))
    assert set(entry.sample(0.1)) == {"s1"}
    assert "s0" in entry.sample(server_stats.LATENCY_FADE_S + 1)


def test_cold_server_starts_with_a_small_share() -> None:
    """A server that joins later gets few requests at first (slow start)."""
    entry = Entry(routing_mesh.make_candidates(2, domains=1))
    entry.install(routing_mesh.make_candidates(3, domains=1), 10.0)
    counts = {"s0": 0, "s1": 0, "s2": 0}
    for _ in range(21):
        server = entry.pick(10.0).server
        assert server is not None
        counts[server.server_id] += 1
    assert counts["s2"] <= 2, counts
    later = 10.0 + server_stats.SLOW_START_S
    assert entry.sample(later).get("s2", 0) > 100


def test_failures_in_a_row_eject_a_server_for_a_time() -> None:
    """Three failures in a row eject; one successful trial readmits."""
    entry = Entry(routing_mesh.make_candidates(3, domains=1))
    entry.fail("s0", 0.0, 2)
    assert "s0" in entry.sample(0.0)
    entry.fail("s0", 0.0, 1)
    assert "s0" not in entry.sample(1.0)
    assert "s0" in entry.sample(server_stats.EJECTION_S + 0.1)
    others = frozenset({"s1", "s2"})
    assert entry.pick(server_stats.EJECTION_S + 0.1, others).server is not None
    assert entry.pick(server_stats.EJECTION_S + 0.1, others).server is None
    entry.fail("s0", server_stats.EJECTION_S + 0.1, 1)
    assert "s0" not in entry.sample(2 * server_stats.EJECTION_S)
    entry.finish("s0", Result.ANSWERED, 2 * server_stats.EJECTION_S)
    assert "s0" in entry.sample(2 * server_stats.EJECTION_S)


def test_at_most_half_of_the_servers_stay_ejected() -> None:
    """However many servers fail, half of them stay available.

    Those that were ejected first become available again first.
    """
    entry = Entry(routing_mesh.make_candidates(6, domains=1))
    for number in range(6):
        entry.fail(f"s{number}", number * 0.01, 3)
    assert set(entry.sample(0.1)) == {"s0", "s1", "s2"}


def test_draining_server_is_never_picked() -> None:
    """A refusal or a load report as draining excludes a server at once."""
    entry = Entry(routing_mesh.make_candidates(2, domains=1))
    entry.finish("s0", Result.DRAINING)
    entry.finish("s1", Result.ANSWERED, 0.0, _report(0, draining=True))
    decision = entry.pick(1.0)
    assert decision.server is None
    assert decision.reason is Reason.NO_SERVER


def test_unhealthy_hint_only_puts_a_server_last() -> None:
    """A server with a false unhealthy hint is used once the others are full."""
    entry = Entry(routing_mesh.make_candidates(3, slots=2, domains=1))
    hint = balancer_events.HealthHinted(server_id="s0", healthy=False)
    entry.balancer.step(hint, 0.0)
    decisions = [entry.pick() for _ in range(3)]
    reasons = [decision.reason for decision in decisions]
    assert reasons[2] is Reason.HINTED_UNHEALTHY, reasons


def test_false_healthy_hint_does_not_undo_an_ejection() -> None:
    """A failed server with a false healthy hint stays ejected."""
    entry = Entry(routing_mesh.make_candidates(3, domains=1))
    entry.fail("s0", 0.0, 3)
    hint = balancer_events.HealthHinted(server_id="s0", healthy=True)
    entry.balancer.step(hint, 0.5)
    assert "s0" not in entry.sample(0.5)


def test_tried_servers_are_not_picked_again() -> None:
    """A retry goes to another server, or to none if all were tried."""
    entry = Entry(routing_mesh.make_candidates(2))
    tried = frozenset({"s0"})
    server = entry.pick(tried=tried).server
    assert server is not None
    assert server.server_id == "s1"
    decision = entry.pick(tried=frozenset({"s0", "s1"}))
    assert decision.reason is Reason.ALL_TRIED


def test_new_incarnation_starts_a_new_record() -> None:
    """A restarted server is neither ejected nor counted as busy or draining."""
    entry = Entry(routing_mesh.make_candidates(1))
    entry.finish("s0", Result.DRAINING)
    (old,) = entry.candidates
    restarted = table.Candidate(
        server_id=old.server_id,
        incarnation=2,
        node_id=old.node_id,
        failure_domain=old.failure_domain,
        http_address=old.http_address,
        slots=old.slots,
    )
    entry.install((restarted,), 1.0)
    assert entry.pick(1.0).server == restarted


def test_load_report_header_round_trips_and_rejects_malformed_ones() -> None:
    """A report is parsed as it was formatted; a malformed one is ignored."""
    report = load_reports.LoadReport(
        running=3,
        queued=1,
        limit=20,
        latency_s=0.0004,
        draining=True,
        link_wait_s=0.25,
    )
    text = load_reports.format_load_report(report)
    assert load_reports.parse_load_report(text) == report
    for bad in (
        "",
        "1,2,3",
        "3,1,20,400,1",
        "a,b,c,d,e,f",
        "-1,0,1,1,0,0",
        "²,0,1,1,0,0",
    ):
        assert load_reports.parse_load_report(bad) is None, bad


def test_unreachable_server_is_ejected_at_once() -> None:
    """One lost connection ejects, since each costs a caller a full timeout."""
    stats = server_stats.ServerStats(
        incarnation=1, slots=4, seen_at=0.0, warm=True
    )
    stats.record_failure(1.0)
    assert not stats.is_ejected(1.0)
    stats.eject(1.0)
    assert stats.is_ejected(1.0 + server_stats.EJECTION_S / 2)
    assert not stats.is_ejected(1.0 + server_stats.EJECTION_S)


def test_large_body_waits_in_its_own_domain() -> None:
    """A server that is full for small requests still takes a large one."""
    stats = server_stats.ServerStats(
        incarnation=1, slots=4, seen_at=0.0, warm=True
    )
    stats.outstanding = 4
    assert not stats.has_room(1.0)
    assert stats.has_room(1.0, server_stats.LARGE_BODY_ROOM_SHARE)
    stats.outstanding = 5
    assert not stats.has_room(1.0, server_stats.LARGE_BODY_ROOM_SHARE)


def test_large_body_is_not_sent_to_a_full_server_of_another_domain() -> None:
    """While every server is full, uploads stay in their failure domain."""
    entry = Entry(routing_mesh.make_candidates(6))
    for number in range(6):
        entry.finish(f"s{number}", Result.ANSWERED, 0.0, _report(40))
    size = balancer_lib.LARGE_BODY_BYTES
    for body_bytes, domains in ((size, {"d0"}), (0, {"d0", "d1", "d2"})):
        picked: set[str] = set()
        for _ in range(100):
            decision = entry.pick(0.01, body_bytes=body_bytes)
            assert decision.reason is Reason.NO_ROOM
            assert decision.server is not None
            picked.add(decision.server.failure_domain)
            entry.finish(decision.server.server_id, Result.ABANDONED, 0.01)
        assert picked == domains


def _report_link(wait_s: float) -> load_reports.LoadReport:
    return load_reports.LoadReport(
        running=0, queued=0, limit=20, latency_s=0.01, link_wait_s=wait_s
    )


def test_large_body_goes_where_the_link_is_free() -> None:
    """It leaves its failure domain only when it would be late otherwise."""
    size = balancer_lib.LARGE_BODY_BYTES
    entry = Entry(routing_mesh.make_candidates(6))
    for name in ("s0", "s3"):
        entry.finish(name, Result.ANSWERED, 0.0, _report_link(0.5))
    assert entry.pick(0.01, body_bytes=size).reason is Reason.OWN_DOMAIN
    for name in ("s0", "s3"):
        entry.finish(name, Result.ANSWERED, 0.0, _report_link(1.5))
    assert entry.pick(0.01, body_bytes=size).reason is Reason.OTHER_DOMAIN
    assert entry.pick(0.01).reason is Reason.OWN_DOMAIN
    entry.finish("s0", Result.ANSWERED, 0.0, _report_link(0.0))
    server = entry.pick(0.01, body_bytes=size).server
    assert server is not None
    assert server.server_id == "s0"


def test_large_body_stays_on_its_node_while_that_has_room() -> None:
    """A body that has crossed the node's link need not cross another one."""
    candidates = routing_mesh.make_candidates(4, slots=4)
    made = balancer_lib.Balancer(
        options=balancer_lib.BalancerOptions(failure_domain="d0", node_id="n0"),
        policy=pick_policies.TwoChoicesPick(),
        source=random.Random(1),
    )
    made.step(balancer_events.TableInstalled(candidates=candidates), 0.0)
    event = balancer_events.Pick(
        service="desk",
        version=1,
        candidates=candidates,
        body_bytes=balancer_lib.LARGE_BODY_BYTES,
    )
    picked = [made.pick(event, 0.0) for _ in range(4)]
    assert [each.reason for each in picked[:3]] == [Reason.OWN_NODE] * 3
    assert picked[3].reason is not Reason.OWN_NODE


load_tests = fixtures.collect(__name__)
