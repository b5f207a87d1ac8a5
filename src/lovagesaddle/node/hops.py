"""Carries attempts from this node's entry to any owner."""

import abc

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import call_events
from lovagesaddle.core.routing import table
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import owner as owner_lib

_DUPLICATE = admission.RefusalReason.DUPLICATE.value
_DRAINING = admission.RefusalReason.DRAINING.value
_GONE = frozenset(
    {
        admission.RefusalReason.SERVER_DOWN.value,
        owner_lib.REFUSED_UNKNOWN,
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

HopResult = result.Result[hop.RunAnswer, client.ExchangeError]


class Carrier(abc.ABC):
    """Takes an attempt to the owner of a server and waits for its answer."""

    @abc.abstractmethod
    def carry(
        self,
        server: table.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> HopResult:
        """Returns the owner's answer, or how the hop failed."""


class HttpCarrier(Carrier):
    """Carries sealed envelopes over HTTP; the own owner is called directly.

    Args:
      node_id: Of this node.
      owner: Of this node.
      pool: Connections to other nodes.
      seal: Signs and checks envelopes.
    """

    def __init__(
        self,
        *,
        node_id: str,
        owner: owner_lib.Owner,
        pool: client.Pool,
        seal: hop.Seal,
    ) -> None:
        self._node_id = node_id
        self._owner = owner
        self._pool = pool
        self._seal = seal

    def carry(
        self,
        server: table.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> HopResult:
        """Returns the owner's answer, or how the hop failed."""
        if server.node_id == self._node_id:
            return result.Success(self._owner.run(request, guard))
        sent = client.Request(
            method="POST",
            target=hop.RUN_PATH,
            headers={},
            body=self._seal.seal(request),
        )
        outcome = self._pool.exchange(server.http_address, sent, guard)
        match outcome:
            case result.Success(reply):
                return self._open(server, request, reply)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("unreachable")

    def _open(
        self,
        server: table.Candidate,
        request: hop.RunRequest,
        reply: client.Reply,
    ) -> HopResult:
        peer = server.http_address
        try:
            answer = self._seal.open(reply.body, peer=peer)
        except errors.CodecError as error:
            return _misunderstand(peer, f"status {reply.status}: {error.cause}")
        if (
            not isinstance(answer, hop.RunAnswer)
            or answer.attempt_id != request.attempt_id
        ):
            return _misunderstand(peer, "answer is not to this attempt")
        return result.Success(answer)


def classify_answer(answer: hop.RunAnswer) -> call_events.Ending:
    """Returns how an attempt ended, by its owner's word."""
    if answer.outcome is not hop.RunOutcome.REFUSED:
        return _ENDINGS[answer.outcome]
    if answer.cause == _DUPLICATE:
        # The first copy of the attempt may be running.
        return call_events.Ending.LOST
    if answer.cause == _DRAINING:
        return call_events.Ending.DRAINING
    if answer.cause in _GONE:
        return call_events.Ending.SERVER_DOWN
    if answer.cause == hop.QUARANTINED:
        return call_events.Ending.QUARANTINED
    return call_events.Ending.REFUSED


def classify_error(error: client.ExchangeError) -> call_events.Ending:
    """Returns how an attempt ended whose hop failed."""
    if error.kind is client.FailureKind.NOT_SENT:
        return call_events.Ending.UNREACHABLE
    return call_events.Ending.LOST


def _misunderstand(peer: str, cause: str) -> HopResult:
    return result.Failure(
        client.ExchangeError(
            step="read owner's answer",
            peer=peer,
            cause=cause,
            kind=client.FailureKind.MALFORMED,
        )
    )
