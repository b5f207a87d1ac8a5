"""Tests of the explanation of a request."""

from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import explanation
from tests import fixtures

DIGEST = "sha256:" + "0a" * 32
ROUTE = services.Route(
    name="proofs",
    host="desk.example",
    path_prefix="/proofs",
    methods=("GET",),
    timeout_s=1.0,
    retries=1,
    priority=services.Priority.NORMAL,
    idempotent=True,
    callers=("salto",),
    services=("artwork",),
    max_body_bytes=0,
)
DESK = services.Service(
    name="desk",
    revision=1,
    callers=(
        services.Caller(name="salto", digests=(DIGEST,)),
        services.Caller(name="melo", digests=("sha256:" + "0b" * 32,)),
    ),
    routes=(ROUTE,),
    depends_on=(),
)


def _server(
    node_id: str, state: snapshots.ServerState
) -> snapshots.BackendServer:
    return snapshots.BackendServer(
        server_id=f"{node_id}/desk",
        incarnation=1,
        service="desk",
        node_id=node_id,
        slots=20,
        connections=100,
        state=state,
    )


def _node(node_id: str) -> snapshots.Node:
    return snapshots.Node(
        node_id=node_id,
        incarnation=1,
        failure_domain="a",
        region="r",
        http_address="127.0.0.1:1",
        control_address="tcp://127.0.0.1:2",
        public_key="",
    )


SNAPSHOT = snapshots.Snapshot(
    cluster_id="c",
    version=9,
    services=(DESK,),
    nodes=(_node("n1"), _node("n2")),
    servers=(
        _server("n1", snapshots.ServerState.SERVING),
        _server("n2", snapshots.ServerState.DRAINING),
    ),
)


def test_admitted_request_names_route_and_servers() -> None:
    """An allowed request is explained by its route, client and servers."""
    found = _explain("GET", sender=explanation.Sender(caller="salto"))
    assert (found.status, found.reason, found.client) == (
        0,
        "caller",
        "salto",
    )
    assert found.route == ROUTE and found.service == "desk"
    assert [s.server_id for s in found.servers] == ["n1/desk"]
    assert found.draining == ("n2/desk",)


def test_each_refusal_has_its_status_and_reason() -> None:
    """A refused request is explained by its status and reason."""
    sender = explanation.Sender
    cases = (
        ("POST", "/proofs", sender(), 405, "method-not-allowed"),
        ("GET", "/other", sender(), 404, "unknown-path"),
        ("GET", "/proofs", sender(), 401, "no-credential"),
        ("GET", "/proofs", sender(caller="x"), 401, "unknown-credential"),
        ("GET", "/proofs", sender(caller="melo"), 403, "forbidden"),
        ("GET", "/proofs", sender(service="booking"), 403, "forbidden"),
        ("GET", "/proofs", sender(service="artwork"), 0, "service"),
        ("GET", "/proofs", sender(token_digest=DIGEST), 0, "caller"),
    )
    for method, path, who, status, reason in cases:
        found = _explain(method, path=path, sender=who)
        assert (found.status, found.reason) == (status, reason), found


def _explain(
    method: str, *, path: str = "/proofs/7?x=1", sender: explanation.Sender
) -> explanation.Explanation:
    return explanation.explain_request(
        SNAPSHOT,
        method=method,
        url=f"http://desk.example:8080{path}",
        sender=sender,
    )


load_tests = fixtures.collect(__name__)
