"""Helpers for TCP sockets and their addresses."""

import collections
import contextlib
import random
import select
import socket
import struct

LOOPBACK = "127.0.0.1"
# Below the range of ephemeral ports: an outgoing connection sometimes took a
# port of that range after it was chosen and before it was bound.
FIRST_FREE_PORT = 15_000
LAST_FREE_PORT = 31_999
# Ports that were returned last; whoever asked may not listen on them yet.
_RECENT_PORTS: collections.deque[int] = collections.deque(maxlen=4096)
# The kernel's `struct linger`: enabled, with 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and port of `ip:port` or `[ip]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def has_no_input(sock: socket.socket | None) -> bool:
    """Returns whether an idle socket received neither bytes nor end-of-file."""
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP)
    return not poll.poll(0)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the peer closed, without reading buffered bytes."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except ValueError:
        # Another thread has closed the socket in the meantime.
        return True
    return bool(poll.poll(0))


def reset_on_close(sock: socket.socket | None) -> None:
    """Makes the close of a socket a reset, which discards unsent data."""
    if sock is None:
        return
    with contextlib.suppress(OSError):  # The peer closed it first.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def abort(sock: socket.socket) -> None:
    """Shuts a socket down in both directions and wakes threads waiting on it.

    Data that the kernel has not sent yet is discarded when the socket is
    closed.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer closed the connection first.
        return


def is_listening(address: str, timeout_s: float) -> bool:
    """Returns whether a server accepts connections at an address."""
    try:
        with socket.create_connection(parse_address(address), timeout_s):
            return True
    except OSError:
        return False


def find_free_ports(count: int) -> tuple[int, ...]:
    """Returns distinct loopback ports that nothing listens on now.

    A port isn't returned again soon, as its user may not listen on it yet.
    """
    chosen: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(chosen) < count:
            port = random.randint(FIRST_FREE_PORT, LAST_FREE_PORT)
            if port in _RECENT_PORTS:
                continue
            try:
                listener = socket.create_server((LOOPBACK, port))
            except OSError:
                # The port is in use.
                continue
            stack.enter_context(listener)
            chosen.append(port)
            _RECENT_PORTS.append(port)
    return tuple(chosen)
