"""Routing table: a snapshot compiled for fast, lock-free lookups.

A table never changes; a newer snapshot is compiled into another one, and the
shell swaps one reference.
"""

import dataclasses
import enum

from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import paths
from lovagesaddle.core.routing import route_index

Match = route_index.Match


class MissReason(enum.Enum):
    """Why no route takes a request."""

    UNKNOWN_HOST = "unknown-host"
    UNKNOWN_PATH = "unknown-path"
    MALFORMED_PATH = "malformed-path"
    METHOD_NOT_ALLOWED = "method-not-allowed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Miss:
    """No route takes a request; it did not run.

    Attributes:
      reason: Why.
      status: HTTP status to answer: 400, 404 or 405.
      allow: Methods of the path for the Allow header of a 405, sorted.
      version: Version of the snapshot that decided.
    """

    reason: MissReason
    status: int
    allow: tuple[str, ...] = ()
    version: int


class AccessReason(enum.Enum):
    """Why a request may or may not use a route."""

    OPEN = "open"
    CALLER = "caller"
    SERVICE = "service"
    NO_CREDENTIAL = "no-credential"
    UNKNOWN_CREDENTIAL = "unknown-credential"
    FORBIDDEN = "forbidden"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credential:
    """Who sends a request, as far as the entry could establish it.

    Attributes:
      token_digest: `sha256:<hex>` of the bearer token; empty without one.
      service: Local service that the request came from; empty for a caller.
    """

    token_digest: str = ""
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """Whether a request may use the route that it matches.

    Attributes:
      allowed: The verdict.
      status: 401 or 403 when not allowed, else 0.
      client: Name of the caller or service; empty when unknown.
      reason: Why.
    """

    allowed: bool
    status: int
    client: str
    reason: AccessReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A backend server that may be picked.

    Attributes:
      server_id: `<node_id>/<service>`.
      incarnation: Of the backend server.
      node_id: Its owner.
      failure_domain: Of the owner.
      http_address: `ip:port` of the owner.
      slots: Requests that it runs at a time.
      is_warm: Whether it gets its full share at once.
    """

    server_id: str
    incarnation: int
    node_id: str
    failure_domain: str
    http_address: str
    slots: int
    is_warm: bool = False


class Table:
    """What one snapshot says about every request.

    Args:
      snapshot: The state to compile.
      previous: An earlier table, whose entries are taken over for routes
        that did not change.
    """

    def __init__(
        self, snapshot: snapshots.Snapshot, previous: "Table | None" = None
    ) -> None:
        self._version = snapshot.version
        self._publication = snapshot.publication
        self._index: route_index.RouteIndex = (
            route_index.RouteIndex(snapshot.services, snapshot.version)
            if previous is None
            else previous._index.succeed(snapshot.services, snapshot.version)
        )
        self._candidates = _compile_candidates(snapshot)

    @property
    def version(self) -> int:
        """Version of the compiled snapshot."""
        return self._version

    @property
    def publication(self) -> int:
        """Version of the publication that brought the routes; 0 for none."""
        return self._publication

    @property
    def is_published(self) -> bool:
        """Whether a configuration is known, be it an empty one.

        Control VMs of an earlier release name no publication.
        """
        return bool(self._publication or self._index.services)

    def match(self, *, host: str, path: str, method: str) -> Match | Miss:
        """Finds the route of a request; the longest path prefix wins.

        A method that the longest prefix lacks is not looked for under a
        shorter one, since that may belong to another service. A path that two
        readers could decode apart is matched as sent, if at all.

        Args:
          host: Host header, with or without a port, in any case.
          path: Path without the query, as sent.
          method: HTTP method in upper case.
        """
        prefixes = self._index.find_prefixes(paths.normalise_host(host))
        if prefixes is None:
            return self._miss(MissReason.UNKNOWN_HOST, 404)
        decoded = paths.decode_path(path)
        if decoded is None and _are_open(prefixes):
            # No path can slip past a route's callers, as none has any.
            decoded = path
        if decoded is None:
            return self._miss(MissReason.MALFORMED_PATH, 400)
        found = _find_longest(prefixes, decoded)
        if found is None:
            return self._miss(MissReason.UNKNOWN_PATH, 404)
        methods = found.methods
        target = methods.get(method) or methods.get(route_index.ANY_METHOD)
        if target is None:
            return self._miss(
                MissReason.METHOD_NOT_ALLOWED, 405, tuple(sorted(methods))
            )
        return target.match

    def authorise(self, match: Match, credential: Credential) -> Access:
        """Returns whether the sender of a request may use its route."""
        if match.route.is_open:
            return Access(
                allowed=True,
                status=0,
                client=credential.service,
                reason=AccessReason.OPEN,
            )
        target = self._index.get_target(match)
        if credential.service:
            return _judge_service(match.route, credential.service)
        digest = credential.token_digest
        if not digest:
            return _deny(401, AccessReason.NO_CREDENTIAL)
        name = target.callers.get(digest)
        if name is not None:
            return Access(
                allowed=True, status=0, client=name, reason=AccessReason.CALLER
            )
        known = target.service_callers.get(digest)
        if known is not None:
            return _deny(403, AccessReason.FORBIDDEN, known)
        return _deny(401, AccessReason.UNKNOWN_CREDENTIAL)

    def list_candidates(self, service: str) -> tuple[Candidate, ...]:
        """Returns the serving backend servers of a service, by server ID."""
        return self._candidates.get(service, ())

    def _miss(
        self, reason: MissReason, status: int, allow: tuple[str, ...] = ()
    ) -> Miss:
        return Miss(
            reason=reason, status=status, allow=allow, version=self._version
        )


def _compile_candidates(
    snapshot: snapshots.Snapshot,
) -> dict[str, tuple[Candidate, ...]]:
    nodes = {node.node_id: node for node in snapshot.nodes}
    found: dict[str, list[Candidate]] = {}
    for server in snapshot.servers:
        node = nodes.get(server.node_id)
        if node is None or server.state is not snapshots.ServerState.SERVING:
            continue
        found.setdefault(server.service, []).append(
            Candidate(
                server_id=server.server_id,
                incarnation=server.incarnation,
                node_id=server.node_id,
                failure_domain=node.failure_domain,
                http_address=node.http_address,
                slots=server.slots,
                is_warm=server.is_warm,
            )
        )
    return {service: tuple(servers) for service, servers in found.items()}


def _judge_service(route: services_lib.Route, service: str) -> Access:
    if service in route.services:
        return Access(
            allowed=True, status=0, client=service, reason=AccessReason.SERVICE
        )
    return _deny(403, AccessReason.FORBIDDEN, service)


def _deny(status: int, reason: AccessReason, client: str = "") -> Access:
    return Access(allowed=False, status=status, client=client, reason=reason)


def _are_open(prefixes: route_index.Prefixes) -> bool:
    """Returns whether anybody may use every route of a host."""
    return all(
        target.match.route.is_open
        for prefix in prefixes.values()
        for target in prefix.targets
    )


def _find_longest(
    prefixes: route_index.Prefixes, path: str
) -> route_index.Prefix | None:
    prefix = path.rstrip("/")
    is_below = path.endswith("/")
    while prefix:
        found = prefixes.get(f"{prefix}/") if is_below else None
        found = found or prefixes.get(prefix)
        if found is not None:
            return found
        prefix = prefix.rpartition("/")[0]
        is_below = True
    return prefixes.get(paths.ROOT)
