"""Services, routes and callers as the accepted service files state them."""

import dataclasses
import enum


class Priority(enum.Enum):
    """Order in which an owner admits queued requests."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A caller outside the mesh, known by digests of its credentials.

    Attributes:
      name: Unique within its service.
      digests: `sha256:<hex>` of each bearer token that is valid now; two
        during a rotation.
    """

    name: str
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One way into a service.

    Attributes:
      name: Unique within its service.
      host: Host header that is matched, in lower case, without a port.
      path_prefix: Matches the path itself and everything below it.
      methods: Upper-case HTTP methods.
      timeout_s: Deadline of a whole call, in seconds.
      retries: Attempts allowed after the first.
      priority: Place in the owner's queue.
      idempotent: Whether a request may run more than once.
      callers: Names of the service's callers that may use the route.
      services: Names of other services that may use the route.
      max_body_bytes: Largest request body that is accepted.
    """

    name: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    timeout_s: float
    retries: int
    priority: Priority
    idempotent: bool
    callers: tuple[str, ...]
    services: tuple[str, ...]
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service file after checking.

    Attributes:
      name: Unique in the mesh.
      revision: Number the service's own developers give the file.
      callers: Callers that any route may name.
      routes: Ways in, sorted by name.
      depends_on: Names of services that this service calls; a publish that
        removes one of them is rejected.
    """

    name: str
    revision: int
    callers: tuple[Caller, ...]
    routes: tuple[Route, ...]
    depends_on: tuple[str, ...]
