"""Tests of how a node tracks the backend server on its VM."""

from collections.abc import Iterator
import contextlib
import dataclasses
from unittest import mock

from lovagesaddle.core.membership import heartbeat_order
from lovagesaddle.core.membership import server_confirmation
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import local_servers
from lovagesaddle.node import program
from tests import fixtures
from tests import nodes

SERVICE = "orderdesk"
BORN_MS = 1_700_000_000_000
DISCOVERED = local_servers.Announcement(
    service=SERVICE,
    address="127.0.0.1:1",
    slots=4,
    connections=4,
    instance="i-1",
    is_warm=True,
)
HEARTBEAT = dataclasses.replace(DISCOVERED, born_ms=BORN_MS)


@contextlib.contextmanager
def _answer_health(
    node: program.NodeProgram, health: server_confirmation.Health | None
) -> Iterator[None]:
    with mock.patch.object(node.heartbeats, "_check_health", lambda _: health):
        yield


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


def test_late_heartbeat_does_not_restore_a_leaving_server() -> None:
    """A restarted node registers no server on a single late heartbeat.

    The server has told the node's earlier process that it is leaving, and an
    older heartbeat arrives after the restart.
    """
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        assert not _list_serving(mesh)
        node.heartbeats.handle_heartbeat(HEARTBEAT, 42, is_leaving=True)
        node.heartbeats.handle_heartbeat(HEARTBEAT, 41, is_leaving=False)
        assert not _list_serving(mesh)


def test_late_heartbeats_do_not_restore_a_leaving_server() -> None:
    """Two late heartbeats registered a server that had said farewell.

    It still runs, and its health check says that it is leaving.
    """
    leaving = server_confirmation.Health(instance="i-1", is_serving=False)
    with _run_node() as (mesh, node), _answer_health(node, leaving):
        for sequence in (40, 41, 42, 43):
            node.heartbeats.handle_heartbeat(
                HEARTBEAT, sequence, is_leaving=False
            )
        assert not _list_serving(mesh)
        assert not node.heartbeats.service


def test_late_heartbeat_does_not_rename_the_vm() -> None:
    """Requests that began here carried the service of an earlier server."""
    late = dataclasses.replace(
        HEARTBEAT, service="artwork", instance="i-0", born_ms=BORN_MS - 5000
    )
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node), _answer_health(node, present):
        node.heartbeats.handle_heartbeat(late, 40, is_leaving=False)
        assert not node.heartbeats.service
        assert node.heartbeats.add_discovered(DISCOVERED)
        node.heartbeats.handle_heartbeat(late, 41, is_leaving=False)
        assert node.heartbeats.service == SERVICE
        assert _list_serving(mesh) == ["n0/orderdesk"]
        node.heartbeats.handle_heartbeat(HEARTBEAT, 7, is_leaving=False)
        node.heartbeats.handle_heartbeat(late, 42, is_leaving=False)
        assert node.heartbeats.service == SERVICE


def test_server_that_confirms_itself_is_registered_at_once() -> None:
    """A restarted node doesn't wait for a second heartbeat."""
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node), _answer_health(node, present):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        assert _list_serving(mesh) == ["n0/orderdesk"]


def test_leave_during_the_health_check_is_kept() -> None:
    """The answer may be older than the server's last message."""
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node):

        def check(
            announcement: local_servers.Announcement,
        ) -> server_confirmation.Health:
            assert announcement == HEARTBEAT
            node.heartbeats.handle_deregistration("i-1", BORN_MS)
            return present

        with mock.patch.object(node.heartbeats, "_check_health", check):
            node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        assert not _list_serving(mesh)


def test_late_first_heartbeat_does_not_restore_a_leaving_server() -> None:
    """A server that had said farewell was registered against its own answer.

    Its first heartbeat arrived last, after a restart of the node.
    """
    leaving = server_confirmation.Health(instance="i-1", is_serving=False)
    for health in (leaving, None):
        with _run_node() as (mesh, node), _answer_health(node, health):
            node.heartbeats.handle_heartbeat(HEARTBEAT, 1, is_leaving=False)
            assert not _list_serving(mesh)
            assert not node.heartbeats.service


