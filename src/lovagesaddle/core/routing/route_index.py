"""The routes of all services, by host, path prefix and method.

An index never changes. The index of a newer publication shares all entries of
routes that did not change, so that it costs what changed.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Self

from lovagesaddle.core.configuration import route_changes
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.routing import paths

ANY_METHOD = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """The route that takes a request.

    Attributes:
      service: Name of the service.
      route: The route.
      version: Version of the snapshot that brought the route.
    """

    service: str
    route: services_lib.Route
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A route with what decides who may use it.

    Attributes:
      match: The route.
      callers: Names of the callers that may use it, by token digest.
      service_callers: Names of all callers of the service, by token digest.
    """

    match: Match
    callers: dict[str, str]
    service_callers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Prefix:
    """The routes of one path prefix at one host.

    Attributes:
      targets: Sorted by service and route; the first of a method takes it.
      methods: What takes each method; `ANY_METHOD` takes the others.
    """

    targets: tuple[Target, ...]
    methods: dict[str, Target]


RouteKey = tuple[str, str]
Place = tuple[str, str]
Prefixes = dict[str, Prefix]


class RouteIndex:
    """Finds routes by name and the routes of a host.

    Args:
      published: Services, sorted by name.
      version: Version of their snapshot.

    Attributes:
      services: The services that it was made from.
    """

    def __init__(
        self, published: tuple[services_lib.Service, ...], version: int
    ) -> None:
        self.services = published
        self._version = version
        self._hosts: dict[str, Prefixes] = {}
        self._targets: dict[RouteKey, Target] = {}
        self._replace((), self._make_targets(published))

    def succeed(
        self, published: tuple[services_lib.Service, ...], version: int
    ) -> Self:
        """Returns the index of newer services, sharing what stays."""
        if published is self.services:
            return self
        made = type(self).__new__(type(self))
        made.services = published
        made._version = version
        made._hosts = dict(self._hosts)
        made._targets = dict(self._targets)
        made._change(self.services, published)
        return made

    def find_prefixes(self, host: str) -> Prefixes | None:
        """Returns the path prefixes of a normalised host, None for none."""
        return self._hosts.get(host)

    def get_target(self, match: Match) -> Target:
        """Returns the target of a match that this index gave."""
        return self._targets[match.service, match.route.name]

    def _change(
        self,
        old: tuple[services_lib.Service, ...],
        new: tuple[services_lib.Service, ...],
    ) -> None:
        held = {service.name: service for service in old}
        removed: list[RouteKey] = []
        added: list[Target] = []
        for service in new:
            before = held.pop(service.name, None)
            if before is service:
                continue
            if before is None or before.callers != service.callers:
                removed.extend(_list_keys(before))
                added.extend(self._make_targets((service,)))
                continue
            callers = _map_callers(service)
            for each in route_changes.list_route_changes(before, service):
                if each.old is not None:
                    removed.append((service.name, each.old.name))
                if each.new is not None:
                    added.append(self._make_target(service, each.new, callers))
        for gone in held.values():
            removed.extend(_list_keys(gone))
        self._replace(removed, added)

    def _replace(
        self, removed: Iterable[RouteKey], added: Iterable[Target]
    ) -> None:
        """Takes targets out and puts others in, copying what they touch."""
        touched: dict[Place, list[Target]] = {}
        for key in removed:
            target = self._targets.pop(key)
            self._touch(touched, target).remove(target)
        for target in added:
            match = target.match
            self._targets[match.service, match.route.name] = target
            self._touch(touched, target).append(target)
        by_host: dict[str, dict[str, list[Target]]] = collections.defaultdict(
            dict
        )
        for (host, prefix), targets in touched.items():
            by_host[host][prefix] = targets
        for host, changed in by_host.items():
            self._replace_prefixes(host, changed)

    def _touch(
        self, touched: dict[Place, list[Target]], target: Target
    ) -> list[Target]:
        """Returns the targets at the place of a route, for changing."""
        route = target.match.route
        place = (route.host, paths.normalise_prefix(route.path_prefix))
        if place not in touched:
            held = self._hosts.get(place[0], {}).get(place[1])
            touched[place] = [] if held is None else list(held.targets)
        return touched[place]

    def _replace_prefixes(
        self, host: str, changed: dict[str, list[Target]]
    ) -> None:
        prefixes = dict(self._hosts.get(host, {}))
        for prefix, targets in changed.items():
            if targets:
                prefixes[prefix] = _make_prefix(targets)
            else:
                prefixes.pop(prefix, None)
        if prefixes:
            self._hosts[host] = prefixes
        else:
            self._hosts.pop(host, None)

    def _make_targets(
        self, published: tuple[services_lib.Service, ...]
    ) -> list[Target]:
        made: list[Target] = []
        for service in published:
            callers = _map_callers(service)
            made.extend(
                self._make_target(service, route, callers)
                for route in service.routes
            )
        return made

    def _make_target(
        self,
        service: services_lib.Service,
        route: services_lib.Route,
        callers: dict[str, str],
    ) -> Target:
        return Target(
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


def _make_prefix(targets: list[Target]) -> Prefix:
    ordered = sorted(
        targets, key=lambda each: (each.match.service, each.match.route.name)
    )
    methods: dict[str, Target] = {}
    for target in ordered:
        for method in target.match.route.methods or (ANY_METHOD,):
            methods.setdefault(method, target)
    return Prefix(targets=tuple(ordered), methods=methods)


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
