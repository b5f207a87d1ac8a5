"""Serves the calls that the platform makes to a node."""

from collections.abc import Callable

from lovagesaddle.http import applications
from lovagesaddle.http import wsgi
from lovagesaddle.node import program as node_lib
from lovagesaddle.observability import logs
from lovagesaddle.platform import endpoints
from lovagesaddle.platform import heartbeats

READY_PATH = "/api/ready"
HEARTBEAT_PATH = "/api/Instances.Heartbeat/"
DEREGISTER_PATH = "/api/Instances.Deregister/"
_log = logs.get_logger("platform")


class ReadinessEndpoint(applications.Application):
    """Serves the readiness check of this node.

    Args:
      is_ready: Returns whether the node is ready for callers.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns 200 while the node is ready, else 503."""
        if request.path != READY_PATH:
            return endpoints.make_answer(404, "unknown path")
        if not self._is_ready():
            return endpoints.make_answer(503, "not ready")
        return wsgi.Answer(status=200)


class HeartbeatEndpoint(applications.Application):
    """Serves heartbeats and deregistrations of the backend server on this VM.

    Args:
      node: Node that owns the server.
    """

    def __init__(self, node: node_lib.NodeProgram) -> None:
        self._node = node

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Acknowledges a call once it has taken effect at this node."""
        try:
            if request.path.startswith(HEARTBEAT_PATH):
                return self._handle_heartbeat(request)
            if request.path.startswith(DEREGISTER_PATH):
                return self._handle_deregistration(request)
        except heartbeats.HeartbeatError as error:
            _log.warning("beat_refused", peer=error.peer, cause=error.cause)
            return endpoints.make_answer(400, error.cause)
        return endpoints.make_answer(404, "unknown path")

    def _handle_heartbeat(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        instance = request.path.removeprefix(HEARTBEAT_PATH)
        heartbeat = heartbeats.parse_heartbeat(
            instance,
            request.read_body(),
            reads_version=self._node.rolls_out,
        )
        service = heartbeat.announcement.service
        if not self._node.knows_service(service):
            raise heartbeats.HeartbeatError(
                step="handle heartbeat",
                peer=instance,
                cause=f"service {service} is unknown",
            )
        self._node.heartbeats.handle_heartbeat(
            heartbeat.announcement,
            heartbeat.sequence,
            is_leaving=heartbeat.is_leaving,
        )
        return wsgi.Answer(status=200, headers=endpoints.JSON_TYPE, body=b"{}")

    def _handle_deregistration(
        self, request: wsgi.IncomingRequest
    ) -> wsgi.Answer:
        instance = request.path.removeprefix(DEREGISTER_PATH)
        born_ms = heartbeats.parse_deregistration(instance, request.read_body())
        self._node.heartbeats.handle_deregistration(instance, born_ms)
        return wsgi.Answer(status=200, headers=endpoints.JSON_TYPE, body=b"{}")
