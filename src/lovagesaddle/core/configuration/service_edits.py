"""Computes and applies edits of a set of services.

What did not change is shared between the base and the result, so that many
publications that differ in a few routes take the memory of one.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib

Services = tuple[services_lib.Service, ...]
Routes = tuple[services_lib.Route, ...]


def compute_edit(base: Services, target: Services) -> edits.ServicesEdit:
    """Returns what turns `base` into exactly `target`."""
    if not _is_sorted(service.name for service in target):
        # An edit says nothing of the order of what it leaves as it is.
        return edits.ServicesEdit(
            edits=tuple(_keep_whole(service) for service in target),
            is_whole=True,
        )
    held = {service.name: service for service in base}
    kept = {service.name for service in target}
    return edits.ServicesEdit(
        edits=tuple(
            compute_service_edit(held.get(service.name), service)
            for service in target
            if not _is_equal(held.get(service.name), service)
        ),
        removed=tuple(name for name in held if name not in kept),
    )


def apply_edit(base: Services, edit: edits.ServicesEdit) -> Services:
    """Returns the services that `edit` turns `base` into."""
    if edit.is_whole:
        return tuple(changed.service for changed in edit.edits)
    held = {service.name: service for service in base}
    for name in edit.removed:
        held.pop(name, None)
    for changed in edit.edits:
        name = changed.service.name
        held[name] = apply_service_edit(held.get(name), changed)
    return tuple(held[name] for name in sorted(held))


def compute_service_edit(
    base: services_lib.Service | None, target: services_lib.Service
) -> edits.ServiceEdit:
    """Returns what turns `base` into exactly `target`.

    Args:
      base: None for a service that is added.
      target: The service after the edit.
    """
    if base is None or not _is_sorted(route.name for route in target.routes):
        return _keep_whole(target)
    held = {route.name: route for route in base.routes}
    kept = {route.name for route in target.routes}
    changed = tuple(
        route
        for route in target.routes
        if not _is_equal(held.get(route.name), route)
    )
    return edits.ServiceEdit(
        service=dataclasses.replace(target, routes=changed),
        removed_routes=tuple(name for name in held if name not in kept),
    )


def apply_service_edit(
    base: services_lib.Service | None, edit: edits.ServiceEdit
) -> services_lib.Service:
    """Returns the service that `edit` turns `base` into.

    Args:
      base: None for a service that is added.
      edit: See `compute_service_edit`.
    """
    if edit.is_whole or base is None:
        return edit.service
    return dataclasses.replace(
        edit.service, routes=_apply_to_routes(base.routes, edit)
    )


def _apply_to_routes(base: Routes, edit: edits.ServiceEdit) -> Routes:
    held = {route.name: route for route in base}
    for name in edit.removed_routes:
        held.pop(name, None)
    for route in edit.service.routes:
        held[route.name] = route
    return tuple(held[name] for name in sorted(held))


def _keep_whole(service: services_lib.Service) -> edits.ServiceEdit:
    return edits.ServiceEdit(service=service, is_whole=True)


def _is_equal(held: object, new: object) -> bool:
    return held is new or held == new


def _is_sorted(names: Iterable[str]) -> bool:
    """Returns whether names rise, so that none stands twice."""
    return all(first < second for first, second in itertools.pairwise(names))
