"""Evidence of roll-outs: comparison, spans of time and choice of versions."""

import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import comparison
from lovagesaddle.core.rollouts import course as course_lib
from lovagesaddle.core.rollouts import director as director_lib
from lovagesaddle.core.rollouts import evidence
from lovagesaddle.core.routing import table
from lovagesaddle.core.routing import version_choice
from tests import fixtures
from tests import mesh

WORK_S = 0.1
ROLLOUT = snapshots.Rollout(
    service="orderdesk",
    target="v2",
    previous="v1",
    ramp_s=12.0,
    ordered_at=4,
    phase=snapshots.RolloutPhase.RUNNING,
    weight=80,
)


def _make_tally(
    answered: int, failed: int = 0, slow: int = 0
) -> evidence.Tally:
    tally = evidence.Tally()
    for number in range(answered):
        run_s = 5 * WORK_S if number < slow else WORK_S
        tally.add(run_s, failed=number < failed)
    return tally


def _make_report(
    age_s: float, version: int, running: int, tally: evidence.Tally
) -> evidence.Evidence:
    return evidence.Evidence(
        service="orderdesk",
        ordered_at=4,
        software="v1",
        version=version,
        age_s=age_s,
        arrived=tally.answered,
        running=running,
        routes=evidence.pack([("read", tally)]),
    )


def test_trouble_of_both_versions_is_no_evidence() -> None:
    """Only what the version in use doesn't have counts, not a fixed bound."""
    for field in ("failed", "slow"):
        shares = {field: 12}
        old = [{"read": _make_tally(40, **shares)} for _ in range(6)]
        new = [{"read": _make_tally(40, **shares)} for _ in range(3)]
        found = comparison.compare(old, new)
        assert found.verdict is comparison.Verdict.GOOD, found
        calm = [{"read": _make_tally(40)} for _ in range(6)]
        found = comparison.compare(calm, new)
        assert found.verdict is comparison.Verdict.BAD, found


def test_one_bad_route_is_found_among_many_requests() -> None:
    """The other routes don't dilute it."""
    old = [{"read": _make_tally(400), "write": _make_tally(10)}] * 6
    new = [{"read": _make_tally(400), "write": _make_tally(10, failed=6)}] * 3
    found = comparison.compare(old, new)
    assert found.verdict is comparison.Verdict.BAD
    assert (found.route, found.measure) == ("write", "failures")


def test_recent_answers_are_known_apart() -> None:
    """A version that turns bad after many good answers is seen soon."""
    course = course_lib.Course(ROLLOUT, 5, 0.0)
    course.add("n", 1, _make_report(1.0, 5, 0, _make_tally(500)), 1.0)
    course.add("n", 1, _make_report(4.0, 5, 0, _make_tally(520, 15)), 4.0)
    # An older report comes late.
    course.add("n", 1, _make_report(0.5, 5, 0, _make_tally(1)), 4.1)
    (recent,) = course.list_tallies("v1", recent=True)
    assert (recent["read"].failed, recent["read"].answered) == (15, 20)
    (whole,) = course.list_tallies("v1", recent=False)
    assert whole["read"].answered == 520


def test_a_version_that_turns_bad_after_many_answers_is_rolled_back() -> None:
    """All answers together would hide it for a long time."""
    director = director_lib.RolloutDirector(0.1)
    owners = [f"n{number}" for number in range(6)]
    snapshot = snapshots.Snapshot(
        cluster_id="c",
        version=9,
        nodes=tuple(mesh.make_node(name, incarnation=1) for name in owners),
        rollouts=(ROLLOUT,),
    )
    director.observe(snapshot, is_leader=True, now=0.0)
    steps: tuple[director_lib.Step, ...] = ()
    for age_s, answered, failed in ((1.0, 500, 0), (4.0, 520, 10)):
        for number, name in enumerate(owners):
            software = "v2" if number % 2 else "v1"
            tally = _make_tally(answered, failed if number % 2 else 0)
            report = _make_report(age_s, 9, 0, tally)
            report = dataclasses.replace(report, software=software)
            director.add_evidence(name, 1, (report,), age_s)
        steps = director.tick(age_s)
    (step,) = steps
    assert step.command.phase is snapshots.RolloutPhase.ROLLED_BACK


def test_an_owner_is_idle_only_under_the_newest_table() -> None:
    """One that has an older table may accept a request after its report."""
    server = dataclasses.replace(mesh.make_server("n"), software="v1")
    whole = dataclasses.replace(ROLLOUT, weight=1000)
    snapshot = snapshots.Snapshot(
        cluster_id="c", version=9, servers=(server,), rollouts=(whole,)
    )
    course = course_lib.Course(ROLLOUT, 5, 0.0)
    course.replace(whole, 9)
    empty = _make_tally(0)
    cases = ((8, 0, True), (9, 2, True), (9, 0, False))
    assert course.list_busy(snapshot) == ["n"]
    for age_s, (version, running, is_busy) in enumerate(cases, start=1):
        report = _make_report(float(age_s), version, running, empty)
        course.add("n", 1, report, 1.0)
        assert bool(course.list_busy(snapshot)) == is_busy, (version, running)


def test_trouble_at_old_servers_does_not_raise_a_small_share() -> None:
    """A request that all old servers refused waits for none of the new."""
    candidates = tuple(
        table.Candidate(
            server_id=name,
            incarnation=1,
            node_id=name,
            failure_domain="a",
            http_address="",
            slots=4,
            is_incoming=name == "new",
        )
        for name in ("old", "new")
    )

    def choose(weight: int | None, tried: str, draw: float) -> str:
        chosen = version_choice.choose_version(
            candidates, weight, frozenset({tried}), draw
        )
        return " ".join(each.server_id for each in chosen)

    assert choose(None, "", 0.0) == "old new"
    assert choose(80, "", 0.079) == "new"
    assert choose(80, "", 0.08) == "old"
    assert choose(80, "old", 0.5) == "old"
    assert choose(80, "new", 0.01) == "old"
    assert choose(900, "old", 0.95) == "new"


load_tests = fixtures.collect(__name__)
