"""Computes and applies edits of a set of services.

The result shares unchanged services and routes with the base, so that many
publications that differ in a few routes need little more memory than one.
"""

from collections.abc import Iterable
import dataclasses
import itertools

from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib

Services = tuple[services_lib.Service, ...]
Routes = tuple[services_lib.Route, ...]


def compute_edit(base: Services, target: Services) -> edits.ServicesEdit:
    """Returns the edit that turns `base` into exactly `target`."""
    if not _is_sorted(service.name for service in target):
        # An edit doesn't record the order of unchanged services.
        return edits.ServicesEdit(
            edits=tuple(_make_whole_edit(service) for service in target),
            is_whole=True,
        )
    by_name = {service.name: service for service in base}
    target_names = {service.name for service in target}
    return edits.ServicesEdit(
        edits=tuple(
            compute_service_edit(by_name.get(service.name), service)
            for service in target
            if not _is_equal(by_name.get(service.name), service)
        ),
        removed=tuple(name for name in by_name if name not in target_names),
    )


def apply_edit(base: Services, edit: edits.ServicesEdit) -> Services:
    """Applies `edit` to `base` and returns the resulting services."""
    if edit.is_whole:
        return tuple(changed.service for changed in edit.edits)
    by_name = {service.name: service for service in base}
    for name in edit.removed:
        by_name.pop(name, None)
    for changed in edit.edits:
        name = changed.service.name
        by_name[name] = apply_service_edit(by_name.get(name), changed)
    return tuple(by_name[name] for name in sorted(by_name))


def compute_service_edit(
    base: services_lib.Service | None, target: services_lib.Service
) -> edits.ServiceEdit:
    """Returns the edit that turns `base` into exactly `target`.

    Args:
      base: Service before the edit; None if it is added.
      target: Service after the edit.
    """
    if base is None or not _is_sorted(route.name for route in target.routes):
        return _make_whole_edit(target)
    by_name = {route.name: route for route in base.routes}
    target_names = {route.name for route in target.routes}
    changed = tuple(
        route
        for route in target.routes
        if not _is_equal(by_name.get(route.name), route)
    )
    return edits.ServiceEdit(
        service=dataclasses.replace(target, routes=changed),
        removed_routes=tuple(
            name for name in by_name if name not in target_names
        ),
    )


def apply_service_edit(
    base: services_lib.Service | None, edit: edits.ServiceEdit
) -> services_lib.Service:
    """Applies `edit` to `base` and returns the resulting service.

    Args:
      base: Service before the edit; None if it is added.
      edit: Edit that `compute_service_edit` returned for `base`.
    """
    if edit.is_whole or base is None:
        return edit.service
    return dataclasses.replace(
        edit.service, routes=_edit_routes(base.routes, edit)
    )


def _edit_routes(base: Routes, edit: edits.ServiceEdit) -> Routes:
    by_name = {route.name: route for route in base}
    for name in edit.removed_routes:
        by_name.pop(name, None)
    for route in edit.service.routes:
        by_name[route.name] = route
    return tuple(by_name[name] for name in sorted(by_name))


def _make_whole_edit(service: services_lib.Service) -> edits.ServiceEdit:
    return edits.ServiceEdit(service=service, is_whole=True)


def _is_equal(old: object, new: object) -> bool:
    return old is new or old == new


def _is_sorted(names: Iterable[str]) -> bool:
    """Returns whether names are sorted and none occurs twice."""
    return all(first < second for first, second in itertools.pairwise(names))
