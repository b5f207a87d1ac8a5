"""Builders of small snapshots, routes and servers for tests of calls."""

from collections.abc import Sequence

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import call_chain
from lovagesaddle.core.routing import call_events
from lovagesaddle.core.routing import table
from lovagesaddle.http import hop

HOST = "desk.example"
TOKEN = "sha256:" + "a" * 64
OTHER_TOKEN = "sha256:" + "b" * 64
SERVICE = "desk"


def make_route(
    name: str = "confirm",
    *,
    path: str = "/orders",
    methods: Sequence[str] = ("POST",),
    idempotent: bool = False,
    retries: int = 0,
    timeout_s: float = 1.0,
    priority: int = services.Priority.NORMAL,
    callers: Sequence[str] = ("foundation",),
) -> services.Route:
    """Returns a route of the service `desk`."""
    return services.Route(
        name=name,
        host=HOST,
        path_prefix=path,
        methods=tuple(methods),
        timeout_s=timeout_s,
        retries=retries,
        priority=priority,
        idempotent=idempotent,
        callers=tuple(callers),
        services=("artwork",),
        max_body_bytes=1_000_000,
    )


def make_service(*routes: services.Route) -> services.Service:
    """Returns the service `desk` with two callers."""
    return services.Service(
        name=SERVICE,
        revision=1,
        callers=(
            services.Caller(name="foundation", digests=(TOKEN,)),
            services.Caller(name="parish", digests=(OTHER_TOKEN,)),
        ),
        routes=routes,
        depends_on=(),
    )


def make_node(number: int, domain: str) -> snapshots.Node:
    """Returns node `n<number>`."""
    return snapshots.Node(
        node_id=f"n{number}",
        incarnation=1,
        failure_domain=domain,
        region="r",
        http_address=f"127.0.0.1:{8000 + number}",
        control_address=f"tcp://127.0.0.1:{9000 + number}",
        public_key="",
    )


def make_server(
    number: int,
    *,
    state: snapshots.ServerState = snapshots.ServerState.SERVING,
) -> snapshots.BackendServer:
    """Returns the server of node `n<number>` for the service `desk`."""
    return snapshots.BackendServer(
        server_id=f"n{number}/{SERVICE}",
        incarnation=1,
        service=SERVICE,
        node_id=f"n{number}",
        slots=20,
        connections=100,
        state=state,
    )


def make_call_request(
    request_id: str, *, now: float, timeout_s: float
) -> call_events.CallRequest:
    """Returns a caller's request on a route with a timeout."""
    return call_events.CallRequest(
        request_id=request_id,
        service=SERVICE,
        route=make_route(timeout_s=timeout_s),
        version=1,
        chain=make_chain(),
        arrived_at=now,
    )


def make_run_request(attempt_id: str) -> hop.RunRequest:
    """Returns an attempt on the server of node `n0`."""
    server = make_server(0)
    return hop.RunRequest(
        attempt_id=attempt_id,
        server_id=server.server_id,
        incarnation=server.incarnation,
        method="POST",
        target="/orders",
        headers=(),
        body=b"",
        remaining_ms=1000,
        priority=services.Priority.NORMAL,
        fingerprint=bytes(16),
    )


def make_snapshot(
    *routes: services.Route, count: int = 3, version: int = 7
) -> snapshots.Snapshot:
    """Returns a snapshot with `count` servers over three failure domains."""
    return snapshots.Snapshot(
        cluster_id="test",
        version=version,
        services=(make_service(*routes),),
        nodes=tuple(make_node(each, f"d{each % 3}") for each in range(count)),
        servers=tuple(make_server(each) for each in range(count)),
    )


def make_candidates(
    count: int, *, slots: int = 20, domains: int = 3
) -> tuple[table.Candidate, ...]:
    """Returns servers `s0`, `s1`... spread over `domains` failure domains."""
    return tuple(
        table.Candidate(
            server_id=f"s{each}",
            incarnation=1,
            node_id=f"n{each}",
            failure_domain=f"d{each % domains}",
            http_address=f"127.0.0.1:{8000 + each}",
            slots=slots,
        )
        for each in range(count)
    )


def make_chain(
    *, remaining_s: float | None = None, depth: int = 0
) -> call_chain.Chain:
    """Returns the call chain of a caller's request, or of a nested one."""
    return call_chain.Chain(
        request_id="r",
        depth=depth,
        remaining_s=remaining_s,
        may_retry=not depth,
    )
