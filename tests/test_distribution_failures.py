"""Tests of the distribution of configurations during failures."""

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import puller
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from tests import fixtures
from tests import mesh as mesh_lib

CONVERGENCE_LIMIT_S = 4.0
# Limit for an accepted version to be in force at every node.
IN_FORCE_S = 2.0
LONG_TICK_S = 0.2
# A fleet that restarts at once, and the limit for all of it to have tables.
RESTARTED_NODES = 99
DOWN_S = 0.5
# Longer than a lease.
LEASE_LIMIT_S = 30.0
# Long enough for a snapshot to arrive before the answer to a join.
ANSWERS_LOST_S = 3.0
RESTARTED_LIMIT_S = 2.0


def _start(count: int, domains: tuple[str, ...] = ("a",)) -> mesh_lib.Mesh:
    mesh = mesh_lib.Mesh()
    for domain in domains:
        mesh.add_nodes(count, domain)
    mesh.run(4)
    mesh.run_until_converged()
    return mesh


def _find_parents(
    mesh: mesh_lib.Mesh, node_id: str
) -> tuple[peers.Peer, peers.Peer]:
    plan = relay_tree.plan_parents(
        mesh.state.snapshot,
        node_id,
        node_id[0],
        tuple(replica.peer for replica in mesh.replicas.values()),
    )
    lazy = [peer for peer in plan.lazy if peer != plan.eager[0]]
    return plan.eager[0], lazy[0]


def _find_deep_node(mesh: mesh_lib.Mesh) -> str:
    for node_id in sorted(mesh.nodes):
        if _find_parents(mesh, node_id)[0].peer_id in mesh.nodes:
            return node_id
    raise AssertionError("no node below a node")


def _assert_versions_increase(mesh: mesh_lib.Mesh) -> None:
    for node in mesh.nodes.values():
        versions = [hashed.version for hashed in node.installed]
        assert versions == sorted(set(versions)), versions
        for hashed in node.installed[-1:]:
            rehashed = delta.hash_snapshot(hashed.snapshot)
            assert hashed.digest == rehashed.digest


def test_parent_that_dies_in_mid_delta_costs_a_pull() -> None:
    """A child whose parent dies before it sends a delta pulls the version."""
    mesh = _start(30)
    child = _find_deep_node(mesh)
    eager, _ = _find_parents(mesh, child)
    mesh.intercept = lambda sender, _, frame: (
        sender == eager.peer_id and wire.name_kind(frame) == "DeltaPush"
    )
    mesh.publish("orderdesk")
    mesh.run(0.1)
    mesh.kill(eager.peer_id)
    assert mesh.run_until_converged() < 1.0
    _assert_versions_increase(mesh)


def test_both_parents_dying_is_survived_within_the_bound() -> None:
    """A child that loses both parents at once still gets updates in time.

    The eager parent dies, and the replica that is the lazy parent is cut off
    from all nodes.
    """
    mesh = _start(30)
    child = _find_deep_node(mesh)
    eager, lazy = _find_parents(mesh, child)
    mesh.kill(eager.peer_id)
    mesh.cut({lazy.peer_id}, set(mesh.nodes))
    mesh.publish("orderdesk")
    assert mesh.run_until_converged() < IN_FORCE_S


def test_a_stale_replica_is_found_through_the_lazy_link() -> None:
    """Nodes below an isolated replica get each version in time."""
    mesh = _start(20, ("a", "b", "c"))
    for replica_id in ("r1", "r2"):
        mesh.isolate_replica(replica_id)
        mesh.publish(f"{replica_id}s")
        assert mesh.run_until_converged() < CONVERGENCE_LIMIT_S
        mesh.run(20, LONG_TICK_S)
        mesh.publish(f"{replica_id}later")
        assert mesh.run_until_converged() <= puller.PULL_AFTER_S
        mesh.heal()
        mesh.run(5)
    _assert_versions_increase(mesh)


def test_two_stale_replicas_are_left_for_the_third() -> None:
    """Nodes with two stale parents switch to the up-to-date replica."""
    mesh = _start(12, ("a", "b", "c"))
    mesh.isolate_replica("r1")
    mesh.isolate_replica("r2")
    mesh.run(40, LONG_TICK_S)
    mesh.publish("orderdesk")
    assert mesh.run_until_converged() < CONVERGENCE_LIMIT_S
    _assert_versions_increase(mesh)


