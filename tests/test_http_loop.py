"""Tests of the event loop of the HTTP server."""

from typing import Any
from unittest import mock

from lovagesaddle.http import channels
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
    """The cost of a request does not grow with the idle connections."""
    calls = [0]
    readable = channels.Channel.readable

    def count(channel: channels.Channel) -> bool:
        calls[0] += 1
        return readable(channel)

    with _open() as server:
        idle = [nodes.open_request(server.address) for _ in range(IDLE)]
        for sock in idle:
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
        with mock.patch.object(channels.Channel, "readable", count):
            for _ in range(REQUESTS):
                assert nodes.send(server.address).status == 200
        for sock in idle:
            sock.close()
    # Idle connections are only updated once a second.
    assert calls[0] < IDLE * REQUESTS / 4, calls


def test_numbers_of_closed_connections_are_used_again() -> None:
    """A connection is served although its descriptor number was reused."""
    with _open() as server:
        for _ in range(REQUESTS):
            sock = nodes.open_request(server.address)
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
            sock.close()
            assert nodes.send(server.address).status == 200


load_tests = fixtures.collect(__name__)
