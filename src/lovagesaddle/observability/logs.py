"""One key=value log line for each event, written off the calling thread.

`open_log` sets structlog up for the whole process. A logging call filters by
level, notes the time and puts the event on a queue; a thread of its own
renders and writes the lines. When the queue is full, lines are dropped and
their number is logged, so that a slow disk never delays a call.
"""

import datetime
import os
import queue
import sys
import threading
import time
import types
from typing import Any, Self, TextIO

import structlog

from lovagesaddle.core import errors
from lovagesaddle.settings import schema

QUEUE_LINES = 100_000
BATCH_LINES = 1_000
LINE_KEYS = ("ts", "level", "event")

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_STOP: dict[str, Any] = {}

Logger = structlog.typing.FilteringBoundLogger


def get_logger(part: str) -> Logger:
    """Returns a logger whose lines carry `part=`.

    Its methods take the event's name and its keys:
    `log.info("route_chosen", version=7, reason="own domain")`.
    """
    logger: Logger = structlog.get_logger(part=part)
    return logger


def open_log(settings: schema.LogSettings) -> "LogWriter":
    """Returns the process's log writer; use it as a context manager.

    Raises:
      errors.SettingsError: The log file can't be opened.
    """
    if not settings.file:
        return LogWriter(sys.stderr, level=settings.level, owned=False)
    try:
        stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
    except OSError as error:
        raise errors.SettingsError(
            step="open log", peer=settings.file, cause=str(error)
        ) from error
    return LogWriter(stream, level=settings.level, owned=True)


class LogWriter:
    """Owns the queue, the thread and the stream of the process's log.

    Args:
      stream: Where lines go.
      level: Lowest level that is written.
      owned: Whether closing the writer closes the stream.
    """

    def __init__(self, stream: TextIO, *, level: str, owned: bool) -> None:
        self._stream = stream
        self._level = _LEVELS[level]
        self._owned = owned
        self._queue: queue.Queue[dict[str, Any]] = queue.Queue(QUEUE_LINES)
        self._dropped = 0
        self._render = structlog.processors.LogfmtRenderer(
            key_order=LINE_KEYS, drop_missing=True
        )
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )

    def __enter__(self) -> Self:
        structlog.configure(
            processors=[_note_origin],
            wrapper_class=structlog.make_filtering_bound_logger(self._level),
            logger_factory=lambda *_: _QueueLogger(self),
            cache_logger_on_first_use=False,
        )
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def put(self, event: dict[str, Any]) -> None:
        """Takes one event; never blocks."""
        try:
            self._queue.put_nowait(event)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Writes what is queued, ends the thread and resets structlog."""
        structlog.configure(
            processors=[_note_origin],
            wrapper_class=structlog.make_filtering_bound_logger(self._level),
            logger_factory=lambda *_: _ClosedLogger(),
            cache_logger_on_first_use=False,
        )
        self._queue.put(_STOP)
        self._thread.join()
        if self._owned:
            self._stream.close()

    def _run(self) -> None:
        while True:
            batch = self._take_batch()
            stopping = any(event is _STOP for event in batch)
            lines = [self._format(e) for e in batch if e is not _STOP]
            lines.extend(self._report_dropped())
            self._write("".join(lines))
            if stopping:
                return

    def _take_batch(self) -> list[dict[str, Any]]:
        batch = [self._queue.get()]
        while len(batch) < BATCH_LINES:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return batch

    def _report_dropped(self) -> list[str]:
        if not self._dropped:
            return []
        dropped, self._dropped = self._dropped, 0
        event = {"ts": time.time(), "level": "error", "event": "lines_dropped"}
        return [self._format({**event, "count": dropped})]

    def _format(self, event: dict[str, Any]) -> str:
        moment = datetime.datetime.fromtimestamp(event["ts"], datetime.UTC)
        plain = {key: _make_plain(value) for key, value in event.items()}
        plain["ts"] = moment.isoformat(timespec="microseconds")
        try:
            return f"{self._render(None, '', plain)}\n"
        except ValueError as error:
            return f"level=error event=line_malformed cause={str(error)!r}\n"

    def _write(self, text: str) -> None:
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError) as error:
            # The log is the place for errors and it is gone; standard error
            # is what is left.
            os.write(2, f"level=error event=log_failed {error}\n".encode())


class _QueueLogger:
    """The end of structlog's chain: hands events to the writer."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def msg(self, **event: Any) -> None:
        """Queues one event."""
        self._writer.put(event)

    debug = info = warning = error = critical = msg


class _ClosedLogger:
    """Drops events after the log was closed."""

    def msg(self, **event: Any) -> None:
        """Drops one event."""

    debug = info = warning = error = critical = msg


def _note_origin(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    del logger
    event["ts"] = time.time()
    event["level"] = method
    return event


def _make_plain(value: Any) -> Any:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | list | set | frozenset):
        return ",".join(str(item) for item in value)
    return value
