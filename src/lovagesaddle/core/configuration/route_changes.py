"""Compares two states of a service route by route and reuses equal routes.

A configuration may have thousands of routes of which one changes, so the work
for each version is limited to changed routes, and the others are shared.
"""

from collections.abc import Iterator
import dataclasses

from lovagesaddle.core.model import services


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteChange:
    """A route before and after a change.

    Attributes:
      old: Route before the change; None if it was added.
      new: Route after the change; None if it was removed.
    """

    old: services.Route | None
    new: services.Route | None


def list_route_changes(
    old: services.Service, new: services.Service
) -> Iterator[RouteChange]:
    """Yields the routes that were added, changed or removed.

    Routes that are the same object in both services are skipped without
    comparing their fields.
    """
    remaining = {route.name: route for route in old.routes}
    for route in new.routes:
        previous = remaining.pop(route.name, None)
        if previous is not route and previous != route:
            yield RouteChange(old=previous, new=route)
    for route in remaining.values():
        yield RouteChange(old=route, new=None)


def share_routes(
    old: services.Service | None, new: services.Service
) -> services.Service:
    """Returns `new` with equal objects replaced by those of `old`."""
    if old is None or old is new:
        return new
    old_routes = {route.name: route for route in old.routes}
    routes = tuple(
        old_routes[route.name] if old_routes.get(route.name) == route else route
        for route in new.routes
    )
    if routes == old.routes and strip_routes(old) == strip_routes(new):
        return old
    return dataclasses.replace(new, routes=routes)


def strip_routes(service: services.Service) -> services.Service:
    """Returns the service without its routes."""
    return dataclasses.replace(service, routes=())
