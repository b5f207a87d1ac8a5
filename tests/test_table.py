"""Tests of the routing table."""

import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import table
from tests import fixtures
from tests import routing_mesh


def _compile() -> table.Table:
    return table.Table(
        routing_mesh.make_snapshot(
            routing_mesh.make_route("site", path="/", methods=("GET",)),
            routing_mesh.make_route("confirm", path="/orders"),
            routing_mesh.make_route(
                "proof",
                path="/orders/proofs",
                methods=("GET", "HEAD"),
                callers=("parish",),
            ),
        )
    )


def _match(path: str, method: str = "GET") -> table.Match | table.Miss:
    return _compile().match(host=routing_mesh.HOST, path=path, method=method)


def test_longest_prefix_wins_on_segment_borders() -> None:
    """The longest prefix that ends at a segment border matches."""
    found = [
        match.route.name
        for path in ("/", "/ordersx", "/orders/proofs/7", "/orders/proofsx/")
        if isinstance(match := _match(path), table.Match)
    ]
    assert found == ["site", "site", "proof"], found


def test_method_of_a_longer_prefix_is_not_looked_up_in_a_shorter() -> None:
    """A missing method is a 405 with the sorted methods of the path."""
    miss = _match("/orders/proofs/7", "POST")
    assert isinstance(miss, table.Miss)
    assert (miss.status, miss.allow) == (405, ("GET", "HEAD"))


def test_unknown_host_and_path_are_404() -> None:
    """A host or path without a route is a miss with status 404."""
    compiled = table.Table(
        routing_mesh.make_snapshot(routing_mesh.make_route())
    )
    misses = [
        compiled.match(host="other", path="/orders", method="POST"),
        compiled.match(host=routing_mesh.HOST, path="/", method="POST"),
    ]
    statuses = [miss.status for miss in misses if isinstance(miss, table.Miss)]
    assert statuses == [404, 404]


def test_encoded_path_does_not_reach_a_looser_route() -> None:
    """An encoded or dotted path never bypasses the longest prefix."""
    encoded = _match("/%6frders/proofs/7")
    assert isinstance(encoded, table.Match)
    assert encoded.route.name == "proof"
    for path in (
        "/x/../orders/proofs",
        "/x/%2e%2E/orders",
        "/orders%2fproofs",
        "//orders/proofs",
        "/%256frders",
        "orders",
        "/a\\..\\b",
        "/a%00",
    ):
        miss = _match(path)
        assert isinstance(miss, table.Miss), path
        assert miss.status == 400, path


def test_host_is_matched_without_port_and_case() -> None:
    """The Host header's case and port don't change the route."""
    match = _compile().match(
        host=routing_mesh.HOST.upper() + ":8080", path="/", method="GET"
    )
    assert isinstance(match, table.Match)


def test_access_follows_the_routes_lists() -> None:
    """401 without a known token, 403 for a client that is not allowed."""
    compiled = _compile()
    match = compiled.match(
        host=routing_mesh.HOST, path="/orders", method="POST"
    )
    assert isinstance(match, table.Match)
    statuses = [
        compiled.authorise(match, credential).status
        for credential in (
            table.Credential(),
            table.Credential(token_digest="sha256:" + "c" * 64),
            table.Credential(token_digest=routing_mesh.OTHER_TOKEN),
            table.Credential(token_digest=routing_mesh.TOKEN),
            table.Credential(service="artwork"),
            table.Credential(service="booking"),
        )
    ]
    assert statuses == [401, 401, 403, 0, 0, 403], statuses


def test_candidates_leave_out_draining_and_ownerless_servers() -> None:
    """Candidates are only serving servers whose node is in the snapshot."""
    snapshot = routing_mesh.make_snapshot(routing_mesh.make_route(), count=2)
    leaving = routing_mesh.make_server(1, state=snapshots.ServerState.DRAINING)
    orphan = routing_mesh.make_server(9)
    compiled = table.Table(
        dataclasses.replace(
            snapshot, servers=(snapshot.servers[0], leaving, orphan)
        )
    )
    found = [each.server_id for each in compiled.list_candidates("desk")]
    assert found == ["n0/desk"], found


def test_open_route_takes_any_method_without_a_credential() -> None:
    """An open route without methods accepts any, without a credential."""
    route = dataclasses.replace(
        routing_mesh.make_route(methods=(), callers=()), is_open=True
    )
    compiled = table.Table(routing_mesh.make_snapshot(route))
    for method in ("GET", "PATCH", "PURGE"):
        match = compiled.match(
            host=routing_mesh.HOST, path="/orders/7", method=method
        )
        assert isinstance(match, table.Match)
        access = compiled.authorise(match, table.Credential())
        assert access.allowed, access


def test_prefix_with_a_slash_takes_only_what_is_below() -> None:
    """`/orders/` matches `/orders/` and `/orders/7`, but not `/orders`."""
    route = routing_mesh.make_route(path="/orders/")
    compiled = table.Table(routing_mesh.make_snapshot(route))
    found = {
        path: isinstance(
            compiled.match(host=routing_mesh.HOST, path=path, method="POST"),
            table.Match,
        )
        for path in ("/orders", "/orders/", "/orders/7", "/ordersx/7")
    }
    assert found == {
        "/orders": False,
        "/orders/": True,
        "/orders/7": True,
        "/ordersx/7": False,
    }


def test_change_of_members_keeps_the_compiled_routes() -> None:
    """Routes are reused, and compiled again only when services changed."""
    first = routing_mesh.make_snapshot(routing_mesh.make_route())
    later = dataclasses.replace(first, version=first.version + 1, servers=())
    other = dataclasses.replace(
        later,
        version=later.version + 1,
        services=routing_mesh.make_snapshot(
            routing_mesh.make_route(path="/jobs")
        ).services,
    )
    compiled = table.Table(first)
    kept = table.Table(later, compiled)
    changed = table.Table(other, kept)
    found = [
        isinstance(
            each.match(host=routing_mesh.HOST, path=path, method="POST"),
            table.Match,
        )
        for each in (compiled, kept, changed)
        for path in ("/orders", "/jobs")
    ]
    assert found == [True, False, True, False, False, True]
    assert kept.version == later.version
    assert kept.list_candidates(routing_mesh.SERVICE) == ()


def test_open_host_takes_every_path_below_its_prefixes() -> None:
    """If all routes of a host are open, malformed paths match as sent."""
    routes = (
        routing_mesh.make_route("all", path="/orders/", methods=()),
        routing_mesh.make_route("p", path="/orders/a/", methods=()),
    )
    opened = [dataclasses.replace(route, is_open=True) for route in routes]
    compiled = table.Table(routing_mesh.make_snapshot(*opened))
    for path, name in (
        ("/orders/a%2Fb", "all"),
        ("/orders//x", "all"),
        ("/orders/x//", "all"),
        ("/orders/50%25", "all"),
        ("/orders/a/../b", "p"),
        ("/orders/a/%00", "p"),
    ):
        match = compiled.match(host=routing_mesh.HOST, path=path, method="GET")
        assert isinstance(match, table.Match), path
        assert match.route.name == name, path


load_tests = fixtures.collect(__name__)
