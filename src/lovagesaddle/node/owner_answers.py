"""Builds the messages in which an owner answers an entry."""

import http

from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import server_statements
from lovagesaddle.http import client
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.node import owned_server

SHEDDING_STATUSES = frozenset({429, 503})
SERVER_DIED = "server-died"
_OUTCOMES = {
    client.FailureKind.CLOSED: hop.RunOutcome.BROKEN,
    client.FailureKind.TRUNCATED: hop.RunOutcome.BROKEN,
    client.FailureKind.MALFORMED: hop.RunOutcome.BROKEN,
    client.FailureKind.TOO_LARGE: hop.RunOutcome.BROKEN,
    client.FailureKind.TIMEOUT: hop.RunOutcome.TIMEOUT,
    client.FailureKind.CANCELLED: hop.RunOutcome.CANCELLED,
}


def make_answer(
    request: hop.RunRequest,
    reply: client.Reply,
    owned: owned_server.OwnedServer,
    names: header_names.HeaderNames,
) -> hop.RunAnswer:
    """Returns the answer of the backend server as a message to the entry.

    An answer which states that the server did not run the request gets the
    outcome SHED, so that the entry can send the request to another server.
    """
    if _states_not_run(reply, names):
        return hop.RunAnswer(
            attempt_id=request.attempt_id,
            outcome=hop.RunOutcome.SHED,
            cause=f"status {reply.status}",
            status=reply.status,
            load=owned.report(request.route),
        )
    return hop.RunAnswer(
        attempt_id=request.attempt_id,
        outcome=hop.RunOutcome.ANSWERED,
        status=reply.status,
        headers=headers_lib.filter_answer(
            reply.headers, bodyless=request.method == "HEAD"
        ),
        body=reply.body,
        load=owned.report(request.route),
    )


def find_statement(
    reply: client.Reply, names: header_names.HeaderNames
) -> server_statements.Statement | None:
    """Returns what a server states in an answer, or None if it says nothing.

    A refusal that states no limit doesn't end one, and one of another server
    that has taken over the address says nothing about the expected server.
    """
    if reply.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return None
    stated = server_statements.parse_statement(reply.headers, names)
    is_empty = stated == server_statements.NOTHING
    return None if is_empty and _states_not_run(reply, names) else stated


def find_load(reply: client.Reply, names: header_names.HeaderNames) -> str:
    """Returns the load that a server tells in an answer; empty for none.

    Another server that has taken over the address tells its own load.
    """
    if reply.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return ""
    values = headers_lib.get_all(reply.headers, names.server_load.lower())
    return values[0] if values else ""


def _states_not_run(
    reply: client.Reply, names: header_names.HeaderNames
) -> bool:
    if reply.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        # Another backend server has taken over the address of the expected one
        # and refused the request.
        return True
    marker = names.not_run.lower()
    return any(name.lower() == marker for name, _ in reply.headers)


def make_refusal(
    request: hop.RunRequest | hop.BodyOffer | hop.BodyPart,
    reason: str,
    owned: owned_server.OwnedServer | None,
    retry_after_s: float = 0.0,
) -> hop.RunAnswer:
    """Returns a refusal: the owner did not send the request to a server."""
    kind = request.route if isinstance(request, hop.RunRequest) else ""
    return hop.RunAnswer(
        attempt_id=request.attempt_id,
        outcome=hop.RunOutcome.REFUSED,
        cause=reason,
        retry_after_s=retry_after_s,
        load=owned.report(kind) if owned is not None else None,
    )


def make_failure(
    request: hop.RunRequest,
    kind: client.FailureKind,
    owned: owned_server.OwnedServer,
) -> hop.RunAnswer:
    """Returns the failure of a request that was sent to its server."""
    return hop.RunAnswer(
        attempt_id=request.attempt_id,
        outcome=_OUTCOMES[kind],
        cause=kind.value,
        load=owned.report(request.route),
    )


def make_crash_answer(
    request: hop.RunRequest,
    owned: owned_server.OwnedServer,
    running: quarantine.RunningRequest,
) -> hop.RunAnswer:
    """Returns the report of a server crash, with the request's crash mark."""
    mark = quarantine.make_mark(
        server_id=owned.server.server_id,
        incarnation=owned.server.incarnation,
        fingerprint=request.fingerprint,
        suspected=running.suspected,
    )
    return hop.RunAnswer(
        attempt_id=request.attempt_id,
        outcome=hop.RunOutcome.CRASHED,
        cause=SERVER_DIED,
        load=owned.report(request.route),
        marks=(mark,),
    )


def has_failed(answer: hop.RunAnswer) -> bool:
    """Returns whether an attempt counts as failed at its server.

    A complete answer whose status states that the server shed the request
    counts as failed, too.
    """
    if answer.outcome is not hop.RunOutcome.ANSWERED:
        return True
    return answer.status in SHEDDING_STATUSES
