"""Roll-outs of good and bad versions under trouble, in virtual time."""

from collections.abc import Callable
import dataclasses
import random

import msgspec

from lovagesaddle.control import state_images
from lovagesaddle.core.configuration import rollout_changes
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import owner_counts
from lovagesaddle.core.rollouts import software_versions
from tests import fixtures
from tests import mesh as mesh_lib
from tests import rollout_mesh

Trouble = Callable[[rollout_mesh.RolloutMesh], None]
Fault = rollout_mesh.Fault
GOOD = Fault()
LATE_S = 40.0
AFTER_S = 6.0
# Time that the leader may take after an order or a report.
STOP_S = 0.5


def _calm(mesh: rollout_mesh.RolloutMesh) -> None:
    """Leaves the mesh as it is."""
    del mesh


def _lose_leader(after_s: float) -> Trouble:
    def trouble(mesh: rollout_mesh.RolloutMesh) -> None:
        mesh.run(after_s)
        mesh.lose_leader()

    return trouble


def _lose_power(after_s: float) -> Trouble:
    def trouble(mesh: rollout_mesh.RolloutMesh) -> None:
        mesh.run(after_s)
        before = mesh.rollout
        mesh.lose_power()
        assert mesh.rollout == before

    return trouble


def _lose_frames(mesh: rollout_mesh.RolloutMesh) -> None:
    source = random.Random(7)
    mesh.mesh.intercept = lambda *_: source.random() < 0.2


def _press(mesh: rollout_mesh.RolloutMesh) -> None:
    mesh.load = 2.2


def _slow_down(*names: str) -> Trouble:
    def trouble(mesh: rollout_mesh.RolloutMesh) -> None:
        for name in names:
            mesh.owners[name].slowdown = 4.0

    return trouble


def _play(
    seed: int, fault: Fault, trouble: Trouble = _calm, ramp_s: float = 12.0
) -> rollout_mesh.RolloutMesh:
    """Runs an order to its end and some seconds on."""
    mesh = rollout_mesh.RolloutMesh(seed, fault, ramp_s)
    mesh.order()
    trouble(mesh)
    while mesh.ended_at is None:
        assert mesh.mesh.now < mesh.ordered_at + LATE_S, "it does not end"
        mesh.run(0.1)
    mesh.run(AFTER_S)
    assert not mesh.breaches, mesh.breaches
    return mesh


def test_good_versions_complete_by_their_deadline() -> None:
    """Trouble doesn't pass for a bad version and costs little time.

    No request is at an old server at completion, and none reaches it then.
    """
    cases: tuple[tuple[Trouble, float], ...] = (
        (_calm, 12.0),
        (_calm, 16.0),
        (_lose_leader(2.0), 12.0),
        (_lose_leader(6.0), 12.0),
        (_lose_leader(8.2), 12.0),
        (_lose_leader(9.0), 16.0),
        (_lose_frames, 12.0),
        (_press, 12.0),
        (_slow_down("a1", "a2", "b3"), 12.0),
        (_slow_down("b0", "b1"), 16.0),
    )
    for seed, (trouble, ramp_s) in enumerate(cases):
        mesh = _play(seed, GOOD, trouble, ramp_s)
        assert mesh.ended_at is not None
        assert mesh.rollout.phase is snapshots.RolloutPhase.COMPLETED, seed
        assert mesh.ended_at - mesh.ordered_at <= ramp_s, seed


def test_loss_of_all_power_keeps_the_order() -> None:
    """A restart of every process resumes the roll-out and completes it."""
    mesh = _play(13, GOOD, _lose_power(5.0))
    assert mesh.rollout.phase is snapshots.RolloutPhase.COMPLETED


def test_bad_versions_are_rolled_back_within_the_exposure() -> None:
    """Versions that are bad at once, later, under load or on one route.

    All nodes stop within the bound on a roll-back.
    """
    at_once = Fault(failing=0.3)
    later = Fault(failing=0.3, starts_s=4.0)
    one_route = Fault(failing=0.4, route="write")
    cases: tuple[tuple[Fault, Trouble], ...] = (
        (at_once, _calm),
        (Fault(slow=0.4, slower=5.0), _calm),
        (later, _calm),
        (Fault(slow=0.5, slower=4.0, starts_s=5.0), _calm),
        (Fault(failing=0.4, busy=2), _calm),
        (one_route, _calm),
        (at_once, _lose_leader(3.0)),
        (at_once, _lose_frames),
        (one_route, _lose_power(3.0)),
        (later, _lose_leader(6.0)),
    )
    for seed, (fault, trouble) in enumerate(cases):
        mesh = _play(seed, fault, trouble)
        assert mesh.rollout.phase is snapshots.RolloutPhase.ROLLED_BACK, seed
        allowed = rollout_mesh.EXPOSURE_SHARE * mesh.total
        assert mesh.exposed <= allowed + rollout_mesh.EXPOSURE_SLACK, seed
        assert mesh.ended_at is not None
        assert mesh.last_new <= mesh.ended_at + STOP_S, seed
        bad = sorted(mesh.bad_at)[: rollout_mesh.BAD_LIMIT]
        if len(bad) == rollout_mesh.BAD_LIMIT:
            assert mesh.last_new <= bad[-1] + rollout_mesh.ROLLBACK_S, seed


