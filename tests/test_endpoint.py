"""Tests of the ZeroMQ endpoint on loopback."""

from unittest import mock

import zmq

from lovagesaddle.core.distribution import registration
from lovagesaddle.transport import endpoint
from lovagesaddle.transport import socket_options
from tests import fixtures

ANY_PORT = "tcp://127.0.0.1:*"
WAIT_S = 5.0


def test_message_and_answer_cross() -> None:
    """A message reaches its peer, and its answer uses the same connection."""
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
        # ZMTP header, channel, length of the ID, ID and data, each way.
        head = 2 + 1 + 1
        asked_bytes = head + len("cli") + len("ask")
        told_bytes = head + len("r1") + len("told")
        assert client.traffic_bytes == asked_bytes + told_bytes
        assert server.traffic_bytes == client.traffic_bytes


def test_lost_link_is_tried_again_before_the_next_replica_is_asked() -> None:
    """Messages to a restarting replica arrive as soon as it is back.

    The reconnect interval is shorter than the time after which a node asks
    its next replica.
    """
    with zmq.Context() as context, context.socket(zmq.DEALER) as link:
        socket_options.apply(link)
        cap_s = int(link.getsockopt(zmq.RECONNECT_IVL_MAX)) / 1000
    assert 0 < cap_s < registration.FIRST_RETRY_S


def test_wake_ends_a_wait() -> None:
    """A wake makes `receive` return without messages."""
    with (
        zmq.Context() as context,
        endpoint.Endpoint(context=context, own_id="n1") as waiting,
    ):
        waiting.wake()
        assert waiting.receive(WAIT_S) == ()


def test_frames_are_counted_by_kind_on_both_ends() -> None:
    """Both ends of a link count the same frames by kind."""
    with (
        zmq.Context() as context,
        endpoint.Endpoint(
            context=context, own_id="r1", bind_address=ANY_PORT
        ) as server,
        endpoint.Endpoint(context=context, own_id="n1") as client,
    ):
        peer = endpoint.Peer(peer_id="r1", address=server.address)
        for data in (b"\x07beat", b"\x87packed", b"\x0b" + b"x" * 300):
            client.send(peer, endpoint.Channel.DISTRIBUTION, data)
        received_count = 0
        while received_count < 3:
            received_count += len(server.receive(WAIT_S))
        sent = client.traffic.list_counts()
        received = server.traffic.list_counts()
        assert [(c.kind, c.frames, c.size) for c in sent] == [
            (7, 2, (2 + 2 + 2 + 5) + (2 + 2 + 2 + 7)),
            (11, 1, 9 + 2 + 2 + 301),
        ]
        assert [(c.kind, c.frames, c.size) for c in received] == [
            (c.kind, c.frames, c.size) for c in sent
        ]
        assert client.traffic_bytes == sum(c.size for c in sent)


def test_a_short_wait_is_not_spent_polling() -> None:
    """A timeout below a millisecond is rounded up, so that `poll` blocks."""
    with (
        zmq.Context() as context,
        endpoint.Endpoint(context=context, own_id="n1") as waiting,
        mock.patch.object(zmq.Poller, "poll", return_value=[]) as poll,
    ):
        waiting.receive(0.0004)
        waiting.receive(0.0)
    assert [call.args[0] for call in poll.call_args_list] == [1, 0]


load_tests = fixtures.collect(__name__)
