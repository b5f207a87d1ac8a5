"""Logging of events as key=value lines, written by a background thread.

`open_log` opens the log of the whole process. A logging call filters by level,
adds the time and puts the event on a queue; a background thread renders and
writes the lines. When the queue is full, lines are dropped and their number is
logged, so that a slow disk never delays a call.
"""

import dataclasses
import datetime
import os
import queue
import sys
import threading
import time
from typing import Any, Self, TextIO

import structlog

from lovagesaddle.core import errors
from lovagesaddle.observability import sampling
from lovagesaddle.settings import schema

QUEUE_LINES = 100_000
BATCH_LINES = 1_000
# Interval at which the number of omitted lines is logged.
REPORT_INTERVAL_S = 1.0
STANDARD_OUTPUT = "-"
LINE_KEYS = ("ts", "level", "event")

_DEBUG, _INFO, _WARNING, _ERROR = 10, 20, 30, 40
_LEVELS = {
    "debug": _DEBUG,
    "info": _INFO,
    "warning": _WARNING,
    "error": _ERROR,
}
_STOP: dict[str, Any] = {}


class Logger(structlog.BoundLoggerBase):
    """Logs events of one part of the process to the log that is open now.

    It is bound once, when it is created, and reads the level at each call, so
    that a module may create its logger before the log is opened.
    """

    def debug(self, event: str, **keys: Any) -> None:
        """Logs an event that helps to find a fault."""
        if _current.level <= _DEBUG:
            self._proxy_to_logger("debug", event, **keys)

    def info(self, event: str, **keys: Any) -> None:
        """Logs an event or a decision."""
        if _current.level <= _INFO:
            self._proxy_to_logger("info", event, **keys)

    def warning(self, event: str, **keys: Any) -> None:
        """Logs an event that an operator should look into."""
        if _current.level <= _WARNING:
            self._proxy_to_logger("warning", event, **keys)

    def error(self, event: str, **keys: Any) -> None:
        """Logs an event that an operator has to act on."""
        if _current.level <= _ERROR:
            self._proxy_to_logger("error", event, **keys)


def get_logger(part: str) -> Logger:
    """Returns a logger whose lines carry `part=`.

    Its methods take the name of the event and its keys:
    `log.info("route_chosen", version=7, reason="own domain")`. While no log is
    open, events are discarded.
    """
    wrapped = structlog.wrap_logger(
        _QueueLogger(), processors=[_add_time_and_level], wrapper_class=Logger
    )
    logger: Logger = wrapped.bind(part=part)
    return logger


def allows_request_line(*, failed: bool) -> bool:
    """Returns whether the rate limit allows a line about a request.

    Args:
      failed: Whether the request failed or was retried.
    """
    writer = _current.writer
    if writer is None:
        return False
    return (writer.failed if failed else writer.served).allow()


def open_log(settings: schema.LogSettings) -> "LogWriter":
    """Returns the log writer of the process, to be used as a context manager.

    Raises:
      errors.SettingsError: The log file can't be opened.
    """
    if not settings.file:
        return LogWriter(sys.stderr, settings, owned=False)
    if settings.file == STANDARD_OUTPUT:
        return LogWriter(sys.stdout, settings, owned=False)
    try:
        stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
    except OSError as error:
        raise errors.SettingsError(
            step="open log", peer=settings.file, cause=str(error)
        ) from error
    return LogWriter(stream, settings, owned=True)


class LogWriter:
    """Writes the log of the process from a queue on a background thread.

    Args:
      stream: Stream to write to.
      settings: Level and rate limits.
      owned: Whether closing the writer closes the stream.
    """

    def __init__(
        self, stream: TextIO, settings: schema.LogSettings, *, owned: bool
    ) -> None:
        self._stream = stream
        self._level = _LEVELS[settings.level]
        self.served = sampling.Sampler(settings.served_lines)
        self.failed = sampling.Sampler(settings.failed_lines)
        self._reported_at = 0.0
        self._owned = owned
        # A signal handler may log while the thread that it interrupts is in
        # `put`; only SimpleQueue is reentrant.
        self._queue: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
        self._dropped = 0
        self._render = structlog.processors.LogfmtRenderer(
            key_order=LINE_KEYS, drop_missing=True
        )
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )

    def __enter__(self) -> Self:
        _current.writer, _current.level = self, self._level
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def put(self, event: dict[str, Any]) -> None:
        """Queues an event, or drops it when the queue is full; never blocks."""
        if self._queue.qsize() < QUEUE_LINES:
            self._queue.put(event)
        else:
            self._dropped += 1

    def close(self) -> None:
        """Writes the queued events and ends the thread; drops later events."""
        if _current.writer is self:
            _current.writer, _current.level = None, _CLOSED
        self._queue.put(_STOP)
        self._thread.join()
        if self._owned:
            self._stream.close()

    def _run(self) -> None:
        while True:
            batch = self._pop_batch()
            stopping = any(event is _STOP for event in batch)
            lines = [self._format(e) for e in batch if e is not _STOP]
            lines.extend(self._report_dropped())
            lines.extend(self._report_omitted(stopping))
            self._write("".join(lines))
            if stopping:
                return

    def _pop_batch(self) -> list[dict[str, Any]]:
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

    def _report_omitted(self, stopping: bool) -> list[str]:
        now = time.monotonic()
        if now - self._reported_at < REPORT_INTERVAL_S and not stopping:
            return []
        self._reported_at = now
        served = self.served.pop_omitted()
        failed = self.failed.pop_omitted()
        if not (served or failed):
            return []
        event = {"ts": time.time(), "level": "info", "event": "lines_left_out"}
        return [self._format({**event, "served": served, "failed": failed})]

    def _format(self, event: dict[str, Any]) -> str:
        moment = datetime.datetime.fromtimestamp(event["ts"], datetime.UTC)
        plain = {key: _format_value(value) for key, value in event.items()}
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
            # The log itself failed, so the error goes to standard error.
            os.write(2, f"level=error event=log_failed {error}\n".encode())


_CLOSED = _ERROR + 1


@dataclasses.dataclass(slots=True)
class _Current:
    """Holds the open log of the process.

    Attributes:
      writer: Writer of the open log, or None.
      level: Lowest level that is written.
    """

    writer: LogWriter | None = None
    level: int = _CLOSED


_current = _Current()


class _QueueLogger:
    """Passes events from structlog to the open log."""

    def msg(self, **event: Any) -> None:
        """Queues one event."""
        writer = _current.writer
        if writer is not None:
            writer.put(event)

    debug = info = warning = error = msg


def _add_time_and_level(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    del logger
    event["ts"] = time.time()
    event["level"] = method
    return event


def _format_value(value: Any) -> Any:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | list | set | frozenset):
        return ",".join(str(item) for item in value)
    return value
