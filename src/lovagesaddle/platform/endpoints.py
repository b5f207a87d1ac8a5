"""WSGI applications for the calls that the platform makes."""

from collections.abc import Callable
import contextlib
from typing import Any

from returns import result

from lovagesaddle.control import forwarder as forwarder_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.http import applications
from lovagesaddle.http import gateway
from lovagesaddle.http import lanes
from lovagesaddle.http import server as server_lib
from lovagesaddle.node import program as node_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.platform import beats
from lovagesaddle.platform import documents
from lovagesaddle.platform import names

READY_PATH = "/api/ready"
BEAT_PATH = "/api/Instances.Heartbeat/"
FAREWELL_PATH = "/api/Instances.Deregister/"
PUBLISH_PATH = "/api/Config.Put"
READ_PATH = "/api/Config.Get"
MAX_BEAT_BYTES = 64 * 1024
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# The operator gives up on a call after a second.
ANSWER_S = 0.9
THREADS = 8
JSON_TYPE = (("Content-Type", gateway.JSON_TYPE),)
_STATUSES = {
    commands.PublishOutcome.ACCEPTED: 200,
    commands.PublishOutcome.CONFLICT: 412,
    commands.PublishOutcome.REJECTED: 400,
}
_log = logs.get_logger("platform")


class Readiness(applications.Application):
    """Says whether callers should come to this node.

    Args:
      is_ready: Asks the node.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
        """Returns 200 while the node is ready, else 503."""
        if request.path != READY_PATH:
            return _explain(404, "unknown path")
        if not self._is_ready():
            return _explain(503, "not ready")
        return gateway.Answer(status=200)


class Announcements(applications.Application):
    """Takes the words of the backend server on this VM.

    Args:
      node: Owner of the server.
    """

    def __init__(self, node: node_lib.NodeProgram) -> None:
        self._node = node

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
        """Acknowledges a word once it is in force at this node."""
        try:
            if request.path.startswith(BEAT_PATH):
                return self._take_beat(request)
            if request.path.startswith(FAREWELL_PATH):
                return self._take_farewell(request)
        except beats.BeatError as error:
            _log.warning("beat_refused", peer=error.peer, cause=error.cause)
            return _explain(400, error.cause)
        return _explain(404, "unknown path")

    def _take_beat(self, request: gateway.Incoming) -> gateway.Answer:
        instance = request.path.removeprefix(BEAT_PATH)
        beat = beats.parse_beat(instance, request.read_body())
        service = beat.announcement.service
        if not self._node.knows_service(service):
            raise beats.BeatError(
                step="take beat",
                peer=instance,
                cause=f"service {service} is unknown",
            )
        self._node.beats.take_beat(
            beat.announcement, beat.sequence, is_leaving=beat.is_leaving
        )
        return gateway.Answer(status=200, headers=JSON_TYPE, body=b"{}")

    def _take_farewell(self, request: gateway.Incoming) -> gateway.Answer:
        instance = request.path.removeprefix(FAREWELL_PATH)
        born_ms = beats.parse_farewell(instance, request.read_body())
        self._node.beats.take_farewell(instance, born_ms)
        return gateway.Answer(status=200, headers=JSON_TYPE, body=b"{}")


class Configuration(applications.Application):
    """Publishes documents and reads the newest one back.

    Args:
      forwarder: Reaches the leader.
    """

    def __init__(self, forwarder: forwarder_lib.Forwarder) -> None:
        self._forwarder = forwarder

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
        """Answers 503 where the leader's word is not to be had."""
        if (request.method, request.path) == ("POST", PUBLISH_PATH):
            return self._publish(request)
        if (request.method, request.path) == ("GET", READ_PATH):
            return self._read()
        return _explain(404, "unknown call")

    def _publish(self, request: gateway.Incoming) -> gateway.Answer:
        base = request.headers.get(names.BASE_SERIAL.lower(), "")
        try:
            command = documents.parse_publication(request.read_body(), base)
        except documents.DocumentError as error:
            _log.warning("document_refused", base=base, cause=error.cause)
            return _explain(400, error.cause)
        match self._forwarder.publish(command, ANSWER_S):
            case result.Success(commands.PublishResult() as verdict):
                status = _STATUSES[verdict.outcome]
                return _explain(status, "; ".join(verdict.causes))
            case result.Failure(error):
                return _explain(503, str(error))
        raise AssertionError("unreachable")

    def _read(self) -> gateway.Answer:
        match self._forwarder.read_newest(ANSWER_S):
            case result.Success(operator_messages.NewestAnswer() as newest):
                if newest.document is None or not newest.document.content:
                    return _explain(404, "no document is in force")
                return gateway.Answer(
                    status=200,
                    headers=JSON_TYPE,
                    body=newest.document.content,
                )
            case result.Failure(error):
                return _explain(503, str(error))
        raise AssertionError("unreachable")


class Metrics(applications.Application):
    """Shows the counters of a process.

    Args:
      metrics: Of the process.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
        """Returns every metric as text."""
        del request
        return gateway.Answer(
            status=200,
            headers=(("Content-Type", metrics_lib.CONTENT_TYPE),),
            body=self._metrics.render().encode(),
        )


def open_endpoint(
    endpoint: applications.Application,
    address: str,
    *,
    max_body_bytes: int = MAX_BEAT_BYTES,
) -> contextlib.AbstractContextManager[server_lib.HttpServer]:
    """Returns the server of an endpoint; it listens while it is open."""
    return server_lib.HttpServer(
        application=endpoint,
        dispatcher=lanes.LaneDispatcher(
            threads={lanes.Lane.CALLER: THREADS}, classify=_classify
        ),
        options=server_lib.ServerOptions(
            address=address, max_body_bytes=max_body_bytes
        ),
    )


def _classify(parsed: Any) -> lanes.Lane:
    del parsed
    return lanes.Lane.CALLER


def _explain(status: int, cause: str) -> gateway.Answer:
    return gateway.make_json(status, {"error": cause} if cause else {})
