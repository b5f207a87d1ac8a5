"""Writes the log lines of distribution parts."""

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.observability import logs

_LOG = logs.get_logger("transport")


def write(line: events.LogLine) -> None:
    """Writes one line of key=value pairs; empty fields are left out."""
    fields = {
        "peer": line.peer,
        "version": line.version,
        "reason": line.reason,
        "candidates": ",".join(line.candidates),
    }
    _LOG.info(line.event, **{k: v for k, v in fields.items() if v})


def write_error(error: errors.LovagesaddleError) -> None:
    """Writes one line for an error with its step and peer."""
    _LOG.error(error.step, peer=error.peer, reason=error.cause)
