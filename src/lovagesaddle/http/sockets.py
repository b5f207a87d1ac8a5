"""Small helpers on TCP sockets and their addresses."""

import contextlib
import random
import select
import socket
import struct

LOOPBACK = "127.0.0.1"
# Below the range that outgoing connections draw their own ports from. A port
# of that range was taken now and then between its choice and its use.
FIRST_FREE_PORT = 15_000
LAST_FREE_PORT = 31_999
# The kernel's `struct linger`: on, for 0 s.
_LINGER_NOT = struct.pack("ii", 1, 0)


def parse_address(address: str) -> tuple[str, int]:
    """Returns host and port of `ip:port` or `[ip]:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def has_no_input(sock: socket.socket | None) -> bool:
    """Returns whether nothing arrived on an idle socket, not even its end."""
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP)
    return not poll.poll(0)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the peer closed, read or not, without taking bytes."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except ValueError:
        # Another thread has closed the socket meanwhile.
        return True
    return bool(poll.poll(0))


def abort(sock: socket.socket) -> None:
    """Ends a socket in both directions, whoever waits on it.

    What the kernel has not sent yet is dropped when the socket is closed.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer closed the connection first.
        return


def is_listening(address: str, timeout_s: float) -> bool:
    """Returns whether something listens at an address."""
    try:
        with socket.create_connection(parse_address(address), timeout_s):
            return True
    except OSError:
        return False


def find_free_ports(count: int) -> tuple[int, ...]:
    """Returns different ports of loopback that nothing listens on now."""
    chosen: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(chosen) < count:
            port = random.randint(FIRST_FREE_PORT, LAST_FREE_PORT)
            try:
                server = socket.create_server((LOOPBACK, port))
            except OSError:
                # Something else listens there.
                continue
            stack.enter_context(server)
            chosen.append(port)
    return tuple(chosen)