def test_leader_lost_in_mid_change_stops_nobody() -> None:
    """A version that the lost leader did not send on reaches every node."""
    mesh = _start(20, ("a", "b"))
    mesh.intercept = lambda sender, *_: sender == "r0"
    mesh.publish("orderdesk")
    mesh.run(0.1)
    mesh.leader_id = "r1"
    mesh.cut({"r0"}, set(mesh.nodes) | {"r1", "r2"})
    assert mesh.run_until_converged() < CONVERGENCE_LIMIT_S
    mesh.add_node("a999")
    mesh.run(4)
    assert mesh.nodes["a999"].part.version > 0
    assert mesh.state.snapshot.nodes[-1].node_id >= "a999"


def test_a_failure_domain_restarts_at_once() -> None:
    """90 nodes that restart at once are up to date again within 10 s."""
    mesh = _start(90)
    mesh.add_nodes(20, "b")
    mesh.run(4)
    entries = mesh.entries
    before = mesh.get_versions()
    for name in [name for name in mesh.nodes if name.startswith("a")]:
        mesh.add_node(name)
    took = mesh.run_until(
        lambda: all(
            node.part.version > before[name] or name[0] == "b"
            for name, node in mesh.nodes.items()
        ),
        30.0,
    )
    assert took < 10.0, took
    assert mesh.entries - entries <= 5
    _assert_versions_increase(mesh)
    mesh.run(5)
    mesh.publish("orderdesk")
    assert mesh.run_until_converged() < CONVERGENCE_LIMIT_S


def test_a_cold_start_serves_itself() -> None:
    """200 nodes that start at once are served in 5 s, and none expires.

    The replicas limit whole snapshots, so nodes also serve each other.
    """
    mesh = mesh_lib.Mesh()
    mesh.add_nodes(200)
    took = mesh.run_until(lambda: all(mesh.get_versions().values()), 30.0)
    assert took < 5.0, took
    mesh.run(8, LONG_TICK_S)
    assert len(mesh.state.snapshot.nodes) == 200
    assert mesh.entries <= 6


def test_two_failure_domains_cut_apart_and_healed() -> None:
    """A partitioned domain keeps its version and catches up afterwards."""
    mesh = _start(10, ("a", "b"))
    side = {name for name in mesh.nodes if name.startswith("a")}
    other = set(mesh.nodes) - side
    mesh.cut(side, other | set(mesh.replicas))
    held = mesh.nodes["a000"].part.version
    mesh.publish("orderdesk")
    mesh.run(180, LONG_TICK_S)
    assert {mesh.nodes[name].part.version for name in side} == {held}
    assert len(mesh.state.snapshot.nodes) == 20, "nodes expired"
    newest = mesh.publish("orderdesk", "artwork")
    mesh.run(3)
    assert {mesh.nodes[name].part.version for name in other} == {newest}
    mesh.heal()
    mesh.run_until_converged(70.0)
    _assert_versions_increase(mesh)


def test_control_away_leaves_everything_as_it_is() -> None:
    """Nodes without replicas keep their version and catch up later."""
    mesh = _start(12)
    held = mesh.get_versions()
    mesh.cut(set(mesh.replicas), set(mesh.nodes))
    mesh.run(300, LONG_TICK_S)
    assert mesh.get_versions() == held
    mesh.sent.clear()
    mesh.run(60, LONG_TICK_S)
    asked = [s for s in mesh.sent if s[1] in mesh.replicas]
    assert len(asked) / len(mesh.nodes) / 60 < 1.5, len(asked)
    mesh.heal()
    mesh.publish("orderdesk")
    mesh.run_until_converged(70.0)


def test_nodes_follow_replicas_to_new_vms() -> None:
    """Nodes learn of new replicas, even if all in their settings are gone."""
    mesh = _start(20, ("a", "b"))
    for number, old_id in enumerate(("r2", "r1", "r0")):
        mesh.replace_replica(old_id, f"x{number}")
        mesh.run(6)
    mesh.publish("orderdesk")
    assert mesh.run_until_converged() < CONVERGENCE_LIMIT_S
    assert len(mesh.state.snapshot.nodes) == 40
    mesh.step(
        "a003", events.ServerAnnounced(server=mesh_lib.make_server("a003"))
    )
    mesh.run(8)
    assert len(mesh.state.snapshot.servers) == 1


