"""Tests of the loop of an HTTP server."""

from typing import Any
from unittest import mock

from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from tests import fixtures
from tests import nodes

IDLE = 60
REQUESTS = 50


def _answer(environ: dict[str, Any], start_response: Any) -> list[bytes]:
    del environ
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def _open() -> server_lib.HttpServer:
    return server_lib.HttpServer(
        application=_answer,
        dispatcher=thread_pools.PoolDispatcher(
            threads={thread_pools.PoolKind.CALLER: 4},
            classify=lambda _: thread_pools.PoolKind.CALLER,
        ),
        options=server_lib.ServerOptions(
            address=nodes.ANY, max_body_bytes=1000
        ),
    )


def test_idle_connections_are_not_asked_at_each_request() -> None:
    """The cost of a request does not grow with the connections held."""
    asked = [0]
    kept = server_lib._Channel.readable

    def count(channel: server_lib._Channel) -> bool:
        asked[0] += 1
        return kept(channel)

    with _open() as server:
        idle = [nodes.open_request(server.address) for _ in range(IDLE)]
        for sock in idle:
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
        with mock.patch.object(server_lib._Channel, "readable", count):
            for _ in range(REQUESTS):
                assert nodes.send(server.address).status == 200
        for sock in idle:
            sock.close()
    # Sweeps once a second are all that idle connections cost.
    assert asked[0] < IDLE * REQUESTS / 4, asked


def test_numbers_of_closed_connections_are_used_again() -> None:
    """A connection is served although its number was another's before."""
    with _open() as server:
        for _ in range(REQUESTS):
            sock = nodes.open_request(server.address)
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
            sock.close()
            assert nodes.send(server.address).status == 200


load_tests = fixtures.collect(__name__)
