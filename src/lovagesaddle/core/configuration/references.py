"""Checks that services refer only to services that exist."""

from collections.abc import Iterator

from lovagesaddle.core.model import services


def check_references(
    published: tuple[services.Service, ...],
) -> tuple[str, ...]:
    """Returns one error message for each reference to a missing service."""
    names = {service.name for service in published}
    causes: list[str] = []
    for service in published:
        for needed in service.depends_on:
            if needed not in names:
                causes.append(
                    f'service "{needed}" does not exist but is needed by'
                    f' service "{service.name}"'
                )
        for route in service.routes:
            # There may be thousands of routes, and most name no service.
            if route.services or route.split:
                causes.extend(_check_route(service, route, names))
    return tuple(causes)


def _check_route(
    service: services.Service, route: services.Route, names: set[str]
) -> Iterator[str]:
    for client in route.services:
        if client not in names:
            yield (
                f'service "{client}" does not exist but may use route'
                f' "{route.name}" of service "{service.name}"'
            )
    for part in route.split:
        if part.service not in names:
            yield (
                f'service "{part.service}" does not exist but takes a share of'
                f' route "{route.name}" of service "{service.name}"'
            )