def test_heartbeat_sent_since_the_node_started_needs_no_health() -> None:
    """A server whose health check is false was never used."""
    stamp = heartbeat_order.HeartbeatStamp(
        instance="i-1", born_ms=BORN_MS, sequence=43
    )
    failing = server_confirmation.Health(instance="i-1", is_serving=False)
    other = server_confirmation.Health(instance="i-2", is_serving=False)
    longest_s = server_confirmation.MAX_DELAY_S
    # Heartbeats may arrive seconds late.
    assert longest_s >= 7.0
    for health in (failing, None):
        for age_s in (0.0, 2.5, longest_s):
            assert not server_confirmation.confirms(
                stamp, health, node_age_s=age_s
            )
        assert server_confirmation.confirms(
            stamp, health, node_age_s=longest_s + 0.1
        )
    assert not server_confirmation.confirms(
        stamp, other, node_age_s=longest_s + 0.1
    )


def test_late_heartbeat_after_the_farewell_restores_no_server() -> None:
    """A farewell that came before any heartbeat left no trace."""
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node), _answer_health(node, present):
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        assert not _list_serving(mesh)


def test_farewell_of_an_earlier_server_does_not_hide_a_later_one() -> None:
    """A health answer brought back a server that had announced its leave."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=True)
        node.heartbeats.handle_deregistration("i-0", BORN_MS - 5000)
        assert not node.heartbeats.add_discovered(DISCOVERED)
        assert not _list_serving(mesh)


def test_drained_server_that_seems_to_crash_stays_drained() -> None:
    """A probe that reached it again restored a server that was leaving."""
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node), _answer_health(node, present):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        node.heartbeats.handle_heartbeat(HEARTBEAT, 41, is_leaving=True)
        node._owner._owned["n0/orderdesk"].mark_crashed()
        node._servers.record_probe_success(SERVICE)
        assert not _list_serving(mesh)
        restarted = dataclasses.replace(HEARTBEAT, born_ms=BORN_MS + 5000)
        node.heartbeats.handle_heartbeat(restarted, 1, is_leaving=False)
        assert _list_serving(mesh) == ["n0/orderdesk"]


def test_server_is_known_at_once_when_its_health_is() -> None:
    """A new server waited for its next heartbeat."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 1, is_leaving=False)
        assert not _list_serving(mesh)
        assert not node.heartbeats.confirm("i-2")
        assert node.heartbeats.confirm("i-1")
        assert _list_serving(mesh) == ["n0/orderdesk"]


def test_health_does_not_confirm_a_server_that_has_left() -> None:
    """The answer may be older than the server's last message."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 1, is_leaving=False)
        node.heartbeats.handle_heartbeat(HEARTBEAT, 2, is_leaving=True)
        assert not node.heartbeats.confirm("i-1")
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        assert not node.heartbeats.confirm("i-1")
        assert not _list_serving(mesh)


def test_discovered_server_is_the_one_that_sends_heartbeats() -> None:
    """Its first heartbeat changes nothing, and it can announce its leaving."""
    with _run_node() as (mesh, node):
        assert node.heartbeats.add_discovered(DISCOVERED)
        before = mesh.control.snapshot.servers
        assert before[0].is_warm
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=False)
        assert mesh.control.snapshot.servers == before
        node.heartbeats.handle_heartbeat(HEARTBEAT, 41, is_leaving=True)
        assert not _list_serving(mesh)


def test_server_that_left_meanwhile_is_not_discovered() -> None:
    """A health answer may be older than the server's last message."""
    with _run_node() as (mesh, node):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 40, is_leaving=True)
        assert not node.heartbeats.add_discovered(DISCOVERED)
        assert not _list_serving(mesh)
        node.heartbeats.handle_deregistration("i-1", 0)
        assert not node.heartbeats.add_discovered(DISCOVERED)


def test_deregistration_withdraws_a_discovered_server() -> None:
    """A server that sent no heartbeat to this process may deregister."""
    with _run_node() as (mesh, node):
        assert node.heartbeats.add_discovered(DISCOVERED)
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        assert not mesh.control.snapshot.servers


def test_address_that_serves_another_service_ends_the_first() -> None:
    """A server is withdrawn once another service's heartbeat replaces it."""
    other = dataclasses.replace(
        HEARTBEAT, service="artwork", instance="i-2", born_ms=BORN_MS + 5000
    )
    present = server_confirmation.Health(instance="i-1", is_serving=True)
    with _run_node() as (mesh, node), _answer_health(node, present):
        node.heartbeats.handle_heartbeat(HEARTBEAT, 1, is_leaving=False)
        node.heartbeats.handle_heartbeat(other, 1, is_leaving=False)
        assert _list_serving(mesh) == ["n0/artwork"]
        assert node.heartbeats.service == "artwork"
        node.heartbeats.handle_heartbeat(HEARTBEAT, 2, is_leaving=False)
        node.heartbeats.handle_deregistration("i-1", BORN_MS)
        assert _list_serving(mesh) == ["n0/artwork"]


load_tests = fixtures.collect(__name__)
