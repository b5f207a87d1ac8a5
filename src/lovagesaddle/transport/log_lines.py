"""Writes log lines for events of the distribution and for errors."""

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.observability import logs

_LOG = logs.get_logger("transport")


def write_event(line: events.LogLine) -> None:
    """Writes one log line of key=value pairs, without empty fields."""
    fields = {
        "peer": line.peer,
        "version": line.version,
        "reason": line.reason,
        "candidates": ",".join(line.candidates),
    }
    nonempty = {key: value for key, value in fields.items() if value}
    if line.size:
        nonempty["bytes"] = line.size
    if line.overdue_ms is not None:
        nonempty["overdue_ms"] = line.overdue_ms
    if line.age_ms is not None:
        nonempty["age_ms"] = line.age_ms
    _LOG.info(line.event, **nonempty)


def write_error(error: errors.LovagesaddleError) -> None:
    """Writes one log line for an error with its step, peer and cause."""
    _LOG.error(error.step, peer=error.peer, reason=error.cause)
