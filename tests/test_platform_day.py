"""Tests of normal operation on the platform with real processes."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import functools

from tests import fixtures
from tests import nodes
from tests import platform_stand_in

CONTENT_FIRST = platform_stand_in.make_document("00000003")
CALLS = 40
RUN_S = 0.5


@contextlib.contextmanager
def _start_platform() -> Iterator[
    tuple[platform_stand_in.Platform, list[platform_stand_in.BackendServer]]
]:
    """Runs the programs until they serve requests by a first document."""
    with contextlib.ExitStack() as stack:
        folder = fixtures.make_folder(stack)
        platform = stack.enter_context(platform_stand_in.Platform(folder))
        servers = [
            platform.open_server(ip, f"i-{number}")
            for number, ip in enumerate(platform.nodes)
        ]
        assert platform.publish(CONTENT_FIRST, "00000000") == 200
        for ip in platform.nodes:
            nodes.wait_for(
                functools.partial(platform.is_ready, ip), f"{ip} ready"
            )
        for ip in platform.nodes:
            nodes.wait_for(
                functools.partial(_is_served, platform, ip), f"{ip} to serve"
            )
        yield platform, servers


def _is_served(platform: platform_stand_in.Platform, ip: str) -> bool:
    return _ask(platform, ip, "probe").status == 200


def _ask(
    platform: platform_stand_in.Platform, ip: str, request_id: str
) -> nodes.Reply:
    return platform_stand_in.ask(platform.get_outbound(ip), request_id)


def test_normal_operation() -> None:
    """Documents, heartbeats and requests work as the platform specifies."""
    with _start_platform() as (platform, servers):
        _check_requests(platform, servers)
        _check_documents(platform)
        _check_changed_routes(platform)
        _check_draining_server(platform, servers)


def _check_requests(
    platform: platform_stand_in.Platform,
    servers: list[platform_stand_in.BackendServer],
) -> None:
    for server in servers:
        server.seen.clear()
    for number in range(CALLS):
        ip = platform.nodes[number % 2]
        reply = _ask(platform, ip, f"r-{number}")
        assert (reply.status, reply.body) == (200, b"ran body")
        assert reply.headers[platform_stand_in.REQUEST_ID] == f"r-{number}"
        assert platform_stand_in.STAMP in reply.headers
    seen = [each for server in servers for each in server.seen]
    ids = [_get(each, platform_stand_in.REQUEST_ID) for each in seen]
    assert sorted(ids) == sorted(f"r-{n}" for n in range(CALLS))
    for each in seen:
        assert (each["method"], each["path"]) == ("POST", "/orders/7")
        assert _get(each, platform_stand_in.CALLER) == platform_stand_in.SERVICE
        assert 0 < int(_get(each, platform_stand_in.DEADLINE)) <= 3000
    missing = platform_stand_in.ask(
        platform.get_outbound(platform.nodes[0]), "r-x", path="/none/7"
    )
    assert missing.status == 404


def _get(headers: dict[str, str], name: str) -> str:
    lowered = {key.lower(): value for key, value in headers.items()}
    return lowered[name.lower()]


def _check_documents(platform: platform_stand_in.Platform) -> None:
    """Checks that each replica returns the published bytes.

    A resend is accepted again, and a conflicting document is refused.
    """
    for ip in platform.controls:
        reply = platform.read(ip)
        assert (reply.status, reply.body) == (200, CONTENT_FIRST), ip
    assert platform.publish(CONTENT_FIRST, "00000000") == 200
    other = platform_stand_in.make_document("00000003", timeout_ms=9)
    assert platform.publish(other, "00000000") == 412
    assert platform.publish(other, "00000003") == 400
    assert platform.publish(CONTENT_FIRST[:-5], "00000003") == 400
    assert platform.read(platform.controls[0]).body == CONTENT_FIRST


def _check_changed_routes(platform: platform_stand_in.Platform) -> None:
    """Checks that each changed document comes into force at every node."""
    changed = platform_stand_in.make_document("0000000a", prefix="/jobs/")
    assert platform.publish(changed, "00000003") == 200
    for ip in platform.nodes:
        address = platform.get_outbound(ip)

        def is_changed(address: str = address) -> bool:
            old = platform_stand_in.ask(address, "old")
            new = platform_stand_in.ask(address, "new", path="/jobs/1")
            return (old.status, new.status) == (404, 200)

        nodes.wait_for(is_changed, f"the new document at {ip}")
    back = platform_stand_in.make_document("0000000c")
    assert platform.publish(back, "0000000a") == 200
    for ip in platform.nodes:
        nodes.wait_for(
            functools.partial(_is_served, platform, ip), "the old routes"
        )


def _check_draining_server(
    platform: platform_stand_in.Platform,
    servers: list[platform_stand_in.BackendServer],
) -> None:
    """Checks that a server gets no new request once it reported draining."""
    leaving, staying = servers
    leaving.stop_heartbeats()
    assert leaving.send_heartbeat("draining") == 200
    leaving.seen.clear()
    for number in range(CALLS):
        ip = platform.nodes[number % 2]
        assert _ask(platform, ip, f"d-{number}").status == 200
    assert not leaving.seen
    assert len(staying.seen) >= CALLS


def test_planned_stop_of_a_node_cuts_nothing() -> None:
    """A stopping node answers its requests and reports that it isn't ready."""
    with (
        _start_platform() as (platform, servers),
        futures.ThreadPoolExecutor(CALLS) as pool,
    ):
        for server in servers:
            server.run_s = RUN_S
        stopped, _ = platform.nodes
        replies = [
            pool.submit(_ask, platform, stopped, f"s-{number}")
            for number in range(4)
        ]
        nodes.wait_for(
            lambda: sum(len(server.seen) for server in servers) >= 4,
            "the requests to run",
        )
        platform.programs[stopped].terminate()
        nodes.wait_for(
            lambda: not platform.is_ready(stopped),
            "the node to report not ready",
        )
        assert [each.result().status for each in replies] == [200] * 4
        assert platform.programs[stopped].wait() == 0
        assert _is_served(platform, platform.nodes[1])


load_tests = fixtures.collect(__name__)
