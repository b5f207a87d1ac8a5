"""Defines services, routes and callers as published in service files."""

import dataclasses

import msgspec


class Priority:
    """Named priorities; a route may have any number, and 0 is served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


_RANK_NAMES = {
    Priority.URGENT: "urgent",
    Priority.NORMAL: "normal",
    Priority.BULK: "bulk",
}


def format_priority(rank: int) -> str:
    """Returns a priority as written in service files: its name or number."""
    return _RANK_NAMES.get(rank, str(rank))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A caller outside the mesh, identified by digests of its credentials.

    Attributes:
      name: Name of the caller, unique within its service.
      digests: `sha256:<hex>` of each valid bearer token; two during a
        rotation.
    """

    name: str
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account of the whole mesh, which calls any service.

    Attributes:
      name: Name of the account, unique in the mesh.
      digests: `sha256:<hex>` of each valid key, sorted.
      priority: Rank of the account, which goes before the route's; 0 is the
        most urgent.
      rate_per_s: Requests a second that the account may send to all nodes
        together; 0 for no limit.
      burst: Requests that the account may send beyond that at once.
    """

    name: str
    digests: tuple[str, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SplitPart:
    """A service that receives a share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Share of the requests, relative to the weights of the other
        parts; 0 for none.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A rule that maps requests to a service, with the limits of its calls.

    Attributes:
      name: Name of the route, unique within its service.
      host: Host header to match, in lower case, without a port.
      path_prefix: Matches this path and all paths below it; a prefix that
        ends in a slash matches only paths below it.
      methods: HTTP methods in upper case; empty for any method.
      timeout_s: Deadline of a whole call, in seconds.
      retries: Number of attempts allowed after the first.
      priority: Priority in the owner's queue; 0 is the most urgent.
      idempotent: Whether a request may run more than once.
      callers: Names of the service's callers that may use the route.
      services: Names of other services that may use the route.
      max_body_bytes: Maximum size of a request body, in bytes.
      is_open: Whether anybody may use the route, without a credential.
      target_latency_s: Time within which an answer has its full value to the
        caller, in seconds; 0 when the route has no target.
      split: Services that share the requests by weight; empty when all
        requests go to the route's own service.
      needs_account: Whether a request has to carry the key of a client
        account; unset for no, so that routes without it are encoded as in
        earlier releases.
      has_large_answers: Whether answers are passed on piece by piece; unset
        for no.
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
    needs_account: bool | msgspec.UnsetType = msgspec.UNSET
    has_large_answers: bool | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests, mesh-wide.

    Attributes:
      max_header_bytes: Maximum size of a request's head, in bytes.
      max_body_bytes: Maximum size of a request's body, in bytes.
      header_timeout_s: Maximum time to receive a request's head, in seconds.
      idle_timeout_s: Time after which an idle connection is closed, in
        seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """The content of one service file that has passed all checks.

    Attributes:
      name: Name of the service, unique in the mesh.
      revision: Number that the service's developers give to the file.
      callers: Callers that the routes may refer to.
      routes: Routes sorted by name.
      depends_on: Names of services that this service calls; a publish that
        removes one of these services is rejected.
      health_path: Path of the backend servers' health endpoint; empty when
        they have none.
    """

    name: str
    revision: int
    callers: tuple[Caller, ...]
    routes: tuple[Route, ...]
    depends_on: tuple[str, ...]
    health_path: str = ""
