"""Tests of configurations with many routes on nodes with slow links."""

import dataclasses
import random
import string

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import table as table_lib
from tests import fixtures
from tests import mesh as mesh_lib

ROUTES = 1600
ADDED_ROUTES = 1440
DOMAINS = ("a", "b", "c")
NODES_PER_DOMAIN = 28
REPLICAS = 6
# 2.23 Mbit/s, the link of a VM that also runs a backend server.
LINK_BYTES_PER_S = 278_750
# Limit for an accepted version to be in force at every node.
IN_FORCE_S = 2.0
# Operators publish again as soon as their last publication is answered.
STORM_CHANGES = 25
STORM_GAP_S = 0.4
SETTLE_S = 15.0


def _draw_name(random_source: random.Random) -> str:
    return "".join(random_source.choices(string.ascii_lowercase, k=5))


def _make_route(number: int, random_source: random.Random) -> services.Route:
    host = f"host{number % 8}.example"
    path = f"/{_draw_name(random_source)}/{_draw_name(random_source)}/"
    return services.Route(
        name=f"r-{number:05d}@{host}{path}",
        host=host,
        path_prefix=path,
        methods=(),
        timeout_s=1.5,
        retries=1,
        priority=1,
        idempotent=True,
        callers=(),
        services=(),
        max_body_bytes=67_108_864,
        is_open=True,
        target_latency_s=0.6,
    )


def _make_services(
    count: int, *, seed: int = 1
) -> tuple[services.Service, ...]:
    """Returns two services that share `count` routes."""
    random_source = random.Random(seed)
    routes = [_make_route(number, random_source) for number in range(count)]
    return tuple(
        dataclasses.replace(
            mesh_lib.make_service(name), routes=tuple(routes[turn::2])
        )
        for turn, name in enumerate(("artwork", "orderdesk"))
    )


def _change_route(
    published: tuple[services.Service, ...], number: int, timeout_s: float
) -> tuple[services.Service, ...]:
    """Returns fresh copies of all services with one route changed.

    Each publication is decoded separately, so it shares no objects with the
    one before.
    """
    copies = []
    for service in published:
        routes = [dataclasses.replace(route) for route in service.routes]
        if service.name == "orderdesk":
            routes[number] = dataclasses.replace(
                routes[number], timeout_s=timeout_s
            )
        copies.append(dataclasses.replace(service, routes=tuple(routes)))
    return tuple(copies)


def _start_mesh(published: tuple[services.Service, ...]) -> mesh_lib.Mesh:
    mesh = mesh_lib.Mesh(replica_count=REPLICAS, link_rate=LINK_BYTES_PER_S)
    for domain in DOMAINS:
        mesh.add_nodes(NODES_PER_DOMAIN, domain)
    mesh.run(3)
    mesh.publish_services(*published)
    mesh.run(10)
    mesh.run_until_converged()
    return mesh


def _measure_lags(
    mesh: mesh_lib.Mesh,
    accepted: dict[int, float],
    lags: dict[int, float],
    limit_s: float,
) -> None:
    """Records how long each version took to be in force at every node.

    Args:
      mesh: Mesh, which runs for `limit_s`.
      accepted: Time at which each version was accepted, in virtual seconds.
      lags: Receives the time that each version took, in seconds; versions
        that are not in force at the end are left out.
      limit_s: Virtual time to run for, in seconds.
    """
    end = mesh.now + limit_s
    while mesh.now < end:
        mesh.run(mesh_lib.TICK_S)
        lowest = min(mesh.get_versions().values())
        for version, moment in accepted.items():
            if lowest >= version and version not in lags:
                lags[version] = mesh.now - moment


def _apply_publish(
    state: state_lib.State,
    version: int,
    published: tuple[services.Service, ...],
) -> state_lib.State:
    command = commands.PublishServices(
        publish_id=f"p{version}",
        operator="ana",
        base_version=state.publication_version,
        services=published,
    )
    return state_lib.apply_command(state, version, command).state


def _publish_twice(
    count: int,
) -> tuple[delta.HashedSnapshot, delta.HashedSnapshot]:
    """Returns a snapshot of `count` routes and one with a route changed."""
    published = _make_services(count)
    before = _apply_publish(state_lib.make_initial_state(), 1, published)
    after = _apply_publish(before, 2, _change_route(published, 3, 2.5))
    base = delta.hash_snapshot(before.snapshot)
    return base, state_lib.rehash_state(base, after)


def test_update_of_one_route_does_not_carry_the_others() -> None:
    """The update of one route does not grow with the number of routes.

    It may be 10 % larger with ten times the routes.
    """
    sizes = []
    for count in (ROUTES // 10, ROUTES):
        change = delta.compute_delta(*_publish_twice(count))
        sizes.append(len(wire.encode(messages.DeltaPush(delta=change))))
    small, large = sizes
    # The digests are equally incompressible in both updates.
    assert large <= small * 1.1, sizes


def test_changes_in_quick_succession_are_in_force_in_time() -> None:
    """Versions published every 0.4 s do not accumulate on slow links."""
    published = _make_services(ROUTES)
    mesh = _start_mesh(published)
    accepted: dict[int, float] = {}
    lags: dict[int, float] = {}
    for turn in range(STORM_CHANGES):
        published = _change_route(published, turn, 2.0 + turn)
        accepted[mesh.publish_services(*published)] = mesh.now
        _measure_lags(mesh, accepted, lags, STORM_GAP_S)
    _measure_lags(mesh, accepted, lags, SETTLE_S)
    assert len(lags) == STORM_CHANGES
    assert max(lags.values()) <= IN_FORCE_S, lags


def test_many_added_routes_are_in_force_in_time() -> None:
    """A configuration that nearly doubles is in force within 2 s."""
    published = _make_services(ROUTES)
    mesh = _start_mesh(published)
    larger = _make_services(ROUTES + ADDED_ROUTES)
    version = mesh.publish_services(*larger)
    lags: dict[int, float] = {}
    _measure_lags(mesh, {version: mesh.now}, lags, SETTLE_S)
    assert lags[version] <= IN_FORCE_S, lags


def test_unchanged_routes_are_not_compiled_again() -> None:
    """A new table reuses the entries of routes that did not change."""
    base, target = _publish_twice(ROUTES)
    received = delta.apply_delta(base, delta.compute_delta(base, target))
    first = table_lib.Table(base.snapshot)
    second = table_lib.Table(received.snapshot, first)
    reused = sum(
        _match(first, route) is _match(second, route)
        for service in base.snapshot.services
        for route in service.routes
    )
    assert reused == ROUTES - 1


def _match(
    table: table_lib.Table, route: services.Route
) -> table_lib.Match | table_lib.Miss:
    return table.match(host=route.host, path=route.path_prefix, method="GET")


load_tests = fixtures.collect(__name__)
