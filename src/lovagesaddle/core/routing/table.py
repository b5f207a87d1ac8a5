"""Routing table: a snapshot compiled for fast, lock-free lookups.

A table is immutable. A newer snapshot is compiled into another table, which
the node puts in force by replacing one reference.
"""

import dataclasses
import enum

from lovagesaddle.core.model import paths
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import account_keys
from lovagesaddle.core.routing import candidates
from lovagesaddle.core.routing import route_index

Match = route_index.Match
Candidate = candidates.Candidate


class MissReason(enum.Enum):
    """Why no route matches a request."""

    UNKNOWN_HOST = "unknown-host"
    UNKNOWN_PATH = "unknown-path"
    MALFORMED_PATH = "malformed-path"
    METHOD_NOT_ALLOWED = "method-not-allowed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Miss:
    """Result of a lookup that found no route; the request did not run.

    Attributes:
      reason: Why no route matches.
      status: HTTP status to answer: 400, 404 or 405.
      allow: Methods of the path for the Allow header of a 405, sorted.
      version: Version of the snapshot that was searched.
    """

    reason: MissReason
    status: int
    allow: tuple[str, ...] = ()
    version: int


class AccessReason(enum.Enum):
    """Why a request is or is not allowed to use a route."""

    OPEN = "open"
    CALLER = "caller"
    SERVICE = "service"
    NO_CREDENTIAL = "no-credential"
    UNKNOWN_CREDENTIAL = "unknown-credential"
    FORBIDDEN = "forbidden"
    ACCOUNT = "account"
    NO_ACCOUNT_KEY = "no-account-key"
    UNKNOWN_ACCOUNT_KEY = "unknown-account-key"
    MALFORMED_ACCOUNT_KEY = "malformed-account-key"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credential:
    """The identity of a request's sender, as established by the entry node.

    Attributes:
      token_digest: `sha256:<hex>` of the bearer token; empty without one.
      service: Local service that sent the request; empty for a caller.
      account_key: Key of a client account.
    """

    token_digest: str = ""
    service: str = ""
    account_key: account_keys.AccountKey = account_keys.NO_KEY


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """Whether a request may use the route that it matches.

    Attributes:
      allowed: Whether the request may use the route.
      status: 400, 401 or 403 when not allowed, else 0.
      client: Name of the account, caller or service; empty when unknown.
      reason: Why it is allowed or not.
      account: Client account that sent the request; None without one.
      key_id: Start of the digest of the account's key; empty without one.
    """

    allowed: bool
    status: int
    client: str
    reason: AccessReason
    account: services_lib.ClientAccount | None = None
    key_id: bytes = b""