def test_crossed_doubled_and_late_updates_change_nothing() -> None:
    """Duplicate, late and reordered updates never install an older version."""
    mesh = _start(12)
    for number in range(6):
        mesh.publish(f"s{number}")
        mesh.run(0.4)
    mesh.run_until_converged()
    held = mesh.get_versions()
    pushes = [
        (sender, target, frame)
        for sender, target, frame in mesh.sent
        if wire.name_kind(frame) in {"DeltaPush", "SnapshotPush"}
    ]
    for sender, target, frame in (*reversed(pushes), *pushes):
        received = events.FrameReceived(
            sender_id=sender, route=b"", frame=frame
        )
        mesh.step(target, received)
    assert mesh.get_versions() == held
    _assert_versions_increase(mesh)


def test_a_restarted_node_does_not_go_back_to_a_stale_replica() -> None:
    """A restarted node that reaches only a stale replica installs nothing."""
    mesh = _start(3)
    mesh.isolate_replica("r2")
    for number in range(300):
        mesh.publish(f"s{number}")
    mesh.run(3)
    held = mesh.nodes["a000"].part.version
    mesh.cut({"a000"}, (set(mesh.nodes) - {"a000"}) | {"r0", "r1"})
    again = mesh.add_node("a000")
    mesh.run(60)
    assert not again.installed
    mesh.heal()
    mesh.run_until_converged(30.0)
    assert again.installed[0].version > held


def test_a_removed_service_leaves_every_node() -> None:
    """A removed service disappears from nodes that missed many versions."""
    mesh = _start(12)
    mesh.publish("orderdesk", "artwork")
    mesh.run_until_converged()
    mesh.cut({"a005"}, set(mesh.replicas) | set(mesh.nodes))
    for number in range(200):
        mesh.publish("artwork", f"s{number}")
        mesh.run(0.05)
    mesh.heal()
    mesh.run_until_converged(30.0)
    for node in mesh.nodes.values():
        names = [s.name for s in node.installed[-1].snapshot.services]
        assert names == ["artwork", "s199"]


def test_a_server_that_returns_within_a_second_is_the_new_one() -> None:
    """Late reports do not replace the new incarnation of a server."""
    mesh = _start(3)
    first = mesh_lib.make_server("a000", incarnation=1)
    again = mesh_lib.make_server("a000", incarnation=2)
    mesh.step("a000", events.ServerAnnounced(server=first))
    mesh.run(2)
    reports = [
        sent for sent in mesh.sent if wire.name_kind(sent[2]) == "ServerReport"
    ]
    gone = events.ServerWithdrawn(server_id=first.server_id, incarnation=1)
    mesh.step("a000", gone)
    mesh.run(0.4)
    mesh.step("a000", events.ServerAnnounced(server=again))
    mesh.step("a000", gone)
    mesh.run(3)
    assert mesh.state.snapshot.servers == (again,)
    for _, target, frame in reports:
        late = events.FrameReceived(
            sender_id="a000", route=b"a000/1/r", frame=frame
        )
        mesh.step(target, late)
    mesh.run(2)
    assert mesh.state.snapshot.servers == (again,)


def test_the_leader_serves_roots_only() -> None:
    """The number of deltas that replicas send is the number of roots.

    It does not grow with the number of nodes of the failure domain.
    """
    counts = []
    for size in (30, 90):
        mesh = _start(size)
        mesh.run(3)
        mesh.sent.clear()
        mesh.publish("orderdesk")
        mesh.run_until_converged()
        counts.append(
            sum(
                sender in mesh.replicas
                for sender, _, frame in mesh.sent
                if wire.name_kind(frame) == "DeltaPush"
            )
        )
    assert counts[0] == counts[1] == relay_tree.ROOT_COUNT


def test_crash_marks_reach_every_node_once() -> None:
    """A mark created at one node is delivered once to each other node."""
    mesh = _start(20, ("a", "b"))
    mark = messages.Mark(fingerprint=b"f", mark_id=b"m", age_s=0.5)
    mesh.step("a003", events.MarksRaised(marks=(mark,)))
    mesh.run(1)
    for name, node in mesh.nodes.items():
        assert node.marks == ([] if name == "a003" else [b"m"]), name


