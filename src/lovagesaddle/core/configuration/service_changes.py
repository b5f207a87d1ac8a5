"""Differences of services, route by route.

A configuration may hold thousands of routes of which one changes, so whatever
is done for each version costs the routes that changed and shares the others.
"""

from collections.abc import Iterator
import dataclasses

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteChange:
    """One route on both sides of a change.

    Attributes:
      old: The route before; None for one that was added.
      new: The route after; None for one that was removed.
    """

    old: services.Route | None
    new: services.Route | None


def list_route_changes(
    old: services.Service, new: services.Service
) -> Iterator[RouteChange]:
    """Yields the routes that differ; those shared by identity are skipped."""
    left = {route.name: route for route in old.routes}
    for route in new.routes:
        held = left.pop(route.name, None)
        if held is not route and held != route:
            yield RouteChange(old=held, new=route)
    for route in left.values():
        yield RouteChange(old=route, new=None)


def find_change(
    old: services.Service | None, new: services.Service
) -> snapshots.ServiceChange | None:
    """Returns what turns `old` into `new`; None where nothing differs.

    Args:
      old: None for a service that is added.
      new: The service after the change.
    """
    if old is None:
        return snapshots.ServiceChange(service=new)
    if old is new:
        return None
    changes = tuple(list_route_changes(old, new))
    if not changes and strip_routes(old) == strip_routes(new):
        return None
    changed = tuple(each.new for each in changes if each.new is not None)
    removed = tuple(
        each.old.name
        for each in changes
        if each.old is not None and each.new is None
    )
    return snapshots.ServiceChange(
        service=dataclasses.replace(new, routes=changed),
        removed_routes=removed,
    )


def apply_change(
    old: services.Service | None, change: snapshots.ServiceChange
) -> services.Service:
    """Returns the service after a change, sharing the routes that stay.

    Args:
      old: None for a service that is added.
      change: See `find_change`.
    """
    if old is None:
        return change.service
    routes = {route.name: route for route in old.routes}
    for name in change.removed_routes:
        routes.pop(name, None)
    for route in change.service.routes:
        routes[route.name] = route
    return dataclasses.replace(
        change.service, routes=tuple(routes[name] for name in sorted(routes))
    )


def share_routes(
    held: services.Service | None, new: services.Service
) -> services.Service:
    """Returns `new` with the held objects wherever they are equal."""
    if held is None or held is new:
        return new
    kept = {route.name: route for route in held.routes}
    routes = tuple(
        kept[route.name] if kept.get(route.name) == route else route
        for route in new.routes
    )
    if routes == held.routes and strip_routes(held) == strip_routes(new):
        return held
    return dataclasses.replace(new, routes=routes)


def strip_routes(service: services.Service) -> services.Service:
    """Returns what a service says beside its routes."""
    return dataclasses.replace(service, routes=())
