"""Exchanges messages with other processes over ZeroMQ sockets.

Every message is one-way and names its sender; an answer is another message.
An endpoint belongs to one thread. Other threads pass work to that thread by
a queue of their own and then call `Endpoint.wake`.
"""

import math
from typing import Self

import zmq

from lovagesaddle.core import errors
from lovagesaddle.core.model import peers
from lovagesaddle.transport import authentication
from lovagesaddle.transport import frames as frames_lib
from lovagesaddle.transport import keys as keys_lib
from lovagesaddle.transport import log_lines
from lovagesaddle.transport import socket_options
from lovagesaddle.transport import traffic as traffic_lib

ROUTER_HANDOVER = 1
LINGER_MS = 0
DISCONNECT_LINGER_MS = 200
SUFFIX_SEPARATOR = "/"
MS_PER_S = 1000
WAKE_ADDRESS = "inproc://wake-{}"


Channel = frames_lib.Channel
Received = frames_lib.Received
Peer = peers.Peer


class Endpoint:
    """Binds one address, connects to peers on demand, sends and receives.

    Args:
      context: ZeroMQ context of the process.
      own_id: Sender ID of every message. A suffix after `/` distinguishes
        processes that share a key.
      bind_address: `tcp://ip:port` (port `*` for any free one), or None for a
        process that only connects.
      keys: Keys for encrypted links, or None for unencrypted ones. With keys,
        no other endpoint may use the context.
    """

    def __init__(
        self,
        *,
        context: zmq.Context[zmq.Socket[bytes]],
        own_id: str,
        bind_address: str | None = None,
        keys: keys_lib.LinkKeys | None = None,
    ) -> None:
        self._keys = keys
        self._authenticator: authentication.Authenticator | None = None
        self._context = context
        self._own_id = own_id.encode()
        self._poller = zmq.Poller()
        self._router: zmq.Socket[bytes] | None = None
        self._links: dict[Peer, zmq.Socket[bytes]] = {}
        self._peers: dict[zmq.Socket[bytes], Peer] = {}
        self._traffic = traffic_lib.Traffic(encrypted=keys is not None)
        self._wake_in = context.socket(zmq.PULL)
        wake_address = WAKE_ADDRESS.format(id(self))
        self._wake_in.bind(wake_address)
        self._wake_out = context.socket(zmq.PUSH)
        self._wake_out.connect(wake_address)
        self._poller.register(self._wake_in, zmq.POLLIN)
        if keys is not None:
            self._authenticator = authentication.Authenticator(
                context, keys.allowed
            )
            self._poller.register(self._authenticator.socket, zmq.POLLIN)
        if bind_address is not None:
            self._router = self._bind(bind_address)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def address(self) -> str:
        """The bound `tcp://ip:port`; empty for a process that only connects."""
        if self._router is None:
            return ""
        return self._router.getsockopt_string(zmq.LAST_ENDPOINT)

    @property
    def traffic_bytes(self) -> int:
        """Bytes of all frames sent and received; any thread may read it."""
        return self._traffic.total

    @property
    def traffic(self) -> traffic_lib.Traffic:
        """Counters of the frames, by kind."""
        return self._traffic

    def send(self, peer: Peer, channel: Channel, data: bytes) -> bool:
        """Sends one message over this process's own connection to `peer`.

        Returns:
          False when the peer's queue is full and the message was dropped.
        """
        link = self._links.get(peer)
        if link is None:
            link = self._connect(peer)
        return self._send(link, [], channel, data)

    def answer(self, route: bytes, channel: Channel, data: bytes) -> bool:
        """Sends one message on the connection of a received message.

        Returns:
          False when that connection is closed or its queue is full, and the
          message was dropped.
        """
        if self._router is None:
            return False
        return self._send(self._router, [route], channel, data)

    def receive(self, timeout_s: float) -> tuple[Received, ...]:
        """Returns the received messages, after waiting `timeout_s` at most."""
        # Rounded up: rounding down would poll in a busy loop during the last
        # millisecond.
        wait_ms = math.ceil(max(0.0, timeout_s) * MS_PER_S)
        ready = dict(self._poller.poll(wait_ms))
        received_messages: list[Received] = []
        for socket in ready:
            if socket is self._wake_in:
                _discard_wakes(self._wake_in)
            elif self._authenticator and socket is self._authenticator.socket:
                self._authenticator.answer()
            else:
                received_messages.extend(self._read(socket))
        return tuple(received_messages)

    def wake(self) -> None:
        """Ends a wait in `receive`. Callers must serialize concurrent calls."""
        try:
            self._wake_out.send(b"", zmq.NOBLOCK)
        except zmq.Again:
            return

    def disconnect(self, peer: Peer) -> None:
        """Closes the connection to `peer`, if there is one."""
        link = self._links.pop(peer, None)
        if link is not None:
            self._poller.unregister(link)
            del self._peers[link]
            link.close(DISCONNECT_LINGER_MS)

    def close(self) -> None:
        """Closes every socket and drops messages that were not sent yet.

        Connections opened here may still send for `DISCONNECT_LINGER_MS`.
        """
        for peer in tuple(self._links):
            self.disconnect(peer)
        for socket in (self._router, self._wake_in, self._wake_out):
            if socket is not None:
                socket.close(LINGER_MS)
        if self._authenticator is not None:
            self._authenticator.socket.close(LINGER_MS)

    def _bind(self, address: str) -> zmq.Socket[bytes]:
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.ROUTER_HANDOVER, ROUTER_HANDOVER)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket_options.apply(router)
        if self._keys is not None:
            router.curve_server = True
            router.curve_secretkey = self._keys.pair.secret.encode()
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
        socket_options.apply(link)
        try:
            self._set_curve_keys(link, peer)
            link.connect(peer.address)
        except zmq.ZMQError as error:
            link.close(LINGER_MS)
            raise errors.TransportError(
                step="connect", peer=peer.address, cause=str(error)
            ) from error
        self._links[peer] = link
        self._peers[link] = peer
        self._poller.register(link, zmq.POLLIN)
        return link

    def _set_curve_keys(self, link: zmq.Socket[bytes], peer: Peer) -> None:
        if self._keys is None:
            return
        if not peer.public_key:
            raise errors.TransportError(
                step="connect",
                peer=peer.address,
                cause="its public key is unknown",
            )
        link.curve_serverkey = peer.public_key.encode()
        link.curve_publickey = self._keys.pair.public.encode()
        link.curve_secretkey = self._keys.pair.secret.encode()

    def _send(
        self,
        socket: zmq.Socket[bytes],
        route: list[bytes],
        channel: Channel,
        data: bytes,
    ) -> bool:
        frame = frames_lib.encode(self._own_id, channel, data)
        try:
            socket.send_multipart([*route, frame], zmq.NOBLOCK)
        except zmq.ZMQError:
            # EAGAIN: the queue is full. EHOSTUNREACH: the route is closed.
            return False
        self._traffic.count(
            traffic_lib.Direction.SENT, channel.value, data, len(frame)
        )
        return True

    def _read(self, socket: zmq.Socket[bytes]) -> list[Received]:
        received_messages: list[Received] = []
        while True:
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return received_messages
            route = frames.pop(0).bytes if socket is self._router else b""
            if len(frames) != 1:
                continue
            received = frames_lib.parse(route, frames[0].bytes)
            if received is None:
                continue
            size = len(frames[0].bytes)
            self._traffic.count(
                traffic_lib.Direction.RECEIVED,
                received.channel.value,
                received.data,
                size,
            )
            authenticated_id = self._find_authenticated_id(socket, frames[0])
            if authenticated_id in (
                None,
                received.sender_id.split(SUFFIX_SEPARATOR)[0],
            ):
                received_messages.append(received)
            else:
                self._log_refused(received, authenticated_id)

    def _find_authenticated_id(
        self, socket: zmq.Socket[bytes], frame: zmq.Frame
    ) -> str | None:
        """Returns the ID that the link's key authenticates; None if plain."""
        if self._keys is None:
            return None
        if socket is self._router:
            return str(frame.get("User-Id"))
        return self._peers[socket].peer_id

    def _log_refused(
        self, received: Received, authenticated_id: str | None
    ) -> None:
        log_lines.write_error(
            errors.TransportError(
                step="receive",
                peer=authenticated_id or "",
                cause=f"key does not match sender {received.sender_id}",
            )
        )


def _discard_wakes(socket: zmq.Socket[bytes]) -> None:
    try:
        while True:
            socket.recv(zmq.NOBLOCK)
    except zmq.Again:
        return
