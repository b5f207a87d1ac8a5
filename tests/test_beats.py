"""Tests of what a node believes of the backend server beside it."""

from collections.abc import Iterator
import contextlib
import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.node import local_servers
from lovagesaddle.node import program
from tests import fixtures
from tests import nodes

SERVICE = "orderdesk"
BORN_MS = 1_700_000_000_000
FOUND = local_servers.Announcement(
    service=SERVICE,
    address="127.0.0.1:1",
    slots=4,
    connections=4,
    instance="i-1",
    is_warm=True,
)
BEAT = dataclasses.replace(FOUND, born_ms=BORN_MS)


@contextlib.contextmanager
def _run_node() -> Iterator[tuple[nodes.Mesh, program.NodeProgram]]:
    with nodes.Mesh(nodes.make_service()) as mesh:
        yield mesh, mesh.start("n0", probe=False)


def _list_serving(mesh: nodes.Mesh) -> list[str]:
    return [
        server.server_id
        for server in mesh.control.snapshot.servers
        if server.state is snapshots.ServerState.SERVING
    ]


def test_late_word_does_not_bring_a_leaving_server_back() -> None:
    """A restarted node takes no single word of a life that it missed.

    The server has told the node's earlier process that it leaves, and an
    older word arrives now.
    """
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(BEAT, 40, is_leaving=False)
        assert not _list_serving(mesh)
        node.heartbeats.handle_heartbeat(BEAT, 42, is_leaving=True)
        node.heartbeats.handle_heartbeat(BEAT, 41, is_leaving=False)
        assert not _list_serving(mesh)


def test_second_rising_word_confirms_a_life() -> None:
    """A server that goes on saying that it serves is served."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(BEAT, 40, is_leaving=False)
        node.heartbeats.handle_heartbeat(BEAT, 41, is_leaving=False)
        assert _list_serving(mesh) == ["n0/orderdesk"]


def test_first_word_of_a_life_is_taken_at_once() -> None:
    """Nothing can have come before it."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(BEAT, 1, is_leaving=False)
        assert _list_serving(mesh) == ["n0/orderdesk"]


def test_discovered_server_is_the_one_that_beats() -> None:
    """Its first word changes nothing, and its leaving is understood."""
    with _run_node() as (mesh, node):
        assert node.heartbeats.add_discovered(FOUND)
        before = mesh.control.snapshot.servers
        assert before[0].is_warm
        node.heartbeats.handle_heartbeat(BEAT, 40, is_leaving=False)
        assert mesh.control.snapshot.servers == before
        node.heartbeats.handle_heartbeat(BEAT, 41, is_leaving=True)
        assert not _list_serving(mesh)


def test_server_that_left_meanwhile_is_not_discovered() -> None:
    """An answer of the health endpoint may be older than the last word."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(BEAT, 40, is_leaving=True)
        assert not node.heartbeats.add_discovered(FOUND)
        assert not _list_serving(mesh)
        node.heartbeats.handle_deregistration("i-1", 0)
        assert not node.heartbeats.add_discovered(FOUND)


def test_farewell_ends_a_discovered_server() -> None:
    """A server that never beat to this process may still say farewell."""
    with _run_node() as (mesh, node):
        assert node.heartbeats.add_discovered(FOUND)
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        assert not mesh.control.snapshot.servers


def test_address_that_serves_another_service_ends_the_first() -> None:
    """A server that fell silent is gone once another one beats in its place."""
    other = dataclasses.replace(
        BEAT, service="artwork", instance="i-2", born_ms=BORN_MS + 5000
    )
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(BEAT, 1, is_leaving=False)
        node.heartbeats.handle_heartbeat(other, 1, is_leaving=False)
        assert _list_serving(mesh) == ["n0/artwork"]
        assert node.heartbeats.service == "artwork"
        node.heartbeats.handle_heartbeat(BEAT, 2, is_leaving=False)
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        assert _list_serving(mesh) == ["n0/artwork"]


load_tests = fixtures.collect(__name__)
