"""A fake backend server whose answers never end."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import socket
import threading
from typing import Any, Self
from unittest import mock

from lovagesaddle.http import sockets
from tests import nodes

# More than any limit that is tested. After that the server sends nothing more
# and keeps the connection open, so that a reader without a limit does not fill
# the memory of the machine.
MAX_BYTES = 80 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Limits the kernel's buffers, so that they don't hide how much was read.
SEND_BUFFER_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Script:
    """Describes what is sent on one connection after its first request.

    Attributes:
      first: Bytes that are sent once.
      repeated: Bytes that are sent repeatedly; empty to send nothing more.
      gap_s: Pause between two repetitions, in seconds; 0 to send many
        repetitions in one write.
      max_bytes: Number of repeated bytes after which nothing more is sent.
      closes: Whether the connection is then closed instead of kept open.
      resets: Whether that close is a reset.
      waits: Whether the repeated bytes are sent after a second request.
    """

    first: bytes
    repeated: bytes = b""
    gap_s: float = 0.0
    max_bytes: int = MAX_BYTES
    closes: bool = False
    resets: bool = False
    waits: bool = False


class EndlessServer:
    """Sends a script on each connection; a context manager.

    Args:
      scripts: Scripts of the connections, in the order of their first requests;
        the last one is used for all further connections.

    Attributes:
      requests: Heads of the first requests on the connections.
      closed: Indexes of the requests whose connection the client closed.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = scripts
        self.requests: list[bytes] = []
        self.closed: list[int] = []
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._open: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )

    def __enter__(self) -> Self:
        self._start(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for sock in (self._listener, *self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in tuple(self._threads):
            thread.join(nodes.WAIT_S)
        self._listener.close()

    @property
    def address(self) -> str:
        """`ip:port` at which it listens."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def _start(self, work: Callable[..., None], *args: Any) -> None:
        thread = threading.Thread(target=work, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                # The listener was closed at the end of the test.
                return
            self._open.append(accepted)
            self._start(self._serve, accepted)

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                received = accepted.recv(PIECE_BYTES)
                if not received:
                    # A probe connects and sends nothing.
                    return
                head += received
            with self._lock:
                number = len(self.requests)
                self.requests.append(head)
            script = self._scripts[min(number, len(self._scripts) - 1)]
            with contextlib.suppress(OSError):
                self._send(accepted, script)
                if script.resets:
                    sockets.reset_on_close(accepted)
                while not script.closes and accepted.recv(PIECE_BYTES):
                    continue
            if not self._stopped.is_set():
                self.closed.append(number)

    def _send(self, accepted: socket.socket, script: Script) -> None:
        accepted.sendall(script.first)
        if script.waits and not accepted.recv(PIECE_BYTES):
            return
        if not script.repeated:
            return
        count = 1 if script.gap_s else PIECE_BYTES // len(script.repeated)
        piece = script.repeated * max(1, count)
        sent = 0
        while sent < script.max_bytes:
            accepted.sendall(piece)
            sent += len(piece)
            if script.gap_s and self._stopped.wait(script.gap_s):
                return


class ReadCount:
    """Counts the bytes read with `recv_into` of any socket."""

    def __init__(self) -> None:
        self.value = 0


@contextlib.contextmanager
def count_reads() -> Iterator[ReadCount]:
    """Counts the bytes that clients of this process read in the context."""
    counted = ReadCount()
    read = socket.socket.recv_into

    def recv_into(sock: socket.socket, *args: Any, **kwargs: Any) -> int:
        received = read(sock, *args, **kwargs)
        counted.value += received
        return received

    with mock.patch.object(socket.socket, "recv_into", recv_into):
        yield counted
