"""Services, routes and callers as the accepted service files state them."""

import dataclasses


class Priority:
    """Named ranks of routes; a route may have any rank, 0 goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


_RANK_NAMES = {
    Priority.URGENT: "urgent",
    Priority.NORMAL: "normal",
    Priority.BULK: "bulk",
}


def format_priority(rank: int) -> str:
    """Returns the rank as an operator writes it."""
    return _RANK_NAMES.get(rank, str(rank))


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
class SplitPart:
    """A service that takes a share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Its share, relative to the other parts; 0 for none.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One way into a service.

    Attributes:
      name: Unique within its service.
      host: Host header that is matched, in lower case, without a port.
      path_prefix: Matches the path itself and everything below it; one that
        ends in a slash matches only what is below it.
      methods: Upper-case HTTP methods; empty for any method.
      timeout_s: Deadline of a whole call, in seconds.
      retries: Attempts allowed after the first.
      priority: Rank in the owner's queue; 0 goes first.
      idempotent: Whether a request may run more than once.
      callers: Names of the service's callers that may use the route.
      services: Names of other services that may use the route.
      max_body_bytes: Largest request body that is accepted.
      is_open: Whether anybody may use the route, without a credential.
      target_latency_s: Time within which an answer is worth most to its
        caller, in seconds; 0 when the route states none.
      split: Services that share the requests by weight; empty when all go
        to the route's own service.
    """

    name: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    timeout_s: float
    retries: int
    priority: int
    idempotent: bool
    callers: tuple[str, ...]
    services: tuple[str, ...]
    max_body_bytes: int
    is_open: bool = False
    target_latency_s: float = 0.0
    split: tuple[SplitPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take; for the whole mesh.

    Attributes:
      max_header_bytes: Largest head of a request.
      max_body_bytes: Largest body of a request.
      header_timeout_s: Longest time for a request's head, in seconds.
      idle_timeout_s: Time after which an idle connection is closed, in
        seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


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
      health_path: Path of the backend servers' health endpoint; empty when
        they have none.
    """

    name: str
    revision: int
    callers: tuple[Caller, ...]
    routes: tuple[Route, ...]
    depends_on: tuple[str, ...]
    health_path: str = ""
