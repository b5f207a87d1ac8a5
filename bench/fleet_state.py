"""Builds snapshots of a chosen size for the measurements."""

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots

NODES_PER_SERVICE = 19
FAILURE_DOMAINS = 6
REGIONS = 3
ROUTES_PER_SERVICE = 6
CALLERS_PER_SERVICE = 8
DIGEST = "sha256:" + "ab" * 32
PUBLIC_KEY = "k" * 40


def build_snapshot(node_count: int) -> snapshots.Snapshot:
    """Returns a snapshot with one backend server for each node.

    Args:
      node_count: Number of nodes, spread over failure domains and services.
    """
    service_count = max(1, round(node_count / NODES_PER_SERVICE))
    return snapshots.Snapshot(
        cluster_id="bench",
        version=1,
        services=tuple(_build_service(i) for i in range(service_count)),
        nodes=tuple(_build_node(i) for i in range(node_count)),
        servers=tuple(
            _build_server(i, i % service_count) for i in range(node_count)
        ),
    )


def _build_service(index: int) -> services.Service:
    callers = tuple(
        services.Caller(name=f"caller-{i}", digests=(DIGEST,))
        for i in range(CALLERS_PER_SERVICE)
    )
    routes = tuple(
        services.Route(
            name=f"route-{i}",
            host=f"service-{index:03d}.mesh.example",
            path_prefix=f"/path-{i}",
            methods=("GET", "POST"),
            timeout_s=2.0,
            retries=2,
            priority=services.Priority.NORMAL,
            idempotent=i % 2 == 0,
            callers=tuple(caller.name for caller in callers),
            services=(),
            max_body_bytes=1 << 20,
        )
        for i in range(ROUTES_PER_SERVICE)
    )
    return services.Service(
        name=f"service-{index:03d}",
        revision=1,
        callers=callers,
        routes=routes,
        depends_on=(),
    )


def _build_node(index: int) -> snapshots.Node:
    domain = index % FAILURE_DOMAINS
    return snapshots.Node(
        node_id=f"node-{index:05d}",
        incarnation=1_760_000_000_000,
        failure_domain=f"domain-{domain}",
        region=f"region-{domain % REGIONS}",
        http_address=f"10.0.{index // 250}.{index % 250}:8080",
        control_address=f"tcp://10.0.{index // 250}.{index % 250}:8081",
        public_key=PUBLIC_KEY,
    )


def _build_server(index: int, service: int) -> snapshots.BackendServer:
    node_id = f"node-{index:05d}"
    name = f"service-{service:03d}"
    return snapshots.BackendServer(
        server_id=f"{node_id}/{name}",
        incarnation=1_760_000_000_000,
        service=name,
        node_id=node_id,
        slots=20,
        connections=100,
        state=snapshots.ServerState.SERVING,
    )