def test_acks_name_who_lags() -> None:
    """Nodes that have not installed a version are listed as lagging."""
    mesh = _start(30)
    leader = mesh.replicas["r0"].part
    cut_off = {"a004", "a017"}
    mesh.intercept = lambda _, target, frame: (
        target in cut_off
        and wire.name_kind(frame) in {"DeltaPush", "SnapshotPush"}
    )
    before = mesh.state.snapshot.version
    version = mesh.publish("orderdesk")
    mesh.run(2)
    assert set(leader.list_lagging(version)) >= cut_off
    assert leader.find_version_in_force() == before
    mesh.intercept = lambda *_: False
    mesh.run_until(lambda: not leader.list_lagging(version), 10.0)
    assert leader.find_version_in_force() == version
    follower = mesh.replicas["r1"].part
    mesh.run_until(lambda: not follower.list_lagging(version), 2.0)


def test_a_dead_node_expires_and_a_living_one_does_not() -> None:
    """A dead node expires within 15 s, and no other node does."""
    mesh = _start(30)
    mesh.kill("a007")
    mesh.run_until(lambda: len(mesh.state.snapshot.nodes) == 29, 15.0)
    mesh.run(30)
    assert len(mesh.state.snapshot.nodes) == 29
    names = {node.node_id for node in mesh.state.snapshot.nodes}
    assert "a007" not in names


def test_restarted_fleet_has_tables_within_its_bound() -> None:
    """Restarted nodes waited for helpers that had no table either.

    Such a helper answered nothing, so that each one cost the full timeout, and
    a fleet that restarted at once was without routes for nine seconds.
    """
    mesh = mesh_lib.Mesh()
    for domain in ("a", "b", "c"):
        mesh.add_nodes(RESTARTED_NODES // 3, domain)
    mesh.run(2 * mesh.heartbeat_s)
    mesh.run_until_converged()
    mesh.publish("orderdesk")
    mesh.run_until_converged()
    names = tuple(mesh.nodes)
    for name in names:
        mesh.kill(name)
    mesh.run(DOWN_S)
    for name in names:
        mesh.add_node(name, name[0])
    mesh.run_until(
        lambda: all(version > 0 for version in mesh.get_versions().values()),
        RESTARTED_LIMIT_S,
    )


def test_node_whose_join_answer_is_lost_joins_all_the_same() -> None:
    """A snapshot may list the new incarnation before the answer arrives.

    The node took it for another process of its name, and never joined again.
    """
    mesh = _start(10)
    lost = "a003"
    others = set(mesh.nodes) - {lost} | set(mesh.replicas)
    mesh.cut({lost}, others)
    mesh.run_until(lambda: not _is_listed(mesh, lost), LEASE_LIMIT_S)
    mesh.heal()
    healed_at = mesh.now

    def drop_answers(sender: str, target: str, frame: bytes) -> bool:
        is_answer = target == lost and isinstance(
            wire.decode(frame, peer=sender), messages.JoinAccepted
        )
        return is_answer and mesh.now < healed_at + ANSWERS_LOST_S

    mesh.intercept = drop_answers
    mesh.run(2 * ANSWERS_LOST_S)
    for _ in range(3):
        mesh.run(LEASE_LIMIT_S / 3)
        assert _is_listed(mesh, lost)
    mesh.run_until_converged()


def _is_listed(mesh: mesh_lib.Mesh, node_id: str) -> bool:
    return node_id in {node.node_id for node in mesh.state.snapshot.nodes}


def test_helper_without_a_table_says_so() -> None:
    """A node that pulls its first snapshot asks another source at once."""
    mesh = mesh_lib.Mesh()
    answers: list[object] = []
    first = mesh.add_node("a000")
    for action in first.part.step(
        events.FrameReceived(
            sender_id="a001",
            route=b"route",
            frame=wire.encode(messages.Pull(version=0, digest=b"", least=5)),
        ),
        mesh.now,
    ):
        if isinstance(action, events.Answer):
            answers.append(wire.decode(action.frame, peer="a000"))
    assert [type(answer) for answer in answers] == [messages.RetryLater]


load_tests = fixtures.collect(__name__)
