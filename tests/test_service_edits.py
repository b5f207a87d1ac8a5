"""Tests of edits of services."""

import dataclasses
import random

from lovagesaddle.core.configuration import service_edits
from lovagesaddle.core.model import services as services_lib
from tests import fixtures

SEEDS = range(60)
ROUNDS = 12


def test_edit_gives_exactly_the_target() -> None:
    """For random changes, an edit turns its base into exactly the target."""
    for seed in SEEDS:
        source = random.Random(seed)
        base: service_edits.Services = ()
        for _ in range(ROUNDS):
            target = _change(base, source)
            edit = service_edits.compute_edit(base, target)
            assert service_edits.apply_edit(base, edit) == target, seed
            base = target


def test_order_of_names_survives_an_edit() -> None:
    """Services and routes that are unsorted or repeated keep their order."""
    first = _make_service("a", ("r1", "r2", "r3"))
    base = (first, _make_service("b", ("r1",)))
    for target in (
        (base[1], base[0]),
        (dataclasses.replace(first, routes=first.routes[::-1]), base[1]),
        (dataclasses.replace(first, routes=first.routes[:1] * 2), base[1]),
        (first, first),
    ):
        edit = service_edits.compute_edit(base, target)
        assert service_edits.apply_edit(base, edit) == target


def test_what_did_not_change_is_shared() -> None:
    """A result reuses the base's objects for unchanged services and routes."""
    base = (_make_service("a", ("r1", "r2")), _make_service("b", ("r1",)))
    changed = dataclasses.replace(base[0].routes[0], timeout_s=9.0)
    target = (
        dataclasses.replace(
            base[0],
            routes=(changed, dataclasses.replace(base[0].routes[1])),
        ),
        dataclasses.replace(base[1]),
    )
    edit = service_edits.compute_edit(base, target)
    assert [e.service.routes for e in edit.edits] == [(changed,)]
    result = service_edits.apply_edit(base, edit)
    assert result[0].routes[1] is base[0].routes[1]
    assert result[1] is base[1]


def _change(
    base: service_edits.Services, source: random.Random
) -> service_edits.Services:
    by_name = {service.name: service for service in base}
    name = f"s{source.randrange(4)}"
    match source.randrange(4):
        case 0:
            by_name.pop(name, None)
        case 1:
            by_name[name] = _make_service(
                name, tuple(f"r{i}" for i in range(source.randrange(5)))
            )
        case _:
            service = by_name.get(name) or _make_service(name, ())
            by_name[name] = _change_service(service, source)
    return tuple(by_name[name] for name in sorted(by_name))


def _change_service(
    service: services_lib.Service, source: random.Random
) -> services_lib.Service:
    routes = {route.name: route for route in service.routes}
    for name in (f"r{source.randrange(6)}", f"r{source.randrange(6)}"):
        if source.random() < 0.4:
            routes.pop(name, None)
        else:
            routes[name] = _make_route(name, float(source.randrange(3)))
    return dataclasses.replace(
        service,
        revision=source.randrange(3),
        routes=tuple(routes[name] for name in sorted(routes)),
    )


def _make_service(name: str, routes: tuple[str, ...]) -> services_lib.Service:
    return services_lib.Service(
        name=name,
        revision=1,
        callers=(),
        routes=tuple(_make_route(route, 1.0) for route in routes),
        depends_on=(),
    )


def _make_route(name: str, timeout_s: float) -> services_lib.Route:
    return services_lib.Route(
        name=name,
        host="h.example",
        path_prefix=f"/{name}/",
        methods=(),
        timeout_s=timeout_s,
        retries=0,
        priority=services_lib.Priority.NORMAL,
        idempotent=True,
        callers=(),
        services=(),
        max_body_bytes=1,
    )


load_tests = fixtures.collect(__name__)
