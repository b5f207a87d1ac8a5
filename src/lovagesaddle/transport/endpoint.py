"""One process's ZeroMQ socket pair set: what it binds and what it connects.

Every message is one-way and names its sender; an answer is another message.
An endpoint belongs to one thread. Other threads hand it work through
`Endpoint.wake` and a queue of their own.
"""

import dataclasses
import enum
import types
from typing import Self

import zmq

from lovagesaddle.core import errors
from lovagesaddle.core.model import peers

ROUTER_HANDOVER = 1
LINGER_MS = 0
DISCONNECT_LINGER_MS = 200
SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
FRAME_COUNT = 3
MS_PER_S = 1000
WAKE_ADDRESS = "inproc://wake-{}"


class Channel(enum.Enum):
    """Which part of the receiving process a message is for."""

    CONSENSUS = 1
    DISTRIBUTION = 2
    OPERATOR = 3
    CLAIMS = 4


Peer = peers.Peer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message that arrived.

    Attributes:
      sender_id: Name that the sender gives itself.
      route: Connection to answer on with `Endpoint.answer`; empty when the
        message came over a connection of this process's own making.
      channel: Part it is for.
      data: Encoded message.
    """

    sender_id: str
    route: bytes
    channel: Channel
    data: bytes


class Endpoint:
    """Binds one address, connects to peers on demand, sends and receives.

    Args:
      context: ZeroMQ context of the process.
      own_id: Name put on every message.
      bind_address: `tcp://ip:port` (port `*` for any), or None for a process
        that only connects.
    """

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        own_id: str,
        bind_address: str | None = None,
    ) -> None:
        self._context = context
        self._own_id = own_id.encode()
        self._poller = zmq.Poller()
        self._router: zmq.Socket[bytes] | None = None
        self._links: dict[Peer, zmq.Socket[bytes]] = {}
        self._traffic_bytes = 0
        self._wake_in = context.socket(zmq.PULL)
        wake_address = WAKE_ADDRESS.format(id(self))
        self._wake_in.bind(wake_address)
        self._wake_out = context.socket(zmq.PUSH)
        self._wake_out.connect(wake_address)
        self._poller.register(self._wake_in, zmq.POLLIN)
        if bind_address is not None:
            self._router = self._bind(bind_address)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    @property
    def address(self) -> str:
        """The bound `tcp://ip:port`; empty for a process that only connects."""
        if self._router is None:
            return ""
        return self._router.getsockopt_string(zmq.LAST_ENDPOINT)

    @property
    def traffic_bytes(self) -> int:
        """Bytes of every frame sent and received; any thread may read it."""
        return self._traffic_bytes

    def send(self, peer: Peer, channel: Channel, data: bytes) -> bool:
        """Sends one message over this process's own connection to `peer`.

        Returns:
          False when the peer's queue is full and the message was dropped.
        """
        link = self._links.get(peer)
        if link is None:
            link = self._connect(peer)
        return self._send(link, [self._own_id, _encode(channel), data])

    def answer(self, route: bytes, channel: Channel, data: bytes) -> bool:
        """Sends one message back on the connection a message came over.

        Returns:
          False when that connection is gone or full.
        """
        if self._router is None:
            return False
        frames = [route, self._own_id, _encode(channel), data]
        return self._send(self._router, frames)

    def receive(self, timeout_s: float) -> tuple[Received, ...]:
        """Returns what arrived, after waiting `timeout_s` at most."""
        ready = dict(self._poller.poll(int(max(0.0, timeout_s) * MS_PER_S)))
        arrived: list[Received] = []
        for socket in ready:
            if socket is self._wake_in:
                _drain_wakes(self._wake_in)
            else:
                arrived.extend(self._read(socket))
        return tuple(arrived)

    def wake(self) -> None:
        """Ends a wait in `receive`; callers serialise it among threads."""
        try:
            self._wake_out.send(b"", zmq.NOBLOCK)
        except zmq.Again:
            return

    def disconnect(self, peer: Peer) -> None:
        """Closes the connection to `peer`, if there is one."""
        link = self._links.pop(peer, None)
        if link is not None:
            self._poller.unregister(link)
            link.close(DISCONNECT_LINGER_MS)

    def close(self) -> None:
        """Closes every socket; what was not sent yet is dropped."""
        for peer in tuple(self._links):
            self.disconnect(peer)
        for socket in (self._router, self._wake_in, self._wake_out):
            if socket is not None:
                socket.close(LINGER_MS)

    def _bind(self, address: str) -> zmq.Socket[bytes]:
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.ROUTER_HANDOVER, ROUTER_HANDOVER)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        _limit(router)
        try:
            router.bind(address)
        except zmq.ZMQError as error:
            router.close(LINGER_MS)
            raise errors.TransportError(
                step="bind", peer=address, cause=str(error)
            ) from error
        self._poller.register(router, zmq.POLLIN)
        return router

    def _connect(self, peer: Peer) -> zmq.Socket[bytes]:
        link = self._context.socket(zmq.DEALER)
        _limit(link)
        try:
            link.connect(peer.address)
        except zmq.ZMQError as error:
            link.close(LINGER_MS)
            raise errors.TransportError(
                step="connect", peer=peer.address, cause=str(error)
            ) from error
        self._links[peer] = link
        self._poller.register(link, zmq.POLLIN)
        return link

    def _send(self, socket: zmq.Socket[bytes], frames: list[bytes]) -> bool:
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            # Again: the queue is full; EHOSTUNREACH: the route is gone.
            return False
        self._traffic_bytes += sum(map(len, frames))
        return True

    def _read(self, socket: zmq.Socket[bytes]) -> list[Received]:
        arrived: list[Received] = []
        while True:
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return arrived
            self._traffic_bytes += sum(map(len, frames))
            route = frames.pop(0) if socket is self._router else b""
            received = _parse(route, frames)
            if received is not None:
                arrived.append(received)


def _limit(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.LINGER, LINGER_MS)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)


def _encode(channel: Channel) -> bytes:
    return bytes((channel.value,))


def _parse(route: bytes, frames: list[bytes]) -> Received | None:
    if len(frames) != FRAME_COUNT or len(frames[1]) != 1:
        return None
    try:
        return Received(
            sender_id=frames[0].decode(),
            route=route,
            channel=Channel(frames[1][0]),
            data=frames[2],
        )
    except ValueError:
        return None


def _drain_wakes(socket: zmq.Socket[bytes]) -> None:
    try:
        while True:
            socket.recv(zmq.NOBLOCK)
    except zmq.Again:
        return
