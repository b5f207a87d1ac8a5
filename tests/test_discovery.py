"""Tests of how a restarted node discovers the server on its VM."""

from collections.abc import Iterator
import contextlib
import http.server
import threading
from typing import ClassVar
from unittest import mock

from lovagesaddle.node import program
from lovagesaddle.node import server_discovery
from lovagesaddle.platform import platform_headers
from tests import fixtures
from tests import nodes

SERVICE = "orderdesk"
WAIT_S = 10.0


class _HealthHandler(http.server.BaseHTTPRequestHandler):
    loads: ClassVar[list[str]] = []

    def do_GET(self) -> None:
        """Answers as a healthy server of four slots."""
        self.send_response(200)
        self.send_header(platform_headers.HEADERS.instance, "i-1")
        load = self.loads.pop(0) if self.loads else "0,0,4"
        self.send_header(platform_headers.HEADERS.server_load, load)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Prints nothing."""


@contextlib.contextmanager
def _run_server() -> Iterator[str]:
    with http.server.HTTPServer(("127.0.0.1", 0), _HealthHandler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f"127.0.0.1:{server.server_address[1]}"
        finally:
            server.shutdown()
            thread.join()


def _discover(
    node: program.NodeProgram, address: str, service: str = SERVICE
) -> None:
    """Runs the discovery of a node's server until it is found.

    Args:
      node: The node.
      address: Address of the server.
      service: Service in the settings when the node started; it is `SERVICE`
        in the present ones.
    """
    with server_discovery.ServerDiscovery(
        heartbeats=node.heartbeats,
        service=service,
        read_service=lambda: SERVICE,
        address=address,
        names=platform_headers.HEADERS,
        find_health_path=lambda _: "/health",
        poll_interval_s=0.01,
    ):
        nodes.wait_for(
            lambda: not node.heartbeats.needs_discovery(),
            "the server to be found",
        )


def test_server_is_found_as_soon_as_its_health_path_is_known() -> None:
    """A node that joins again does not wait for the next poll.

    The poll interval is an hour in this test.
    """
    paths = {SERVICE: ""}
    requested = threading.Event()

    def find(service: str) -> str:
        requested.set()
        return paths[service]

    with nodes.Mesh(nodes.make_service()) as mesh, _run_server() as address:
        node = mesh.start("n0", probe=False)
        with server_discovery.ServerDiscovery(
            heartbeats=node.heartbeats,
            service=SERVICE,
            read_service=lambda: SERVICE,
            address=address,
            names=platform_headers.HEADERS,
            find_health_path=find,
            poll_interval_s=3600,
        ) as running:
            running.wake()
            assert requested.wait(WAIT_S)
            assert node.heartbeats.needs_discovery()
            paths[SERVICE] = "/health"
            running.wake()
            nodes.wait_for(
                lambda: not node.heartbeats.needs_discovery(),
                "the server to be found",
            )


def test_server_of_another_service_is_not_taken_for_the_own_one() -> None:
    """Requests of the former service ran at the server that took its address.

    The settings name the new service without any signal.
    """
    with nodes.Mesh(nodes.make_service()) as mesh, _run_server() as address:
        node = mesh.start("n0", probe=False)
        _discover(node, address, service="artwork")
        assert node.heartbeats.service == SERVICE
        assert [s.service for s in mesh.control.snapshot.servers] == [SERVICE]


def test_malformed_load_does_not_end_the_discovery() -> None:
    """A server whose answers become sound is found after malformed ones."""
    malformed = ["0,0,\u00b2", "0,0," + "9" * 5000, "0,0,0", "0,0,100001"]
    with (
        nodes.Mesh(nodes.make_service()) as mesh,
        mock.patch.object(_HealthHandler, "loads", malformed),
        _run_server() as address,
    ):
        node = mesh.start("n0", probe=False)
        _discover(node, address)
        (server,) = mesh.control.snapshot.servers
    assert server.slots == 4
    assert not malformed


def test_server_that_tells_its_slowdown_is_found() -> None:
    """A load of four figures was malformed, so the server wasn't found."""
    loads = ["1,0,5,250"]
    with (
        nodes.Mesh(nodes.make_service()) as mesh,
        mock.patch.object(_HealthHandler, "loads", loads),
        _run_server() as address,
    ):
        node = mesh.start("n0", probe=False)
        _discover(node, address)
        (server,) = mesh.control.snapshot.servers
    assert server.slots == 5


def test_only_the_join_wakes_the_discovery() -> None:
    """A burst of new configurations does not poll a server that is down."""
    with (
        nodes.Mesh(nodes.make_service()) as mesh,
        mock.patch.object(
            server_discovery.ServerDiscovery, "wake", autospec=True
        ) as wake,
    ):
        first = mesh.start(
            "n0", probe=False, service=SERVICE, server_address="127.0.0.1:1"
        )
        nodes.wait_for(lambda: first.is_ready, "the node to join")
        for number in range(1, 4):
            mesh.start(f"n{number}", probe=False)
        assert wake.call_count == 1


load_tests = fixtures.collect(__name__)
