"""Writes the log lines of distribution parts."""

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.observability import logs

_LOG = logs.get_logger("transport")


def write_event(line: events.LogLine) -> None:
    """Writes one line of key=value pairs; empty fields are left out."""
    fields = {
        "peer": line.peer,
        "version": line.version,
        "reason": line.reason,
        "candidates": ",".join(line.candidates),
    }
    written = {key: value for key, value in fields.items() if value}
    if line.size:
        written["bytes"] = line.size
    if line.overdue_ms is not None:
        written["overdue_ms"] = line.overdue_ms
    _LOG.info(line.event, **written)


def write_error(error: errors.LovagesaddleError) -> None:
    """Writes one line for an error with its step and peer."""
    _LOG.error(error.step, peer=error.peer, reason=error.cause)
