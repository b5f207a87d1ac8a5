"""Index of the routes of all services, by host, path prefix and method.

An index is immutable once it is built. The index of a newer publication
shares the entries of unchanged routes, so building it costs time and memory
in proportion to the change only.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Self

from lovagesaddle.core.configuration import route_changes
from lovagesaddle.core.model import paths
from lovagesaddle.core.model import services as services_lib

ANY_METHOD = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """The route that matches a request.

    Attributes:
      service: Name of the service.
      route: The route.
      version: Version of the snapshot that the entry was compiled from.
    """

    service: str
    route: services_lib.Route
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteEntry:
    """A route and the callers that may use it.

    Attributes:
      match: The route.
      callers: Token digest to name, of the callers that may use the route.
      service_callers: Token digest to name, of all callers of the service.
    """

    match: Match
    callers: dict[str, str]
    service_callers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefixRoutes:
    """The routes of one path prefix at one host.

    Attributes:
      entries: Sorted by service name and route name; if several accept the
        same method, the first one matches.
      methods: Method to the entry that matches it; `ANY_METHOD` is the key of
        the entry for all methods that are not listed.
    """

    entries: tuple[RouteEntry, ...]
    methods: dict[str, RouteEntry]


RouteKey = tuple[str, str]
PrefixKey = tuple[str, str]
Prefixes = dict[str, PrefixRoutes]


class RouteIndex:
    """Looks up the path prefixes of a host and the entry of a match.

    Args:
      published: Services, sorted by name.
      version: Version of their snapshot.

    Attributes:
      services: The services that the index was built from.
      keyed_routes: Number of routes that need a client account.
    """

    def __init__(
        self, published: tuple[services_lib.Service, ...], version: int
    ) -> None:
        self.services = published
        self.keyed_routes = 0
        self._version = version
        self._hosts: dict[str, Prefixes] = {}
        self._entries: dict[RouteKey, RouteEntry] = {}
        self._replace((), self._make_entries(published))

    def make_successor(
        self, published: tuple[services_lib.Service, ...], version: int
    ) -> Self:
        """Returns an index of newer services that shares unchanged entries.

        Args:
          published: Services, sorted by name.
          version: Version of their snapshot.
        """
        if published is self.services:
            return self
        made = type(self).__new__(type(self))
        made.services = published
        made.keyed_routes = self.keyed_routes
        made._version = version
        made._hosts = dict(self._hosts)
        made._entries = dict(self._entries)
        made._apply_changes(self.services, published)
        return made

    def get_prefixes(self, host: str) -> Prefixes | None:
        """Returns the path prefixes of a normalised host; None if unknown."""
        return self._hosts.get(host)

    def get_entry(self, match: Match) -> RouteEntry:
        """Returns the entry of a match that this index returned."""
        return self._entries[match.service, match.route.name]

    def _apply_changes(
        self,
        old: tuple[services_lib.Service, ...],
        new: tuple[services_lib.Service, ...],
    ) -> None:
        unseen = {service.name: service for service in old}
        removed: list[RouteKey] = []
        added: list[RouteEntry] = []
        for service in new:
            before = unseen.pop(service.name, None)
            if before is service:
                continue
            if before is None or before.callers != service.callers:
                removed.extend(_list_keys(before))
                added.extend(self._make_entries((service,)))
                continue
            callers = _map_callers(service)
            for change in route_changes.list_route_changes(before, service):
                if change.old is not None:
                    removed.append((service.name, change.old.name))
                if change.new is not None:
                    added.append(self._make_entry(service, change.new, callers))
        for removed_service in unseen.values():
            removed.extend(_list_keys(removed_service))
        self._replace(removed, added)

    def _replace(
        self, removed: Iterable[RouteKey], added: Iterable[RouteEntry]
    ) -> None:
        """Removes and adds entries, copying only the prefixes concerned."""
        copies: dict[PrefixKey, list[RouteEntry]] = {}
        for key in removed:
            entry = self._entries.pop(key)
            self.keyed_routes -= entry.match.route.needs_account is True
            self._get_copy(copies, entry).remove(entry)
        for entry in added:
            match = entry.match
            self._entries[match.service, match.route.name] = entry
            self.keyed_routes += match.route.needs_account is True
            self._get_copy(copies, entry).append(entry)
        by_host: dict[str, dict[str, list[RouteEntry]]] = (
            collections.defaultdict(dict)
        )
        for (host, prefix), entries in copies.items():
            by_host[host][prefix] = entries
        for host, changed in by_host.items():
            self._replace_prefixes(host, changed)

    def _get_copy(
        self, copies: dict[PrefixKey, list[RouteEntry]], entry: RouteEntry
    ) -> list[RouteEntry]:
        """Returns a mutable copy of the entries that share a route's prefix."""
        route = entry.match.route
        key = (route.host, paths.normalise_prefix(route.path_prefix))
        if key not in copies:
            current = self._hosts.get(key[0], {}).get(key[1])
            copies[key] = [] if current is None else list(current.entries)
        return copies[key]

    def _replace_prefixes(
        self, host: str, changed: dict[str, list[RouteEntry]]
    ) -> None:
        prefixes = dict(self._hosts.get(host, {}))
        for prefix, entries in changed.items():
            if entries:
                prefixes[prefix] = _make_prefix(entries)
            else:
                prefixes.pop(prefix, None)
        if prefixes:
            self._hosts[host] = prefixes
        else:
            self._hosts.pop(host, None)

    def _make_entries(
        self, published: tuple[services_lib.Service, ...]
    ) -> list[RouteEntry]:
        made: list[RouteEntry] = []
        for service in published:
            callers = _map_callers(service)
            made.extend(
                self._make_entry(service, route, callers)
                for route in service.routes
            )
        return made

    def _make_entry(
        self,
        service: services_lib.Service,
        route: services_lib.Route,
        callers: dict[str, str],
    ) -> RouteEntry:
        return RouteEntry(
            match=Match(
                service=service.name, route=route, version=self._version
            ),
            callers={
                digest: name
                for digest, name in callers.items()
                if name in route.callers
            },
            service_callers=callers,
        )


def _make_prefix(entries: list[RouteEntry]) -> PrefixRoutes:
    ordered = sorted(
        entries, key=lambda entry: (entry.match.service, entry.match.route.name)
    )
    methods: dict[str, RouteEntry] = {}
    for entry in ordered:
        for method in entry.match.route.methods or (ANY_METHOD,):
            methods.setdefault(method, entry)
    return PrefixRoutes(entries=tuple(ordered), methods=methods)


def _map_callers(service: services_lib.Service) -> dict[str, str]:
    return {
        digest: caller.name
        for caller in service.callers
        for digest in caller.digests
    }


def _list_keys(service: services_lib.Service | None) -> list[RouteKey]:
    if service is None:
        return []
    return [(service.name, route.name) for route in service.routes]