def test_owner_that_hears_nothing_stops_by_itself() -> None:
    """A node with a trial server that is cut off outlives no roll-back."""
    mesh = rollout_mesh.RolloutMesh(5, GOOD)
    mesh.order()
    mesh.run(3.0)
    everyone = {*mesh.mesh.nodes, *mesh.mesh.replicas}
    mesh.mesh.cut(set(mesh.mesh.nodes), everyone)
    cut_at = mesh.mesh.now
    mesh.run(rollout_mesh.ROLLBACK_S + 3.0)
    assert cut_at < mesh.last_new <= cut_at + rollout_mesh.ROLLBACK_S


def _make_counts(
    phase: snapshots.RolloutPhase, weight: int
) -> owner_counts.OwnerCounts:
    counts = owner_counts.OwnerCounts(3.0)
    rollout = snapshots.Rollout(
        service=rollout_mesh.SERVICE,
        target="v2",
        previous="v1",
        ramp_s=12.0,
        ordered_at=4,
        phase=phase,
        weight=weight,
    )
    counts.install((rollout,), 5, 0.0)
    return counts


def test_only_ordered_versions_run() -> None:
    """The last decision is the owner's, by its own table."""
    running = snapshots.RolloutPhase.RUNNING
    cases = (
        (running, 0, "v1"),
        (running, 80, "v1 v2"),
        (running, 1000, "v2"),
        (snapshots.RolloutPhase.COMPLETED, 1000, "v2"),
        (snapshots.RolloutPhase.ROLLED_BACK, 0, "v1"),
    )
    for phase, weight, expected in cases:
        counts = _make_counts(phase, weight)
        allowed = [
            software
            for software in ("", "v1", "v2", "v3")
            if counts.may_run(
                dataclasses.replace(
                    mesh_lib.make_server("n"),
                    software=software or msgspec.UNSET,
                ),
                0.5,
            )
        ]
        assert " ".join(allowed) == expected, (phase, weight)


def test_cold_servers_are_no_evidence_of_slowness() -> None:
    """A server that has just started is slow whatever its version."""
    counts = _make_counts(snapshots.RolloutPhase.RUNNING, 80)
    cold = dataclasses.replace(mesh_lib.make_server("n"), software="v2")
    counts.add_server(cold)
    counts.count_answer(cold, "read", 5.0, failed=False)
    assert not counts.make_reports(1.0)[0].routes
    counts.count_answer(cold, "read", 5.0, failed=True)
    assert counts.make_reports(1.0)[0].routes[0].failed == 1


def test_orders_are_idempotent_and_survive_in_the_image() -> None:
    """An equal order is the same one, also after its end."""
    state = state_lib.make_initial_state()
    version = 1

    def apply(command: commands.Command) -> None:
        nonlocal state, version
        version += 1
        state = state_lib.apply_command(state, version, command).state
        state = state_images.decode_state(state_images.encode_state(state))

    def find(target: str) -> commands.RolloutOutcome | None:
        return rollout_changes.find_outcome(
            state.snapshot, dataclasses.replace(order, target=target)
        )

    order = commands.StartRollout(
        service=rollout_mesh.SERVICE, target="v2", ramp_s=12.0
    )
    assert find("v2") is commands.RolloutOutcome.UNKNOWN_SERVICE
    apply(
        commands.PublishServices(
            publish_id="p",
            operator="ana",
            base_version=0,
            services=(mesh_lib.make_service(rollout_mesh.SERVICE),),
        )
    )
    node = mesh_lib.make_node("n")
    server = dataclasses.replace(mesh_lib.make_server("n"), software="v1")
    apply(commands.ChangeMembership(nodes=(node,), servers=(server,)))
    apply(order)
    ordered = software_versions.find_rollout(
        state.snapshot, rollout_mesh.SERVICE
    )
    assert ordered is not None
    assert (ordered.previous, ordered.ordered_at) == ("v1", version)
    assert find("v2") is commands.RolloutOutcome.ACCEPTED
    assert find("v3") is commands.RolloutOutcome.CONFLICT
    apply(order)
    apply(dataclasses.replace(order, target="v3"))
    assert state.snapshot.rollouts == (ordered,)
    step = commands.StepRollout(
        service=rollout_mesh.SERVICE,
        ordered_at=ordered.ordered_at,
        phase=snapshots.RolloutPhase.ROLLED_BACK,
        weight=0,
        elapsed_s=3.0,
    )
    apply(dataclasses.replace(step, ordered_at=1))
    assert state.snapshot.rollouts == (ordered,)
    apply(step)
    apply(order)
    assert find("v2") is commands.RolloutOutcome.ACCEPTED
    assert find("v3") is None
    rolled_back = software_versions.find_rollout(
        state.snapshot, rollout_mesh.SERVICE
    )
    assert rolled_back is not None
    assert rolled_back.phase is snapshots.RolloutPhase.ROLLED_BACK


load_tests = fixtures.collect(__name__)
