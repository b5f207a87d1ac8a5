"""WSGI applications for the calls that the platform makes to a node."""

from collections.abc import Callable

from lovagesaddle.http import applications
from lovagesaddle.http import wsgi
from lovagesaddle.node import program as node_lib
from lovagesaddle.observability import logs
from lovagesaddle.platform import beats
from lovagesaddle.platform import endpoints

READY_PATH = "/api/ready"
BEAT_PATH = "/api/Instances.Heartbeat/"
FAREWELL_PATH = "/api/Instances.Deregister/"
_log = logs.get_logger("platform")


class Readiness(applications.Application):
    """Says whether callers should come to this node.

    Args:
      is_ready: Asks the node.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns 200 while the node is ready, else 503."""
        if request.path != READY_PATH:
            return endpoints.explain(404, "unknown path")
        if not self._is_ready():
            return endpoints.explain(503, "not ready")
        return wsgi.Answer(status=200)


class Announcements(applications.Application):
    """Takes the words of the backend server on this VM.

    Args:
      node: Owner of the server.
    """

    def __init__(self, node: node_lib.NodeProgram) -> None:
        self._node = node

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Acknowledges a word once it is in force at this node."""
        try:
            if request.path.startswith(BEAT_PATH):
                return self._take_beat(request)
            if request.path.startswith(FAREWELL_PATH):
                return self._take_farewell(request)
        except beats.BeatError as error:
            _log.warning("beat_refused", peer=error.peer, cause=error.cause)
            return endpoints.explain(400, error.cause)
        return endpoints.explain(404, "unknown path")

    def _take_beat(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        instance = request.path.removeprefix(BEAT_PATH)
        beat = beats.parse_beat(instance, request.read_body())
        service = beat.announcement.service
        if not self._node.knows_service(service):
            raise beats.BeatError(
                step="take beat",
                peer=instance,
                cause=f"service {service} is unknown",
            )
        self._node.heartbeats.handle_heartbeat(
            beat.announcement, beat.sequence, is_leaving=beat.is_leaving
        )
        return wsgi.Answer(status=200, headers=endpoints.JSON_TYPE, body=b"{}")

    def _take_farewell(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        instance = request.path.removeprefix(FAREWELL_PATH)
        born_ms = beats.parse_farewell(instance, request.read_body())
        self._node.heartbeats.handle_deregistration(instance, born_ms)
        return wsgi.Answer(status=200, headers=endpoints.JSON_TYPE, body=b"{}")
