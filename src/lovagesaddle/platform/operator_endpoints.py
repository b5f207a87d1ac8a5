"""Serves the operator's calls to a replica."""

from returns import result

from lovagesaddle.control import forwarder as forwarder_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.http import applications
from lovagesaddle.http import wsgi
from lovagesaddle.observability import logs
from lovagesaddle.platform import documents
from lovagesaddle.platform import endpoints
from lovagesaddle.platform import platform_headers

PUBLISH_PATH = "/api/Config.Put"
READ_PATH = "/api/Config.Get"
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# Below the operator's own timeout of 1 s per call.
ANSWER_TIMEOUT_S = 0.9
# Enough of a document's digest to tell documents of one serial number apart.
DIGEST_DIGITS = 12
_STATUSES = {
    commands.PublishOutcome.ACCEPTED: 200,
    commands.PublishOutcome.CONFLICT: 412,
    commands.PublishOutcome.REJECTED: 400,
}
_log = logs.get_logger("platform")


class ConfigurationEndpoint(applications.Application):
    """Publishes documents and returns the newest one.

    Args:
      forwarder: Forwards requests to the leader.
    """

    def __init__(self, forwarder: forwarder_lib.Forwarder) -> None:
        self._forwarder = forwarder

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the result of a call; 503 if the leader can't be reached."""
        if (request.method, request.path) == ("POST", PUBLISH_PATH):
            return self._publish(request)
        if (request.method, request.path) == ("GET", READ_PATH):
            return self._read()
        return endpoints.make_answer(404, "unknown call")

    def _publish(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        base = request.headers.get(platform_headers.BASE_SERIAL.lower(), "")
        try:
            command = documents.parse_publication(request.read_body(), base)
        except documents.DocumentError as error:
            _log.warning("document_refused", base=base, cause=error.cause)
            return endpoints.make_answer(400, error.cause)
        match self._forwarder.publish(command, ANSWER_TIMEOUT_S):
            case result.Success(commands.PublishResult() as published):
                status = _STATUSES[published.outcome]
                _log_answer(command, published)
                return endpoints.make_answer(
                    status, "; ".join(published.causes)
                )
            case result.Failure(error):
                return endpoints.make_answer(503, str(error))
        raise AssertionError("unreachable")

    def _read(self) -> wsgi.Answer:
        match self._forwarder.read_newest(ANSWER_TIMEOUT_S):
            case result.Success(operator_messages.NewestAnswer() as newest):
                if newest.document is None or not newest.document.content:
                    return endpoints.make_answer(404, "no document is in force")
                return wsgi.Answer(
                    status=200,
                    headers=endpoints.JSON_TYPE,
                    body=newest.document.content,
                )
            case result.Failure(error):
                return endpoints.make_answer(503, str(error))
        raise AssertionError("unreachable")


def _log_answer(
    command: commands.PublishServices, published: commands.PublishResult
) -> None:
    assert command.document is not None
    routes = [route for each in command.services for route in each.routes]
    _log.info(
        "document_answered",
        serial=command.document.serial,
        base=command.document.base_serial,
        digest=command.publish_id[:DIGEST_DIGITS],
        outcome=published.outcome.value,
        version=published.version,
        accounts=len(command.accounts or ()),
        routes=len(routes),
        keyed_routes=sum(route.needs_account is True for route in routes),
    )
