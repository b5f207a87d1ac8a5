"""Tests of the agents of nodes together with the agents of replicas."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh as mesh_lib


def test_a_node_joins_through_any_replica_and_follows() -> None:
    """A node joins through any replica and installs every later version."""
    mesh = mesh_lib.Mesh()
    for name in ("n1", "n2", "n3", "n4"):
        mesh.add_node(name)
    mesh.run(3)
    version = mesh.publish("orderdesk")
    assert mesh.run_until_converged() < 1.0
    assert set(mesh.get_versions().values()) == {version}
    newest = mesh.nodes["n1"].installed[-1]
    assert newest.digest == delta.hash_snapshot(mesh.state.snapshot).digest


def test_a_herd_of_joins_costs_few_versions() -> None:
    """180 nodes that start at once need at most 5 log entries."""
    mesh = mesh_lib.Mesh()
    mesh.add_nodes(180)
    before = mesh.entries
    mesh.run(2)
    assert len(mesh.state.snapshot.nodes) == 180
    assert mesh.entries - before <= 5


def test_nothing_older_than_the_join_is_installed() -> None:
    """A restarted node first installs a version newer than all before."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    before = mesh.nodes["n1"].part.version
    again = mesh.add_node("n1")
    mesh.run(3)
    assert again.installed[0].version > before


def test_a_second_life_gets_a_higher_incarnation() -> None:
    """A restarted node gets a higher incarnation without stored state."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    first = mesh.nodes["n1"].part.node.incarnation
    mesh.add_node("n1")
    mesh.run(3)
    assert mesh.nodes["n1"].part.node.incarnation > first > 0


def test_of_two_processes_with_one_name_the_later_one_stays() -> None:
    """Of two processes with one ID the earlier stops joining and reporting."""
    mesh = mesh_lib.Mesh()
    first = mesh.add_node("n1")
    server = mesh_lib.make_server("n1")
    mesh.run(3)
    later = mesh.add_node("n1")
    mesh.run(1)
    entries = mesh.entries
    for replica_id in mesh.replicas:
        push = messages.SnapshotPush(
            snapshot=mesh.state.snapshot,
            digest=delta.hash_snapshot(mesh.state.snapshot).digest,
        )
        received = events.FrameReceived(
            sender_id=replica_id, route=b"", frame=wire.encode(push)
        )
        actions = first.part.step(received, mesh.now)
        announced = events.ServerAnnounced(server=server)
        actions += first.part.step(announced, mesh.now + 9)
        frames = [a.frame for a in actions if isinstance(a, events.Send)]
        kinds = {wire.name_kind(frame) for frame in frames}
        assert "Join" not in kinds and "ServerReport" not in kinds
    mesh.run(3)
    assert mesh.entries == entries
    assert later.part.node.incarnation > first.part.node.incarnation


def test_servers_appear_drain_and_go() -> None:
    """Changes of a node's server appear in the snapshot within 2 s."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    serving = mesh_lib.make_server("n1")
    mesh.step("n1", events.ServerAnnounced(server=serving))
    mesh.run(2)
    assert mesh.state.snapshot.servers == (serving,)
    draining = dataclasses.replace(
        serving, state=snapshots.ServerState.DRAINING
    )
    mesh.step("n1", events.ServerAnnounced(server=draining))
    mesh.run(2)
    assert mesh.state.snapshot.servers == (draining,)
    mesh.step(
        "n1", events.ServerWithdrawn(server_id=serving.server_id, incarnation=1)
    )
    mesh.run(2)
    assert not mesh.state.snapshot.servers


def test_a_leave_takes_node_and_servers_out() -> None:
    """A node that leaves is removed before its lease expires."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.step("n1", events.ServerAnnounced(server=mesh_lib.make_server("n1")))
    mesh.run(3)
    assert mesh.state.snapshot.servers
    mesh.step("n1", events.LeaveRequested())
    mesh.run(1)
    assert not mesh.state.snapshot.nodes and not mesh.state.snapshot.servers


def test_updates_that_do_not_fit_are_refused() -> None:
    """Older updates, damaged ones and those of other clusters are refused."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    old = mesh.state.snapshot
    mesh.publish("orderdesk")
    mesh.run_until_converged()
    node = mesh.nodes["n1"]
    held = node.part.version
    newer = dataclasses.replace(mesh.state.snapshot, version=held + 9)
    foreign = dataclasses.replace(newer, cluster_id="other")
    digest = delta.hash_snapshot(newer).digest
    for snapshot, claimed in (
        (old, delta.hash_snapshot(old).digest),
        (foreign, digest),
        (newer, b"x" * 16),
    ):
        push = messages.SnapshotPush(snapshot=snapshot, digest=claimed)
        frame = wire.encode(push)
        for bad in (frame, frame[:-5], b"\x01junk"):
            mesh.step(
                "n1", events.FrameReceived(sender_id="r0", route=b"", frame=bad)
            )
        assert node.part.version == held


def test_a_delta_on_another_base_brings_the_whole_snapshot() -> None:
    """A node that does not have the base of a delta pulls a whole snapshot."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    mesh.intercept = lambda *_: True
    held = mesh.state.snapshot
    version = mesh.publish("orderdesk")
    mesh.run(0.1)
    change = snapshots.Delta(
        cluster_id=held.cluster_id,
        base_version=held.version,
        base_digest=b"x" * 16,
        version=version,
        digest=b"y" * 16,
    )
    frame = wire.encode(messages.DeltaPush(delta=change))
    mesh.intercept = lambda _, target, frame: (
        target == "n1" and wire.name_kind(frame) == "DeltaPush"
    )
    mesh.step(
        "n1", events.FrameReceived(sender_id="r0", route=b"", frame=frame)
    )
    mesh.run_until_converged(3.0)
    kinds = [wire.name_kind(sent[2]) for sent in mesh.sent]
    assert kinds.count("SnapshotPush") == 2


def test_only_replicas_speak_for_others() -> None:
    """A node can neither forward for another node nor send in its name."""
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.add_node("n2")
    mesh.run(3)
    leave = messages.Leave(
        node_id="n2", incarnation=mesh.nodes["n2"].part.node.incarnation
    )
    forward = messages.Forward(origin_id="n2", data=wire.encode(leave))
    for sender, message in (("n1", forward), ("n1", leave), ("r1", forward)):
        frame = wire.encode(message)
        received = events.FrameReceived(
            sender_id=sender, route=b"x", frame=frame
        )
        mesh.step("r0", received)
        mesh.run(2)
        (listed,) = [n for n in mesh.state.snapshot.nodes if n.node_id == "n2"]
        stayed = listed.incarnation == leave.incarnation
        assert stayed is (sender == "n1"), sender


def test_installed_version_tells_its_size_and_its_delay() -> None:
    """The log line of a version has its size and the delay since it is known.

    The delay distinguishes a version that was delivered late from one that
    was published late.
    """
    mesh = mesh_lib.Mesh()
    mesh.add_node("n1")
    mesh.run(3)
    pushes: list[bytes] = []

    def _intercept(_: str, __: str, frame: bytes) -> bool:
        if wire.name_kind(frame) != messages.DeltaPush.__name__:
            return False
        pushes.append(frame)
        return len(pushes) == 1

    mesh.intercept = _intercept
    mesh.publish("orderdesk")
    mesh.run_until_converged()
    line = [
        line for line in mesh.nodes["n1"].lines if line.event == "installed"
    ][-1]
    assert line.size == len(pushes[-1])
    assert line.overdue_ms is not None and line.overdue_ms >= 250


load_tests = fixtures.collect(__name__)
