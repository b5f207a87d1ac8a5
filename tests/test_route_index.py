"""Tests of route indexes that are derived from earlier ones."""

import dataclasses

import hypothesis
from hypothesis import strategies

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import route_changes
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import route_index
from lovagesaddle.core.routing import table as table_lib
from tests import fixtures
from tests import routing_mesh

HOSTS = ("a.example", "b.example")
PATHS = ("/", "/orders", "/orders/", "/orders/proofs")
METHODS = ("GET", "POST")
SERVICES = ("artwork", "orderdesk")
CALLERS = (
    (services.Caller(name="parish", digests=("sha256:1",)),),
    (services.Caller(name="parish", digests=("sha256:1", "sha256:2")),),
)

_ROUTES = strategies.builds(
    lambda name, host, path, methods, timeout_s: dataclasses.replace(
        routing_mesh.make_route(name, path=path, methods=methods),
        host=host,
        timeout_s=timeout_s,
    ),
    strategies.sampled_from(("r1", "r2", "r3", "r4")),
    strategies.sampled_from(HOSTS),
    strategies.sampled_from(PATHS),
    strategies.sampled_from(((), ("GET",), METHODS)),
    strategies.sampled_from((1.0, 2.0)),
)


def _build_service(
    name: str,
    routes: list[services.Route],
    callers: tuple[services.Caller, ...],
) -> services.Service:
    return services.Service(
        name=name,
        revision=1,
        callers=callers,
        routes=tuple(sorted(routes, key=lambda route: route.name)),
        depends_on=(),
    )


def _sort_services(
    drawn: list[services.Service],
) -> tuple[services.Service, ...]:
    return tuple(sorted(drawn, key=lambda service: service.name))


_SERVICES = strategies.lists(
    strategies.builds(
        _build_service,
        strategies.sampled_from(SERVICES),
        strategies.lists(
            _ROUTES, max_size=4, unique_by=lambda route: route.name
        ),
        strategies.sampled_from(CALLERS),
    ),
    max_size=2,
    unique_by=lambda service: service.name,
).map(_sort_services)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(_SERVICES, min_size=2, max_size=6))
def test_succeeding_tables_match_as_fresh_ones_do(
    versions: list[tuple[services.Service, ...]],
) -> None:
    """After any series of changes a table answers as if it were compiled."""
    held = delta.hash_snapshot(snapshots.Snapshot(cluster_id="c", version=1))
    table = table_lib.Table(held.snapshot)
    for number, published in enumerate(versions, start=2):
        target = delta.rehash_snapshot(
            held,
            dataclasses.replace(
                held.snapshot, version=number, services=published
            ),
        )
        held = delta.apply_delta(held, delta.compute_delta(held, target))
        assert held.digest == delta.hash_snapshot(target.snapshot).digest
        table = table_lib.Table(held.snapshot, table)
        fresh = table_lib.Table(target.snapshot)
        assert _describe(table) == _describe(fresh)


def _describe(table: table_lib.Table) -> list[object]:
    """Returns a table's answer to every request, without versions."""
    found: list[object] = []
    for host in HOSTS:
        for path in (*PATHS, "/orders/proofs/7"):
            for method in METHODS:
                answer = table.match(host=host, path=path, method=method)
                if isinstance(answer, table_lib.Miss):
                    found.append((answer.status, answer.reason, answer.allow))
                    continue
                access = table.authorise(
                    answer, table_lib.Credential(token_digest="sha256:2")
                )
                found.append((answer.service, answer.route, access))
    return found


def test_change_of_callers_reaches_routes_that_stay() -> None:
    """A new credential is known at routes that did not change themselves."""
    before = _build_service("orderdesk", [routing_mesh.make_route()], ())
    index = route_index.RouteIndex((before,), 1)
    after = dataclasses.replace(before, callers=CALLERS[1])
    later = index.make_successor((after,), 2)
    prefixes = later.get_prefixes(before.routes[0].host)
    assert prefixes is not None
    (prefix,) = prefixes.values()
    assert set(prefix.entries[0].service_callers) == {"sha256:1", "sha256:2"}


def test_equal_publication_shares_the_held_service() -> None:
    """Publishing an equal service keeps the object that is in force."""
    held = _build_service("orderdesk", [routing_mesh.make_route()], ())
    again = dataclasses.replace(
        held, routes=tuple(dataclasses.replace(each) for each in held.routes)
    )
    assert route_changes.share_routes(held, again) is held


load_tests = fixtures.collect(__name__)
