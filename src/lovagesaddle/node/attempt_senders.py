"""Sends attempts from the entry of this node to the owners of servers."""

import abc

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import call_events
from lovagesaddle.core.routing import table
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import body_transfer
from lovagesaddle.node import offered_bodies
from lovagesaddle.node import owner as owner_lib

# Statuses of final answers; lower ones are interim, or none at all.
FIRST_STATUS = 200
LAST_STATUS = 599
_DUPLICATE = admission_events.RefusalReason.DUPLICATE.value
_DRAINING = admission_events.RefusalReason.DRAINING.value
_EXPECTED_LATE = admission_events.RefusalReason.EXPECTED_LATE.value
_RATE_LIMIT = admission_events.RefusalReason.RATE_LIMIT.value
_SERVER_DOWN_CAUSES = frozenset(
    {
        admission_events.RefusalReason.SERVER_DOWN.value,
        offered_bodies.SERVER_UNKNOWN,
    }
)
_ENDINGS = {
    hop.RunOutcome.SHED: call_events.Ending.SHED,
    hop.RunOutcome.ANSWERED: call_events.Ending.ANSWERED,
    hop.RunOutcome.TIMEOUT: call_events.Ending.TIMED_OUT,
    hop.RunOutcome.CRASHED: call_events.Ending.CRASHED,
    hop.RunOutcome.BROKEN: call_events.Ending.LOST,
    hop.RunOutcome.CANCELLED: call_events.Ending.LOST,
}

HopResult = body_transfer.HopResult


class AttemptSender(abc.ABC):
    """Sends an attempt to the owner of a server and waits for the answer."""

    @abc.abstractmethod
    def send(
        self,
        server: table.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> HopResult:
        """Returns the owner's answer, or the error of the exchange."""

    def ask(
        self,
        server: table.Candidate,
        message: hop.AnswerPull | hop.AnswerDrop,
        guard: watchdog.Guard,
    ) -> body_transfer.MessageResult:
        """Asks the owner of a server about an answer that it holds."""
        del message, guard
        return _make_malformed(server.http_address, "parts are not asked for")


class HttpAttemptSender(AttemptSender):
    """Sends signed messages over HTTP; calls the owner of this node directly.

    Args:
      node_id: ID of this node.
      owner: Owner of this node.
      pool: Connections to other nodes.
      signer: Signs and checks envelopes.
      part_bytes: Size of the parts in which larger bodies are sent, in bytes; 0
        to send every body in one piece.
    """

    def __init__(
        self,
        *,
        node_id: str,
        owner: owner_lib.Owner,
        pool: client.ConnectionPool,
        signer: hop.EnvelopeSigner,
        part_bytes: int = 0,
    ) -> None:
        self._part_bytes = part_bytes
        self._node_id = node_id
        self._owner = owner
        self._pool = pool
        self._signer = signer

    def send(
        self,
        server: table.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> HopResult:
        """Returns the owner's answer, or the error of the exchange."""
        if server.node_id == self._node_id:
            return _check_status(server, self._owner.run(request, guard))
        if self._part_bytes and len(request.body) > self._part_bytes:
            sent = body_transfer.send_body(
                self._exchange, server, request, guard, self._part_bytes
            )
            if not isinstance(sent, hop.RunRequest):
                return sent
            request = sent
        match self._exchange(server, request, guard):
            case result.Success(hop.RunAnswer() as answer):
                if answer.attempt_id == request.attempt_id:
                    return _check_status(server, answer)
            case result.Failure(error):
                return result.Failure(error)
        peer = server.http_address
        return _make_malformed(peer, "the answer is for another attempt")

    def ask(
        self,
        server: table.Candidate,
        message: hop.AnswerPull | hop.AnswerDrop,
        guard: watchdog.Guard,
    ) -> body_transfer.MessageResult:
        """Returns the owner's reply, or the error of the exchange."""
        if server.node_id != self._node_id:
            return self._exchange(server, message, guard)
        if isinstance(message, hop.AnswerPull):
            return result.Success(self._owner.held.pull(message, guard))
        self._owner.held.drop(message.attempt_id, "not-needed")
        return result.Success(hop.AnswerDropped(attempt_id=message.attempt_id))

    def _exchange(
        self,
        server: table.Candidate,
        message: hop.HopMessage,
        guard: watchdog.Guard,
    ) -> body_transfer.MessageResult:
        peer = server.http_address
        sent = client.Request(
            method="POST",
            target=hop.RUN_PATH,
            headers={},
            body=self._signer.sign(message),
        )
        outcome = self._pool.exchange(peer, sent, guard)
        match outcome:
            case result.Success(reply):
                try:
                    return result.Success(
                        self._signer.verify(reply.body, peer=peer)
                    )
                except errors.CodecError as error:
                    cause = f"status {reply.status}: {error.cause}"
                    return _make_malformed(peer, cause)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("unreachable")


def _check_status(server: table.Candidate, answer: hop.RunAnswer) -> HopResult:
    """Returns an owner's answer, unless its status is not that of an answer."""
    is_answer = answer.outcome is hop.RunOutcome.ANSWERED
    if is_answer and not FIRST_STATUS <= answer.status <= LAST_STATUS:
        cause = f"status {answer.status} is not that of an answer"
        return _make_malformed(server.http_address, cause)
    return result.Success(answer)


def classify_answer(answer: hop.RunAnswer) -> call_events.Ending:
    """Returns how an attempt ended, by its owner's answer."""
    if answer.outcome is not hop.RunOutcome.REFUSED:
        return _ENDINGS[answer.outcome]
    if answer.cause == _DUPLICATE:
        # The owner refused a second copy of the attempt. The first copy may be
        # running, so the refusal does not prove that the request did not run.
        return call_events.Ending.LOST
    if answer.cause == _DRAINING:
        return call_events.Ending.DRAINING
    if answer.cause in _SERVER_DOWN_CAUSES:
        return call_events.Ending.SERVER_DOWN
    if answer.cause == _EXPECTED_LATE:
        return call_events.Ending.EXPECTED_LATE
    if answer.cause == _RATE_LIMIT:
        return call_events.Ending.RATE_LIMITED
    if answer.cause == hop.ROUTE_OUTDATED:
        return call_events.Ending.ROUTE_OUTDATED
    if answer.cause == hop.QUARANTINED:
        return call_events.Ending.QUARANTINED
    return call_events.Ending.REFUSED


def classify_error(error: client.ExchangeError) -> call_events.Ending:
    """Returns how an attempt ended whose exchange with the owner failed."""
    if error.kind is client.FailureKind.NOT_SENT:
        return call_events.Ending.UNREACHABLE
    return call_events.Ending.LOST


def _make_malformed(
    peer: str, cause: str
) -> result.Failure[client.ExchangeError]:
    return result.Failure(
        client.ExchangeError(
            step="read owner's answer",
            peer=peer,
            cause=cause,
            kind=client.FailureKind.MALFORMED,
        )
    )
