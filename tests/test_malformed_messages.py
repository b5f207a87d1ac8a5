"""Tests of replicas that receive malformed or absurd messages."""

from collections.abc import Callable, Iterable
import random
import typing
from typing import Any

import hypothesis
from hypothesis import strategies
import zmq

from lovagesaddle.core.distribution import messages as distribution_messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import operator_messages
from lovagesaddle.transport import endpoint as endpoint_lib
from tests import control_cluster
from tests import fixtures

SEED = 1
DAMAGED = 300
MAX_BYTES = 200


class _Stranger:
    """Sends frames to every replica of a cluster.

    Args:
      cluster: The replicas.
      endpoint: Endpoint to send from.
    """

    def __init__(
        self,
        cluster: control_cluster.ControlCluster,
        endpoint: endpoint_lib.Endpoint,
    ) -> None:
        self._cluster = cluster
        self._endpoint = endpoint

    def send(self, channel: endpoint_lib.Channel, frame: bytes) -> None:
        """Sends a frame to each replica and drops what was answered."""
        for replica in self._cluster.replicas:
            peer = endpoint_lib.Peer(
                peer_id=replica.replica_id, address=replica.address
            )
            self._endpoint.send(peer, channel, frame)
        self._endpoint.receive(0.0)

    def check_replicas(self) -> None:
        """Fails unless all replicas run, answer and have one leader."""
        self._cluster.find_leader()
        assert not self._cluster.failures, self._cluster.failures


def _send_all(
    channel: endpoint_lib.Channel, message: strategies.SearchStrategy[bytes]
) -> None:
    with (
        control_cluster.ControlCluster() as cluster,
        zmq.Context() as context,
        endpoint_lib.Endpoint(context=context, own_id="stranger") as endpoint,
    ):
        stranger = _Stranger(cluster, endpoint)
        cluster.find_leader()

        @hypothesis.settings(
            derandomize=True, max_examples=200, deadline=None, database=None
        )
        @hypothesis.given(message)
        def send(frame: bytes) -> None:
            stranger.send(channel, frame)

        send()
        stranger.check_replicas()


def _build_frames(
    kinds: Iterable[type[Any]], encode: Callable[[Any], bytes]
) -> strategies.SearchStrategy[bytes]:
    """Returns frames of messages with arbitrary values of the right types."""

    def encode_frame(message: Any) -> bytes:
        try:
            return encode(message)
        except OverflowError:
            # No sender can encode a number of more than 64 bits.
            hypothesis.reject()

    messages = strategies.one_of(*map(strategies.from_type, kinds))
    return messages.map(encode_frame)


def test_absurd_messages_of_nodes_end_no_replica() -> None:
    """Messages of the right types with arbitrary values are survived."""
    _send_all(
        endpoint_lib.Channel.DISTRIBUTION,
        _build_frames(
            typing.get_args(distribution_messages.DistributionMessage),
            wire.encode,
        ),
    )


def test_absurd_messages_of_operators_end_no_replica() -> None:
    """Requests of the right types with arbitrary values are survived."""
    _send_all(
        endpoint_lib.Channel.OPERATOR,
        _build_frames(
            typing.get_args(operator_messages.OperatorMessage),
            operator_messages.OPERATOR_MESSAGES.encode,
        ),
    )


def test_damaged_frames_end_no_replica() -> None:
    """Bytes that are no message are survived on every channel."""
    source = random.Random(SEED)
    with (
        control_cluster.ControlCluster() as cluster,
        zmq.Context() as context,
        endpoint_lib.Endpoint(context=context, own_id="stranger") as endpoint,
    ):
        stranger = _Stranger(cluster, endpoint)
        cluster.find_leader()
        for _ in range(DAMAGED):
            for channel in endpoint_lib.Channel:
                size = source.randrange(MAX_BYTES)
                # The first byte often is the number of a kind.
                frame = bytes((source.randrange(20),)) + source.randbytes(size)
                stranger.send(channel, frame)
        stranger.check_replicas()


load_tests = fixtures.collect(__name__)
