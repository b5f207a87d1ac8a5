"""Serves the admin address, which only the local VM uses."""

from collections.abc import Callable
import dataclasses
from typing import Annotated, Any

import msgspec

from lovagesaddle.core.model import addresses
from lovagesaddle.http import applications
from lovagesaddle.http import thread_pools
from lovagesaddle.http import wsgi
from lovagesaddle.node import local_servers
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.settings import schema

Count = Annotated[int, msgspec.Meta(ge=1, le=local_servers.MAX_SLOTS)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnnounceBody:
    """Holds the body of POST /announce; see `local_servers.Announcement`."""

    service: schema.Identifier
    address: Address
    slots: Count
    connections: Count
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceBody:
    """Holds the body of POST /drain and DELETE /announce."""

    service: schema.Identifier


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """Holds the answer of /healthz.

    Attributes:
      joined: Whether the node has joined the mesh and serves callers.
      version: Version of the routing table; 0 before the node joined.
      servers: Number of backend servers announced to this node.
      known_servers: Number of serving backend servers in the table.
      stopping: Whether the node is shutting down.
    """

    joined: bool
    version: int
    servers: int
    known_servers: int
    stopping: bool


Handler = Callable[[wsgi.IncomingRequest], wsgi.Answer]


class AdminApplication(applications.Application):
    """Answers the local backend server and the platform.

    Args:
      servers: Registry of the local servers.
      metrics: Metrics to render at /metrics.
      read_health: Returns the answer of /healthz.
    """

    def __init__(
        self,
        *,
        servers: local_servers.LocalServers,
        metrics: metrics_lib.Metrics,
        read_health: Callable[[], Health],
    ) -> None:
        self._servers = servers
        self._metrics = metrics
        self._read_health = read_health
        self._handlers: dict[str, dict[str, Handler]] = {
            "/announce": {"POST": self._announce, "DELETE": self._withdraw},
            "/drain": {"POST": self._drain},
            "/healthz": {"GET": self._show_health},
            "/metrics": {"GET": self._show_metrics},
        }

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the answer to a request from the local VM."""
        methods = self._handlers.get(request.path)
        if methods is None:
            known = ", ".join(self._handlers)
            return _make_error(404, f"unknown path; known are {known}")
        handler = methods.get(request.method)
        if handler is None:
            allowed = ", ".join(methods)
            return _make_error(405, f"use {allowed}", (("Allow", allowed),))
        try:
            return handler(request)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return _make_error(400, str(error))
        except local_servers.AnnouncementError as error:
            return _make_error(404, error.cause)

    def _announce(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        body = msgspec.json.decode(request.read_body(), type=AnnounceBody)
        if not addresses.has_valid_port(body.address):
            return _make_error(400, f"port of {body.address} is invalid")
        token = self._servers.announce(
            local_servers.Announcement(
                service=body.service,
                address=body.address,
                slots=body.slots,
                connections=body.connections,
                software=body.version,
            )
        )
        return wsgi.make_json(200, {"token": token})

    def _drain(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        body = msgspec.json.decode(request.read_body(), type=ServiceBody)
        self._servers.drain(body.service)
        return wsgi.make_json(200, {"state": "draining"})

    def _withdraw(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        body = msgspec.json.decode(request.read_body(), type=ServiceBody)
        self._servers.withdraw(body.service, "withdrawn")
        return wsgi.make_json(200, {"state": "withdrawn"})

    def _show_health(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        del request
        health = self._read_health()
        status = 200 if health.joined and not health.stopping else 503
        return wsgi.make_json(status, dataclasses.asdict(health))

    def _show_metrics(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        del request
        return wsgi.Answer(
            status=200,
            headers=(("Content-Type", metrics_lib.CONTENT_TYPE),),
            body=self._metrics.render().encode(),
        )


def classify(parsed: Any) -> thread_pools.PoolKind:
    """Returns CALLER, as one thread pool serves all admin requests."""
    del parsed
    return thread_pools.PoolKind.CALLER


def _make_error(
    status: int, cause: str, extra: tuple[tuple[str, str], ...] = ()
) -> wsgi.Answer:
    return wsgi.make_json(status, {"error": cause}, extra)
