"""Tests of how nodes measure the age of the version that they installed."""

import math
import random

from lovagesaddle.core import echoes
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import freshness as freshness_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from tests import fixtures
from tests import mesh as mesh_lib

# Limit for an accepted version to be in force at every node.
IN_FORCE_S = 2.0
REPLICAS = 6
NODES = 28
# Range of ages that tests accept beside the exact one, in virtual seconds.
SLACK_S = 3 * mesh_lib.TICK_S


def _start() -> mesh_lib.Mesh:
    mesh = mesh_lib.Mesh(replica_count=REPLICAS, is_paced=True)
    mesh.add_nodes(NODES)
    mesh.run(4)
    mesh.run_until_converged()
    return mesh


def _find_ages(mesh: mesh_lib.Mesh) -> dict[str, float]:
    """Returns the age that each node states for its version, in seconds."""
    ages = {}
    for name, node in mesh.nodes.items():
        assert node.current_at is not None, name
        ages[name] = mesh.now - node.current_at
    return ages


def _find_oldest(mesh: mesh_lib.Mesh, seconds: float) -> float:
    """Returns the largest age of any node within the next `seconds`."""
    end = mesh.now + seconds
    oldest = 0.0
    while mesh.now < end:
        mesh.run(mesh_lib.TICK_S)
        oldest = max(oldest, *_find_ages(mesh).values())
    return oldest


def _make_statement(
    version: int, sequence: int, age_s: float | None
) -> messages.ParentBeat:
    return messages.ParentBeat(
        version=version,
        digest=b"",
        stamp=mesh_lib.STAMP,
        sequence=sequence,
        age_s=age_s,
    )


def test_statement_that_waited_dates_from_its_question() -> None:
    """A node that was paused measures how long a statement waited for it."""
    freshness = freshness_lib.Freshness(random.Random(1))
    sequence = freshness.ask(10.0)
    statement = _make_statement(7, sequence, 0.25)
    assert freshness.record_statement(statement, installed_version=7)
    assert freshness.compute_age(15.0) == 5.25


def test_statement_counts_once_its_version_is_installed() -> None:
    """A node that knows of a newer version does not prove its older one."""
    freshness = freshness_lib.Freshness(random.Random(1))
    early = freshness.ask(10.0)
    freshness.record_statement(_make_statement(7, early, 0.0), 7)
    late = freshness.ask(11.0)
    assert not freshness.record_statement(_make_statement(8, late, 0.0), 7)
    assert freshness.compute_age(11.5) == 1.5
    assert freshness.apply_installed(8)
    assert freshness.compute_age(11.5) == 0.5


def test_statement_for_another_process_proves_nothing() -> None:
    """Answers to an earlier process, unasked and absurd ones are ignored."""
    before = freshness_lib.Freshness(random.Random(1))
    freshness = freshness_lib.Freshness(random.Random(2))
    for sequence in (before.ask(1.0), echoes.NONE):
        statement = _make_statement(7, sequence, 0.0)
        assert not freshness.record_statement(statement, 7)
    for age_s in (None, -5.0, math.inf, math.nan):
        unproved = _make_statement(7, freshness.ask(2.0), age_s)
        assert not freshness.record_statement(unproved, 7), age_s
    assert freshness.compute_age(3.0) is None


def test_nodes_of_a_calm_mesh_prove_their_age() -> None:
    """Heartbeats alone keep every node within the limit, without probes."""
    mesh = _start()
    for node in mesh.nodes.values():
        node.lines.clear()
    assert _find_oldest(mesh, 10.0) <= IN_FORCE_S
    lines = [line for node in mesh.nodes.values() for line in node.lines]
    assert not [line for line in lines if line.event == "age unproved"]


def test_age_counts_while_a_node_is_cut_off() -> None:
    """A node without a path to any replica states the age that it has.

    Other nodes, which are cut off as well, prove nothing to it.
    """
    mesh = _start()
    mesh.cut(set(mesh.replicas), set(mesh.nodes))
    mesh.run(10)
    for age_s in _find_ages(mesh).values():
        assert 10.0 - SLACK_S <= age_s <= 10.0 + IN_FORCE_S, age_s
    mesh.heal()
    mesh.run(5)
    assert max(_find_ages(mesh).values()) <= IN_FORCE_S


def test_replica_that_is_cut_off_from_the_others_proves_nothing() -> None:
    """Nodes below a replica without a majority get their proof elsewhere."""
    mesh = _start()
    mesh.isolate_replica("r1")
    mesh.publish("orderdesk")
    assert _find_oldest(mesh, 6.0) <= IN_FORCE_S
    assert set(mesh.get_versions().values()) == {mesh.state.snapshot.version}


def test_proof_survives_a_series_of_losses() -> None:
    """No node that runs is left without a proof while its parents die.

    A replica is cut off from the nodes at the same moment.
    """
    mesh = _start()
    mesh.cut({"r2"}, set(mesh.nodes))
    oldest = 0.0
    for name in sorted(mesh.nodes)[:8:2]:
        mesh.kill(name)
        oldest = max(oldest, _find_oldest(mesh, 1.0))
    assert oldest <= IN_FORCE_S, oldest


def test_request_asks_for_the_newest_version_however_young_the_proof() -> None:
    """A node that hears from an owner of a newer version asks for it at once.

    Its own proof may be younger than that version.
    """
    mesh = _start()
    name = min(mesh.nodes)
    mesh.sent.clear()
    mesh.step(name, events.ProofRequested())
    asked = [
        target
        for sender, target, frame in mesh.sent
        if sender == name and wire.name_kind(frame) == "Pull"
    ]
    assert len(asked) == 1 and asked[0] in mesh.replicas, asked


load_tests = fixtures.collect(__name__)
