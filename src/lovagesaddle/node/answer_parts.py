"""Entry side: passes a large answer from its owner to the caller in parts."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import time

from returns import result

from lovagesaddle.core.routing import table
from lovagesaddle.http import answer_budget
from lovagesaddle.http import channels
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.http import wsgi
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import call_results
from lovagesaddle.observability import logs

MS_PER_S = 1000
# An answer with no more bytes is collected before its caller gets the first:
# if it breaks off, the request may still be sent to another server.
COLLECTED_BYTES = answer_budget.ASSURED_BYTES
# The caller has left, so nobody waits for the confirmation of a drop.
DROP_TIMEOUT_S = 0.3
_OUTCOME_KINDS = {
    hop.RunOutcome.TIMEOUT: client.FailureKind.TIMEOUT,
    hop.RunOutcome.CANCELLED: client.FailureKind.CANCELLED,
}
_log = logs.get_logger("call")


class BrokenAnswerError(OSError):
    """Raised to end a caller's connection within an answer."""


class AnswerParts(wsgi.BodyParts):
    """Pulls the parts of one answer from its owner, one at a time.

    A part is asked for once the caller's connection has taken what came before,
    so a slow caller slows down the server and fills no memory.

    Args:
      sender: Asks the owner.
      server: Server of the attempt.
      request: The attempt.
      answer: Its answer with the first part.
      guard: Ends the answer at its deadline or when the caller disconnects.
    """

    def __init__(
        self,
        *,
        sender: attempt_senders.AttemptSender,
        server: table.Candidate,
        request: hop.RunRequest,
        answer: hop.RunAnswer,
        guard: watchdog.Guard,
    ) -> None:
        self._sender = sender
        self._server = server
        self._request = request
        self._guard = guard
        self._first = answer.body
        self._offset = len(answer.body)
        self._left_bytes = answer.rest_bytes or 0
        self.length = (
            None
            if self._left_bytes == hop.UNKNOWN_BYTES
            else self._offset + self._left_bytes
        )
        self._is_ended = False
        self._owned = contextlib.ExitStack()

    def own(self, resources: contextlib.ExitStack) -> None:
        """Closes resources, such as the guard, at the end of the answer."""
        self._owned = resources

    def collect(
        self, answer: hop.RunAnswer
    ) -> result.Result[hop.RunAnswer, client.ExchangeError]:
        """Returns the answer, made whole if it is small enough."""
        if self.length is None or self.length > COLLECTED_BYTES:
            return result.Success(answer)
        parts = [self._first]
        while not self._is_ended:
            match self._pull():
                case result.Success(data):
                    parts.append(data)
                case result.Failure(error):
                    return result.Failure(error)
        return result.Success(dataclasses.replace(answer, body=b"".join(parts)))

    @property
    def is_ended(self) -> bool:
        """Whether the last part was pulled, or the answer dropped."""
        return self._is_ended

    def __iter__(self) -> Iterator[bytes]:
        served = channels.get_served()

        def cut() -> None:
            if served is not None:
                served.cut()

        data, self._first = self._first, b""
        while True:
            # A caller that reads slowly or has left blocks the thread here.
            with self._guard.on_end(cut):
                yield data
            if self._is_ended:
                return
            match self._pull():
                case result.Success(data):
                    pass
                case result.Failure(error):
                    cut()
                    self._log_broken(error)
                    raise BrokenAnswerError(error.cause)

    def close(self) -> None:
        """Tells the owner if the rest isn't needed, and frees the guard."""
        if not self._is_ended:
            self._is_ended = True
            drop(self._sender, self._server, self._request)
        self._owned.close()

    def _pull(self) -> result.Result[bytes, client.ExchangeError]:
        pull = hop.AnswerPull(
            attempt_id=self._request.attempt_id,
            offset=self._offset,
            left_bytes=self._left_bytes,
            remaining_ms=int(self._guard.remaining_s * MS_PER_S),
            priority=self._request.priority,
        )
        match self._sender.ask(self._server, pull, self._guard):
            case result.Success(
                hop.AnswerPart(
                    attempt_id=pull.attempt_id, offset=pull.offset
                ) as part
            ):
                return self._check_part(part)
            case result.Success(hop.RunAnswer() as failed):
                kind = _OUTCOME_KINDS.get(
                    failed.outcome, client.FailureKind.TRUNCATED
                )
                return self._fail(failed.cause, kind)
            case result.Success(_):
                cause = "the part is of another answer"
                return self._fail(cause, client.FailureKind.MALFORMED)
            case result.Failure(error):
                # The request ran, whatever became of its parts.
                kind = error.kind
                if kind is client.FailureKind.NOT_SENT:
                    kind = client.FailureKind.CLOSED
                return self._fail(error.cause, kind)
        raise AssertionError("unreachable")

    def _check_part(
        self, part: hop.AnswerPart
    ) -> result.Result[bytes, client.ExchangeError]:
        self._offset += len(part.data)
        if self.length is not None:
            self._left_bytes = self.length - self._offset
            if part.is_last != (self._left_bytes == 0):
                cause = f"{self._left_bytes} bytes are left after a part"
                return self._fail(cause, client.FailureKind.MALFORMED)
        if part.is_last:
            self._is_ended = True
        return result.Success(part.data)

    def _fail(
        self, cause: str, kind: client.FailureKind
    ) -> result.Failure[client.ExchangeError]:
        return result.Failure(
            client.ExchangeError(
                step="pull answer",
                peer=self._server.http_address,
                cause=cause,
                kind=kind,
            )
        )

    def _log_broken(self, error: client.ExchangeError) -> None:
        _log.warning(
            "answer_broken",
            attempt=self._request.attempt_id,
            server=self._server.server_id,
            kind=error.kind.value,
            cause=error.cause,
            sent_bytes=self._offset,
            length=self.length,
        )


def drop(
    sender: attempt_senders.AttemptSender,
    server: table.Candidate,
    request: hop.RunRequest,
) -> None:
    """Tells an owner that the answer to an attempt is not needed."""
    if request.takes_parts is not True:
        return
    guard = watchdog.Guard(time.monotonic() + DROP_TIMEOUT_S, lambda: False)
    message = hop.AnswerDrop(attempt_id=request.attempt_id)
    dropped = sender.ask(server, message, guard)
    if isinstance(dropped, result.Failure):
        _log.info(
            "drop_failed",
            attempt=request.attempt_id,
            server=server.server_id,
            cause=dropped.failure().cause,
        )


def run_guarded(
    run: Callable[[watchdog.Guard], call_results.CallResult],
    watch: contextlib.AbstractContextManager[watchdog.Guard],
    *others: contextlib.AbstractContextManager[None],
) -> call_results.CallResult:
    """Runs a call under a guard that also bounds the parts of its answer.

    Args:
      run: Runs the call.
      watch: Opens the guard.
      *others: Further contexts that are open for as long.
    """
    with contextlib.ExitStack() as stack:
        for other in others:
            stack.enter_context(other)
        call_result = run(stack.enter_context(watch))
        match call_result:
            case result.Success(
                call_results.Answered(parts=AnswerParts() as parts)
            ):
                parts.own(stack.pop_all())
        return call_result
