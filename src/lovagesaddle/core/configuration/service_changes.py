"""Differences of services, route by route.

A configuration may hold thousands of routes of which one changes, so whatever
is done for each version costs the routes that changed and shares the others.
"""

from collections.abc import Iterator
import dataclasses

from lovagesaddle.core.model import services


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
