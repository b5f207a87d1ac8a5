"""Tests of requests that reach a node shortly before its planned stop ends."""

from concurrent import futures
import socket
from unittest import mock

from bench import backend
from bench import stand_in

from lovagesaddle.core.model import snapshots
from lovagesaddle.http import server as server_lib
from lovagesaddle.node import program
from tests import fixtures
from tests import nodes
from tests import served_mesh

ERRORS = 5
DRAINING = snapshots.ServerState.DRAINING


def test_request_on_an_open_connection_is_answered_before_the_end() -> None:
    """A stop cut a request that came when no other was in progress."""
    with (
        served_mesh.run_mesh() as (_, started, server),
        futures.ThreadPoolExecutor() as pool,
    ):
        served_mesh.announce(started[1], server)
        stopped = pool.submit(started[0].shut_down)
        with _open_last_connection(started[0]) as caller:
            nodes.send_on(caller, Run_Ms="1500")
            assert caller.recv(65536).startswith(b"HTTP/1.1 200 OK")
        assert stopped.result()


def test_server_that_is_announced_during_a_stop_is_drained() -> None:
    """It got new requests from the other nodes until the end of the stop."""
    with (
        served_mesh.run_mesh() as (mesh, started, server),
        backend.Backend(stand_in.BackendOptions()) as late,
        futures.ThreadPoolExecutor() as pool,
    ):
        running = pool.submit(
            nodes.send, started[1].http_address, "POST", Run_Ms="4000"
        )
        nodes.wait_for(lambda: server.state.running, "the request to run")
        stopped = pool.submit(started[0].shut_down)
        nodes.wait_for(lambda: _list_states(mesh) == [DRAINING], "the drain")
        served_mesh.announce(started[0], late)
        assert _list_states(mesh) == [DRAINING]
        assert nodes.send(started[1].http_address).status == 503
        assert running.result().status == 200
        assert stopped.result()


def test_error_in_a_stop_cuts_no_request() -> None:
    """An unexpected error ended the stop, and every request with it."""
    count_busy = server_lib.HttpServer.count_busy
    errors = iter(range(ERRORS))

    def fail_at_first(server: server_lib.HttpServer) -> int:
        if next(errors, None) is not None:
            raise RuntimeError("a count went wrong")
        return count_busy(server)

    with (
        served_mesh.run_mesh() as (_, started, server),
        futures.ThreadPoolExecutor() as pool,
        mock.patch.object(server_lib.HttpServer, "count_busy", fail_at_first),
    ):
        running = pool.submit(
            nodes.send, started[0].http_address, "POST", Run_Ms="1000"
        )
        nodes.wait_for(lambda: server.state.running, "the request to run")
        assert started[0].shut_down()
        assert running.result().status == 200


def _list_states(mesh: nodes.Mesh) -> list[snapshots.ServerState]:
    return [server.state for server in mesh.control.snapshot.servers]


def _open_last_connection(node: program.NodeProgram) -> socket.socket:
    """Returns the last connection that a stopping node has accepted."""
    server = node._http
    last: socket.socket | None = None
    while (newest := _open(server)) is not None:
        if last is not None:
            last.close()
        last = newest
    assert last is not None
    return last


def _open(server: server_lib.HttpServer) -> socket.socket | None:
    """Returns a connection; None if the server no longer accepts any."""
    listener = server._server
    host, _, port = server.address.rpartition(":")
    try:
        opened = socket.create_connection((host, int(port)), nodes.WAIT_S)
    except ConnectionRefusedError:
        return None
    address = opened.getsockname()

    def is_accepted() -> bool:
        accepted = tuple(listener.active_channels.values())
        return any(each.addr == address for each in accepted)

    nodes.wait_for(
        lambda: is_accepted() or not listener.accepting, "the connection"
    )
    return opened if is_accepted() else None


load_tests = fixtures.collect(__name__)
