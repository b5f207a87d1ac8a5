"""Entry side: sends a large body to an owner in parts."""

from collections.abc import Callable
import dataclasses
import time

from returns import result

from lovagesaddle.core.routing import table
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog

MS_PER_S = 1000

HopResult = result.Result[hop.RunAnswer, client.ExchangeError]
MessageResult = result.Result[hop.HopMessage, client.ExchangeError]
Exchange = Callable[
    [table.Candidate, hop.HopMessage, watchdog.Guard], MessageResult
]


def send_body(
    exchange: Exchange,
    server: table.Candidate,
    request: hop.RunRequest,
    guard: watchdog.Guard,
    part_bytes: int,
) -> HopResult | hop.RunRequest:
    """Offers a body to an owner and sends all of its parts but the last.

    The owner runs nothing before the request itself arrives, so every failure
    here proves that the request did not run.

    Args:
      exchange: Sends a message to an owner and returns the answer.
      server: Backend server whose owner receives the body.
      request: The attempt with its whole body.
      guard: Ends the transfer at its deadline or when the caller disconnects.
      part_bytes: Size of a part, in bytes.

    Returns:
      The request with the last part, to be sent next, or the owner's answer or
      the error that ended the transfer.
    """
    started = time.monotonic()
    offer = hop.BodyOffer(
        attempt_id=request.attempt_id,
        server_id=request.server_id,
        body_bytes=len(request.body),
        remaining_ms=request.remaining_ms,
        priority=request.priority,
        route=request.route,
    )
    early_result = _send(exchange, server, offer, guard)
    last = (len(request.body) - 1) // part_bytes * part_bytes
    for offset in range(0, last, part_bytes):
        if early_result is not None:
            return early_result
        part = hop.BodyPart(
            attempt_id=request.attempt_id,
            server_id=request.server_id,
            offset=offset,
            data=request.body[offset : offset + part_bytes],
        )
        early_result = _send(exchange, server, part, guard)
    if early_result is not None:
        return early_result
    spent_ms = int((time.monotonic() - started) * MS_PER_S)
    target_ms = request.target_ms
    return dataclasses.replace(
        request,
        body=request.body[last:],
        offset=last,
        remaining_ms=max(0, request.remaining_ms - spent_ms),
        target_ms=None if target_ms is None else target_ms - spent_ms,
    )


def _send(
    exchange: Exchange,
    server: table.Candidate,
    message: hop.BodyOffer | hop.BodyPart,
    guard: watchdog.Guard,
) -> HopResult | None:
    """Sends one message; returns None if the transfer may continue."""
    outcome = exchange(server, message, guard)
    match outcome:
        case result.Success(hop.BodyTaken(attempt_id=message.attempt_id)):
            return None
        case result.Success(
            hop.RunAnswer(attempt_id=message.attempt_id) as answer
        ):
            return result.Success(answer)
        case result.Success(_):
            cause = "the answer is for another attempt"
        case result.Failure(error):
            cause = error.cause
    return result.Failure(
        client.ExchangeError(
            step="send body",
            peer=server.http_address,
            cause=cause,
            kind=client.FailureKind.NOT_SENT,
        )
    )
