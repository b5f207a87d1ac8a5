"""How exchanges over HTTP fail."""

import enum
import http.client

from lovagesaddle.core import errors
from lovagesaddle.http import responses
from lovagesaddle.http import watchdog


class FailureKind(enum.Enum):
    """Kinds of failed exchanges; only NOT_SENT proves that nothing ran."""

    NOT_SENT = "not-sent"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


class ExchangeError(errors.LovagesaddleError):
    """Raised when no complete answer was read.

    Attributes:
      kind: How the exchange failed.
    """

    def __init__(
        self, *, step: str, peer: str, cause: str, kind: FailureKind
    ) -> None:
        super().__init__(step=step, peer=peer, cause=cause)
        self.kind = kind


def explain(
    step: str, address: str, error: Exception, guard: watchdog.Guard
) -> ExchangeError:
    """Returns the error of an exchange that an exception ended."""
    return fail(step, address, repr(error), _classify(error, guard))


def _classify(error: Exception, guard: watchdog.Guard) -> FailureKind:
    if guard.reason is watchdog.EndReason.CANCELLED:
        return FailureKind.CANCELLED
    if guard.reason is not None or isinstance(error, TimeoutError):
        return FailureKind.TIMEOUT
    if isinstance(error, responses.AnswerTooLargeError):
        return FailureKind.TOO_LARGE
    if isinstance(error, http.client.IncompleteRead):
        return FailureKind.TRUNCATED
    if isinstance(error, (http.client.RemoteDisconnected, OSError)):
        return FailureKind.CLOSED
    return FailureKind.MALFORMED


def fail(step: str, peer: str, cause: str, kind: FailureKind) -> ExchangeError:
    """Returns an error of a kind."""
    return ExchangeError(step=step, peer=peer, cause=cause, kind=kind)
