"""HTTP server based on waitress that finishes its requests when it stops."""

from collections.abc import Callable
import dataclasses
import functools
import socket
import threading
import time
from typing import Any, Self

from waitress import channel
from waitress import server
from waitress import wasyncore

from lovagesaddle.core import errors
from lovagesaddle.core.model import services
from lovagesaddle.http import event_loop
from lovagesaddle.http import parser
from lovagesaddle.http import sockets
from lovagesaddle.http import thread_pools
from lovagesaddle.observability import logs

CONNECTION_LIMIT = 4096
BACKLOG = 1024
IDLE_TIMEOUT_S = 30
CLEANUP_INTERVAL_S = 5
# waitress buffers larger request bodies in a temporary file.
SPOOL_BYTES = 512 * 1024
RECV_BYTES = 64 * 1024
LOOKAHEAD_REQUESTS = 1
STOP_POLL_S = 0.02
IDLE_LINGER_S = 0.3
JOIN_TIMEOUT_S = 5.0

_serving = threading.local()
_log = logs.get_logger("http")

Application = Callable[[dict[str, Any], Callable[..., Any]], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """A request without a complete answer.

    Attributes:
      path: Path of its target.
      headers: Its headers by name in lower case.
      open_s: Time since it was complete, in seconds.
    """

    path: str
    headers: dict[str, str]
    open_s: float


class _Channel(channel.HTTPChannel):  # type: ignore[misc]
    parser_class = parser.StrictParser
    task_class = parser.ClosingTask
    error_task_class = parser.OutcomeErrorTask

    # Whether the requester is connected; waitress runs a queued request only
    # while this is True.
    connected: bool

    # Whether the loop, when it last updated this connection, did not wait for
    # input from it.
    ignores_input = False
    # Whether a task's thread is writing to the socket.
    is_writing = False

    def add_channel(self, map: Any = None) -> None:  # noqa: A002
        """Registers the connection with the server, on the loop's thread."""
        super().add_channel(map)
        self.server.loop.mark_changed(self._fileno)

    def check_client_disconnected(self) -> bool:
        """Returns whether the requester has disconnected.

        While requests are queued behind the running one, the loop does not
        read from this connection and can't detect its end.
        """
        if self.connected and self.ignores_input:
            return sockets.is_closed_by_peer(self.socket)
        return not self.connected

    @property
    def needs_loop(self) -> bool:
        """Whether the loop has to update this connection at once."""
        return bool(
            self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
            or self.ignores_input
        )

    def readable(self) -> bool:
        """Returns whether the loop has to wait for input.

        Unlike waitress's method, it stays true while an answer is written, so
        that the loop need not be woken after each answer.
        """
        self.ignores_input = bool(
            self.will_close
            or self.close_when_flushed
            or len(self.requests) > self.adj.channel_request_lookahead
        )
        return not self.ignores_input

    def writable(self) -> bool:
        """Returns whether the loop has to write.

        While a task writes its answer it holds the lock. The loop would then
        spin on the lock, since the socket stays writable.
        """
        if self.will_close or self.close_when_flushed:
            return True
        waits = self.total_outbufs_len > self.adj.outbuf_high_watermark
        return bool(self.total_outbufs_len) and (waits or not self.is_writing)

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Sends a part of an answer; returns how many bytes were sent.

        The loop may close the connection of a requester that has left while a
        task writes its answer; waitress does not expect that.
        """
        try:
            return int(super().send(data, do_close))
        except AttributeError:
            if self.socket is not None:
                raise
            if logs.allows_request_line(failed=True):
                _log.info("answer_dropped", unsent_bytes=len(data))
            return 0

    def write_soon(self, data: Any) -> int:
        """Writes a part of an answer on the task's thread."""
        self.is_writing = True
        try:
            written: int = super().write_soon(data)
        finally:
            self.is_writing = False
        if self.total_outbufs_len:
            # The send buffer was full, so the loop has to write the rest of
            # the data.
            self.server.pull_trigger()
        return written

    def service(self) -> None:
        """Runs one request on the current thread.

        The requester may have disconnected while the request was queued; on a
        hop, the end of the connection may directly follow the last byte. The
        loop would read it only in its next iteration, so it is checked here.
        """
        _serving.channel = self
        if self.connected and sockets.is_closed_by_peer(self.socket):
            self.connected = False
        try:
            super().service()
        finally:
            _serving.channel = None

    @property
    def idle(self) -> bool:
        """Whether no request is being read, run or answered."""
        return not (self.requests or self.request or self.total_outbufs_len)

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes have arrived that the loop has not read.

        After a pause of the process, a connection may seem idle for long
        although a request has arrived.
        """
        return not sockets.has_no_input(self.socket)


class _Server(server.TcpWSGIServer):  # type: ignore[misc]
    channel_class = _Channel
    stopping = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.loop = event_loop.EventLoop(self._map)
        # Reentrant: work that the loop runs while it holds this lock may call
        # `wake`, which takes the lock again.
        self.trigger.lock = threading.RLock()

    def run(self) -> None:
        """Runs the loop until every socket is closed."""
        self.loop.run()

    def pull_trigger(self) -> None:
        """Wakes the loop, unless the current answer needs nothing from it."""
        served = getattr(_serving, "channel", None)
        if served is None:
            self.loop.mark_all_changed()
            self.wake()
        elif served.needs_loop:
            self.loop.mark_changed(served._fileno)
            self.wake()

    def wake(self, work: Callable[[], None] | None = None) -> bool:
        """Wakes the loop from any thread, and runs `work` on the loop's thread.

        Returns:
          False when the loop and its descriptors are closed. Nothing is written
          then, since their numbers may have been reused.
        """
        # The loop also holds this lock while it runs work, such as closing
        # itself, so it cannot close between the check and the write below.
        with self.trigger.lock:
            if self.trigger._closed:
                return False
            if work is not None:
                self.trigger.thunks.append(work)
            self.trigger._physical_pull()
        return True

    def stop_listening(self) -> None:
        """Accepts pending connections, then closes the listener."""
        self.stopping = True
        before = -1
        while before != len(self.active_channels):
            before = len(self.active_channels)
            self.handle_accept()
        self.accepting = False
        self.loop.mark_all_changed()
        wasyncore.dispatcher.close(self)

    def close_idle(self, idle_since: float) -> None:
        """Closes connections without a request since `idle_since`."""
        for connection in tuple(self.active_channels.values()):
            if (
                connection.idle
                and connection.last_activity < idle_since
                and not connection.has_unread_input
            ):
                connection.will_close = True
        self.loop.mark_all_changed()

    def maintenance(self, now: float) -> None:
        """Closes connections that were idle or sent no whole request for long.

        Unlike waitress's method, it leaves one whose input is not read yet.
        """
        overdue_since = now - self.adj.channel_timeout
        for connection in tuple(self.active_channels.values()):
            if (
                not connection.requests
                and connection.last_activity < overdue_since
                and not connection.has_unread_input
            ):
                connection.will_close = True

    def list_open_requests(self) -> tuple[OpenRequest, ...]:
        """Returns the requests that have arrived and have no whole answer."""
        now = time.monotonic()
        return tuple(
            OpenRequest(
                path=request.path,
                headers={
                    name.replace("_", "-").lower(): value
                    for name, value in request.headers.items()
                },
                open_s=now - request.arrived_at,
            )
            for connection in tuple(self.active_channels.values())
            for request in tuple(connection.requests)
            if hasattr(request, "arrived_at")
        )

    def close_all(self) -> None:
        """Closes every connection, also those with open requests."""
        for connection in tuple(self.active_channels.values()):
            connection.will_close = True
        self.loop.mark_all_changed()


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
        on_cut: Callable[[OpenRequest], None] | None = None,
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
            idle_since = time.time() - IDLE_LINGER_S
            swept = threading.Event()
            sweep = functools.partial(self._server.close_idle, idle_since)
            self._run_on_loop(sweep, swept)
            swept.wait(STOP_POLL_S)
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

    def _listen(self) -> _Server:
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
        http_server: _Server = _Server(
            self._application,
            dispatcher=self._dispatcher,
            sockinfo=(sock.family, sock.type, sock.proto, sock.getsockname()),
            _sock=sock,
            bind_socket=False,
            **self._make_adjustments(),
        )
        return http_server

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
            "log_socket_errors": False,
            "clear_untrusted_proxy_headers": False,
        }
