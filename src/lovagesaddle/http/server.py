"""HTTP server based on waitress that finishes its requests when it stops."""

from collections.abc import Callable
import dataclasses
import functools
import socket
import threading
import time
from typing import Any, Self

from lovagesaddle.core import errors
from lovagesaddle.core.model import services
from lovagesaddle.http import channels
from lovagesaddle.http import listener
from lovagesaddle.http import parser
from lovagesaddle.http import sockets
from lovagesaddle.http import thread_pools

CONNECTION_LIMIT = 4096
BACKLOG = 1024
IDLE_TIMEOUT_S = 30
CLEANUP_INTERVAL_S = 5
# waitress buffers larger request bodies in a temporary file.
SPOOL_BYTES = 512 * 1024
RECV_BYTES = 64 * 1024
# A task that writes an answer in parts waits while more than this is unsent.
UNSENT_BYTES = 256 * 1024
LOOKAHEAD_REQUESTS = 1
STOP_POLL_S = 0.02
IDLE_LINGER_S = 0.3
JOIN_TIMEOUT_S = 5.0

Application = Callable[[dict[str, Any], Callable[..., Any]], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerOptions:
    """Holds the options of a server's listener.

    Attributes:
      address: `ip:port`; port 0 lets the kernel choose one.
      max_body_bytes: Size limit of request bodies; larger ones are answered
        with 413.
    """

    address: str
    max_body_bytes: int


class HttpServer:
    """Serves a WSGI application on a thread of its own.

    Args:
      application: The WSGI application.
      dispatcher: Runs the requests.
      options: Options of the listener.
    """

    def __init__(
        self,
        *,
        application: Application,
        dispatcher: thread_pools.PoolDispatcher,
        options: ServerOptions,
    ) -> None:
        self._application = application
        self._dispatcher = dispatcher
        self._options = options
        self._server = self._listen()
        self._thread = threading.Thread(
            target=self._server.run, name="http", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop(grace_s=0.0)

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def set_limits(self, limits: services.CallerLimits) -> None:
        """Changes the limits on requesters for requests that arrive later."""
        adjustments = self._server.adj
        adjustments.max_request_header_size = limits.max_header_bytes + 1
        self.set_max_body(limits.max_body_bytes)
        adjustments.channel_timeout = limits.idle_timeout_s

    def set_max_body(self, max_body_bytes: int) -> None:
        """Changes the limit on bodies for requests that arrive later."""
        self._server.adj.max_request_body_size = max_body_bytes + 1

    def close_after_answers(self) -> None:
        """Adds `Connection: close` to every answer from now on."""
        self._server.stopping = True

    def count_busy(self) -> int:
        """Returns how many connections have a request or an unsent answer."""
        connections = tuple(self._server.active_channels.values())
        return sum(not each.idle for each in connections)

    def count_connections(self) -> int:
        """Returns how many connections are open, with or without a request."""
        return len(self._server.active_channels)

    def close_idle(self) -> None:
        """Closes connections that have been without a request for a moment."""
        idle_since = time.time() - IDLE_LINGER_S
        swept = threading.Event()
        sweep = functools.partial(self._server.close_idle, idle_since)
        self._run_on_loop(sweep, swept)
        swept.wait(STOP_POLL_S)

    def close_listener(self) -> None:
        """Closes the listener and adds `Connection: close` to answers."""
        if self._server.accepting:
            closed = threading.Event()
            self._run_on_loop(self._server.stop_listening, closed)
            closed.wait(JOIN_TIMEOUT_S)

    def stop(
        self,
        *,
        grace_s: float,
        on_cut: Callable[[channels.OpenRequest], None] | None = None,
    ) -> bool:
        """Stops once every request that has arrived is answered.

        Args:
          grace_s: Maximum wait in seconds; connections that are still open
            then are closed.
          on_cut: Called for each request that gets no whole answer.

        Returns:
          Whether all requests were answered.
        """
        self.close_listener()
        is_empty = self._wait_until_empty(grace_s)
        if not is_empty:
            for request in self._server.list_open_requests():
                if on_cut is not None:
                    on_cut(request)
            self._run_on_loop(self._server.close_all, threading.Event())
        self._dispatcher.shutdown()
        self._run_on_loop(self._server.trigger.close, threading.Event())
        self._thread.join(JOIN_TIMEOUT_S)
        return is_empty

    def _wait_until_empty(self, grace_s: float) -> bool:
        started = time.monotonic()
        while self._server.active_channels:
            if time.monotonic() - started >= grace_s:
                return False
            self.close_idle()
            time.sleep(STOP_POLL_S)
        return True

    def _run_on_loop(
        self, action: Callable[[], None], done: threading.Event
    ) -> None:
        """Runs `action` on the loop's thread."""

        def run() -> None:
            try:
                action()
            finally:
                done.set()

        if not self._server.wake(run):
            done.set()

    def _listen(self) -> listener.Listener:
        host, port = sockets.parse_address(self._options.address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError as error:
            sock.close()
            raise errors.TransportError(
                step="bind", peer=self._options.address, cause=str(error)
            ) from error
        opened: listener.Listener = listener.Listener(
            self._application,
            dispatcher=self._dispatcher,
            sockinfo=(sock.family, sock.type, sock.proto, sock.getsockname()),
            _sock=sock,
            bind_socket=False,
            **self._make_adjustments(),
        )
        return opened

    def _make_adjustments(self) -> dict[str, Any]:
        return {
            "ident": "",
            "backlog": BACKLOG,
            "connection_limit": CONNECTION_LIMIT,
            "channel_timeout": IDLE_TIMEOUT_S,
            "cleanup_interval": CLEANUP_INTERVAL_S,
            "channel_request_lookahead": LOOKAHEAD_REQUESTS,
            # waitress refuses headers and bodies of exactly its limit, which
            # are to be allowed here, hence the additional byte.
            "max_request_header_size": parser.MAX_HEADER_BYTES + 1,
            "max_request_body_size": self._options.max_body_bytes + 1,
            "inbuf_overflow": SPOOL_BYTES,
            "recv_bytes": RECV_BYTES,
            "outbuf_high_watermark": UNSENT_BYTES,
            "log_socket_errors": False,
            "clear_untrusted_proxy_headers": False,
        }
