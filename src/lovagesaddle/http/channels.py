"""Connections of requesters at an HTTP server based on waitress."""

import collections
import dataclasses
import threading
import time
from typing import Any

from waitress import channel

from lovagesaddle.http import answer_budget
from lovagesaddle.http import parser
from lovagesaddle.http import sockets
from lovagesaddle.observability import logs

_serving = threading.local()
_log = logs.get_logger("http")


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


class Channel(channel.HTTPChannel):  # type: ignore[misc]
    """Connection of a requester, read by the loop and written by tasks."""

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

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._unsent: collections.deque[answer_budget.PassedAnswers] = (
            collections.deque()
        )
        # waitress sets it after other threads can find the connection.
        self.requests: list[parser.StrictParser] = []
        super().__init__(*args, **kwargs)

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
        with answer_budget.collect() as passed:
            try:
                super().service()
            finally:
                _serving.channel = None
                self._release_once_sent(passed)

    def handle_close(self) -> None:
        """Closes the connection and discards what is unsent."""
        super().handle_close()
        self._release_sent()

    def _flush_some(self, do_close: bool = True) -> bool:
        """Sends what the socket takes; returns whether that was anything."""
        has_sent = bool(super()._flush_some(do_close))
        if not self.total_outbufs_len:
            self._release_sent()
        return has_sent

    def _release_once_sent(self, passed: answer_budget.PassedAnswers) -> None:
        """Releases the memory of an answer when the requester has it."""
        if not passed:
            return
        self._unsent.append(passed)
        # The loop may have sent the rest meanwhile.
        if not self.total_outbufs_len:
            self._release_sent()

    def _release_sent(self) -> None:
        while True:
            try:
                passed = self._unsent.popleft()
            except IndexError:
                return
            passed.release()

    def cut(self) -> None:
        """Resets the connection, so that no answer on it seems whole.

        May be called from any thread; what is unsent is discarded.
        """
        sockets.reset_on_close(self.socket)
        # The loop would wait for space in a send buffer that nobody empties.
        self.server.wake(self.handle_close)

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

    def list_open_requests(self) -> tuple[OpenRequest, ...]:
        """Returns the dispatched requests that have no whole answer."""
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
            for request in tuple(self.requests)
            if request.arrived_at
        )


def get_served() -> Channel | None:
    """Returns the connection whose request this thread runs, if any."""
    served: Channel | None = getattr(_serving, "channel", None)
    return served
