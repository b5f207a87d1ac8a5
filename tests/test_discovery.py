"""Tests of how a restarted node finds the server beside it."""

from collections.abc import Iterator
import contextlib
import http.server
import threading
from unittest import mock

from lovagesaddle.node import discovery
from lovagesaddle.platform import platform_headers
from tests import fixtures
from tests import nodes

SERVICE = "orderdesk"
WAIT_S = 10.0


class _Health(http.server.BaseHTTPRequestHandler):
    def do_GET(self) -> None:
        """Answers as a healthy server of four slots."""
        self.send_response(200)
        self.send_header(platform_headers.HEADERS.instance, "i-1")
        self.send_header(platform_headers.HEADERS.server_load, "0,0,4")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Prints nothing."""


@contextlib.contextmanager
def _run_server() -> Iterator[str]:
    with http.server.HTTPServer(("127.0.0.1", 0), _Health) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f"127.0.0.1:{server.server_address[1]}"
        finally:
            server.shutdown()
            thread.join()


def test_server_is_found_as_soon_as_its_health_path_is_known() -> None:
    """A node that joins again need not wait for the next turn.

    The turn is an hour long here.
    """
    paths = {SERVICE: ""}
    asked = threading.Event()

    def find(service: str) -> str:
        asked.set()
        return paths[service]

    with nodes.Mesh(nodes.make_service()) as mesh, _run_server() as address:
        node = mesh.start("n0", probe=False)
        with discovery.Discovery(
            beats=node.beats,
            service=SERVICE,
            address=address,
            names=platform_headers.HEADERS,
            find_health_path=find,
            ask_s=3600,
        ) as looking:
            looking.wake()
            assert asked.wait(WAIT_S)
            assert node.beats.lacks(SERVICE)
            paths[SERVICE] = "/health"
            looking.wake()
            nodes.wait_for(
                lambda: not node.beats.lacks(SERVICE), "the server to be found"
            )


def test_only_the_join_hurries_the_question() -> None:
    """A storm of configurations does not ask a server that is down."""
    with (
        nodes.Mesh(nodes.make_service()) as mesh,
        mock.patch.object(
            discovery.Discovery, "wake", autospec=True
        ) as hurried,
    ):
        first = mesh.start(
            "n0", probe=False, service=SERVICE, server_address="127.0.0.1:1"
        )
        nodes.wait_for(lambda: first.is_ready, "the node to join")
        for number in range(1, 4):
            mesh.start(f"n{number}", probe=False)
        assert hurried.call_count == 1


load_tests = fixtures.collect(__name__)