class Table:
    """Matches, authorises and finds servers for requests, by one snapshot.

    Args:
      snapshot: The state to compile.
      previous: An earlier table, whose entries are reused for routes that
        did not change.
    """

    def __init__(
        self, snapshot: snapshots.Snapshot, previous: "Table | None" = None
    ) -> None:
        self._version = snapshot.version
        self._publication = snapshot.publication
        self._index: route_index.RouteIndex = (
            route_index.RouteIndex(snapshot.services, snapshot.version)
            if previous is None
            else previous._index.make_successor(
                snapshot.services, snapshot.version
            )
        )
        self._rollouts = {
            rollout.service: rollout for rollout in snapshot.rollouts or ()
        }
        self._candidates = candidates.compile_candidates(
            snapshot, self._rollouts
        )
        accounts = snapshot.accounts or ()
        self._accounts: account_keys.AccountIndex = (
            previous._accounts
            if previous is not None and previous._accounts.accounts is accounts
            else account_keys.AccountIndex(accounts)
        )

    @property
    def has_accounts(self) -> bool:
        """Whether there are client accounts, or routes that need one.

        Authorization headers are then not passed on to backend servers.
        """
        return bool(self._accounts.accounts or self._index.keyed_routes)

    @property
    def version(self) -> int:
        """Version of the compiled snapshot."""
        return self._version

    @property
    def publication(self) -> int:
        """Version of the publication that defined the routes; 0 for none."""
        return self._publication

    @property
    def is_published(self) -> bool:
        """Whether a configuration is known, even an empty one.

        Control VMs of an earlier release send no publication version, so
        services alone also count.
        """
        return bool(self._publication or self._index.services)

    def match(self, *, host: str, path: str, method: str) -> Match | Miss:
        """Returns the route with the longest path prefix for a request.

        A method that the longest prefix lacks is not looked up under a
        shorter one, since that may belong to another service. A path that
        two programs could take for different ones is a miss, unless all routes
        of the host are open. If some of these need a client account, such a
        path does in any case.

        Args:
          host: Host header, with or without a port, in any case.
          path: Path without the query, as sent.
          method: HTTP method in upper case.
        """
        prefixes = self._index.get_prefixes(paths.normalise_host(host))
        if prefixes is None:
            return self._make_miss(MissReason.UNKNOWN_HOST, 404)
        # If all routes of the host are open, no path can bypass access control.
        is_ambiguous = paths.is_ambiguous(path)
        if is_ambiguous and not _are_open(prefixes):
            return self._make_miss(MissReason.MALFORMED_PATH, 400)
        found = _find_longest_prefix(prefixes, paths.normalise_path(path))
        if found is None:
            return self._make_miss(MissReason.UNKNOWN_PATH, 404)
        methods = found.methods
        entry = methods.get(method) or methods.get(route_index.ANY_METHOD)
        if entry is None:
            return self._make_miss(
                MissReason.METHOD_NOT_ALLOWED, 405, tuple(sorted(methods))
            )
        if is_ambiguous and _include_keyed(prefixes):
            return _require_account(entry.match)
        return entry.match

    def authorise(self, match: Match, credential: Credential) -> Access:
        """Returns whether the sender of a request may use its route."""
        account = self._accounts.find(credential.account_key)
        if account is not None and match.route.is_open:
            return Access(
                allowed=True,
                status=0,
                client=account.name,
                reason=AccessReason.ACCOUNT,
                account=account,
                key_id=credential.account_key.key_id,
            )
        if match.route.needs_account is True:
            return _deny_without_account(credential.account_key)
        if match.route.is_open:
            return Access(
                allowed=True,
                status=0,
                client=credential.service,
                reason=AccessReason.OPEN,
            )
        entry = self._index.get_entry(match)
        if credential.service:
            return _authorise_service(match.route, credential.service)
        digest = credential.token_digest
        if not digest:
            return _deny(401, AccessReason.NO_CREDENTIAL)
        name = entry.callers.get(digest)
        if name is not None:
            return Access(
                allowed=True, status=0, client=name, reason=AccessReason.CALLER
            )
        known = entry.service_callers.get(digest)
        if known is not None:
            return _deny(403, AccessReason.FORBIDDEN, known)
        return _deny(401, AccessReason.UNKNOWN_CREDENTIAL)

    def routes_to(
        self,
        service: str,
        *,
        host: str,
        path: str,
        method: str,
        account: str = "",
        key_id: bytes = b"",
    ) -> bool:
        """Returns whether a request may run at a service by this table.

        Args:
          service: Name of the service.
          host: See `match`.
          path: See `match`.
          method: See `match`.
          account: Client account that sent the request, as the entry knows
            it; empty without one.
          key_id: Start of the digest of the key by which it is known.
        """
        match = self.match(host=host, path=path, method=method)
        if isinstance(match, Miss):
            return False
        if account:
            if not self._accounts.holds(account, key_id):
                return False
        elif match.route.needs_account is True:
            return False
        return service == match.service or any(
            part.service == service for part in match.route.split
        )

    def list_candidates(self, service: str) -> tuple[Candidate, ...]:
        """Returns a service's serving backend servers, by server ID.

        Those whose version may run no requests are left out.
        """
        return self._candidates.get(service, ())

    def find_incoming_weight(self, service: str) -> int | None:
        """Returns the share of a version that is being rolled out.

        Returns:
          Thousandths of the service's requests; None if no roll-out runs.
        """
        rollout = self._rollouts.get(service)
        if (
            rollout is None
            or rollout.phase is not snapshots.RolloutPhase.RUNNING
        ):
            return None
        return rollout.weight

    def _make_miss(
        self, reason: MissReason, status: int, allow: tuple[str, ...] = ()
    ) -> Miss:
        return Miss(
            reason=reason, status=status, allow=allow, version=self._version
        )


def _include_keyed(prefixes: route_index.Prefixes) -> bool:
    """Returns whether some route of a host needs a client account."""
    return any(
        entry.match.route.needs_account is True
        for prefix in prefixes.values()
        for entry in prefix.entries
    )


def _require_account(match: Match) -> Match:
    """Returns the match, with a route that needs a client account."""
    if match.route.needs_account is True:
        return match
    route = dataclasses.replace(match.route, needs_account=True)
    return dataclasses.replace(match, route=route)


def _deny_without_account(key: account_keys.AccountKey) -> Access:
    match key.form:
        case account_keys.KeyForm.MALFORMED:
            return _deny(400, AccessReason.MALFORMED_ACCOUNT_KEY)
        case account_keys.KeyForm.WELL_FORMED:
            return _deny(401, AccessReason.UNKNOWN_ACCOUNT_KEY)
    return _deny(401, AccessReason.NO_ACCOUNT_KEY)


def _authorise_service(route: services_lib.Route, service: str) -> Access:
    if service in route.services:
        return Access(
            allowed=True, status=0, client=service, reason=AccessReason.SERVICE
        )
    return _deny(403, AccessReason.FORBIDDEN, service)


def _deny(status: int, reason: AccessReason, client: str = "") -> Access:
    return Access(allowed=False, status=status, client=client, reason=reason)


def _are_open(prefixes: route_index.Prefixes) -> bool:
    """Returns whether every route of a host is open to any sender."""
    return all(
        entry.match.route.is_open
        for prefix in prefixes.values()
        for entry in prefix.entries
    )


def _find_longest_prefix(
    prefixes: route_index.Prefixes, path: str
) -> route_index.PrefixRoutes | None:
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
