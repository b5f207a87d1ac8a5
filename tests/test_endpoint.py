"""Tests of the ZeroMQ endpoint on loopback."""

import zmq

from lovagesaddle.transport import endpoint
from tests import fixtures

ANY_PORT = "tcp://127.0.0.1:*"
WAIT_S = 5.0


def test_message_and_answer_cross() -> None:
    """A message reaches its peer and the answer returns on its connection."""
    with (
        zmq.Context() as context,
        endpoint.Endpoint(
            context=context, own_id="r1", bind_address=ANY_PORT
        ) as server,
        endpoint.Endpoint(context=context, own_id="cli") as client,
    ):
        peer = endpoint.Peer(peer_id="r1", address=server.address)
        assert client.send(peer, endpoint.Channel.OPERATOR, b"ask")
        (asked,) = server.receive(WAIT_S)
        assert (asked.sender_id, asked.data) == ("cli", b"ask")
        assert server.answer(asked.route, asked.channel, b"told")
        (told,) = client.receive(WAIT_S)
        assert (told.sender_id, told.data) == ("r1", b"told")
        # Sender ID, channel and data each way; the router's also the route.
        assert client.traffic_bytes == len("cli") + 1 + len("ask") + len(
            "r1"
        ) + 1 + len("told")
        assert server.traffic_bytes > client.traffic_bytes


def test_wake_ends_a_wait() -> None:
    """A wake from another thread makes receive return with nothing."""
    with (
        zmq.Context() as context,
        endpoint.Endpoint(context=context, own_id="n1") as waiting,
    ):
        waiting.wake()
        assert waiting.receive(WAIT_S) == ()


load_tests = fixtures.collect(__name__)
