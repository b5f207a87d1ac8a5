"""The operator's calls on roll-outs, against running replicas."""

import json
import time

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.model import commands
from lovagesaddle.http import wsgi
from lovagesaddle.platform import heartbeats
from lovagesaddle.platform import operator_endpoints
from lovagesaddle.platform import rollout_endpoint
from tests import control_cluster
from tests import fixtures
from tests import mesh
from tests import nodes

SERVICE = "orderdesk"
RETRIED = 503
ORDER = {"Service": SERVICE, "TargetVersion": "v2", "RampS": 12}


def _call(
    cluster: control_cluster.ControlCluster, name: str, path: str, body: bytes
) -> wsgi.Answer:
    """Calls one replica; a read if there is no body."""
    forwarder = cluster.programs[name].forwarder
    return rollout_endpoint.RolloutEndpoint(
        forwarder, operator_endpoints.ConfigurationEndpoint(forwarder)
    ).answer(
        wsgi.IncomingRequest(
            method="POST" if body else "GET",
            target=path,
            path=path,
            headers={},
            content_length=len(body),
            read_body=lambda: body,
            is_gone=lambda: False,
            arrived_at=time.monotonic(),
        )
    )


def _repeat(
    cluster: control_cluster.ControlCluster, path: str, body: bytes = b""
) -> tuple[int, dict[str, str]]:
    """Calls every running replica until one answers; all then say the same."""
    answers: list[wsgi.Answer] = []

    def is_answered() -> bool:
        for name in cluster.list_running():
            answer = _call(cluster, name, path, body)
            if answer.status != RETRIED:
                answers.append(answer)
        return bool(answers)

    nodes.wait_for(is_answered, "an answer of a leader")
    (found,) = {(answer.status, answer.body) for answer in answers}
    return found[0], json.loads(found[1])


def _order(cluster: control_cluster.ControlCluster, **changed: object) -> int:
    body = json.dumps(ORDER | changed).encode()
    return _repeat(cluster, rollout_endpoint.START_PATH, body)[0]


def _read(
    cluster: control_cluster.ControlCluster, service: str = SERVICE
) -> tuple[int, dict[str, str]]:
    return _repeat(cluster, rollout_endpoint.READ_PATH + service)


def _publish(cluster: control_cluster.ControlCluster) -> None:
    leader = cluster.programs[cluster.find_leader()]
    command = commands.PublishServices(
        publish_id="p",
        operator="ana",
        base_version=0,
        services=(mesh.make_service(SERVICE),),
    )
    nodes.wait_for(
        lambda: leader.forwarder.publish(command, 1.0).map(bool).value_or(None),
        "the publication",
    )


def test_orders_are_acknowledged_again_and_outlive_the_leader() -> None:
    """An equal order is repeated, a differing one waits for its end.

    State and order survive the loss of the leader and of all replicas.
    """
    with control_cluster.ControlCluster(rollback_bound_s=5.0) as cluster:
        _publish(cluster)
        assert _order(cluster, Service="unknown") == 422
        assert _read(cluster)[0] == 404
        assert _order(cluster) == 200
        assert _order(cluster) == 200
        assert _order(cluster, TargetVersion="v3") == 409
        running = (200, {"State": "running", "TargetVersion": "v2"})
        assert _read(cluster) == running
        leader = cluster.find_leader()
        cluster.stop(leader)
        assert _read(cluster) == running
        assert _order(cluster) == 200
        for name in cluster.list_running():
            cluster.stop(name)
        for replica in cluster.replicas:
            cluster.start(replica.replica_id)
        assert _read(cluster) == running
        assert _order(cluster, RampS=16) == 409


def test_a_replica_without_a_leader_refuses_for_now() -> None:
    """A 4xx would end the operator's call."""
    with control_cluster.ControlCluster(rollback_bound_s=5.0) as cluster:
        leader = cluster.find_leader()
        alone = next(name for name in cluster.programs if name != leader)
        for name in tuple(cluster.programs):
            if name != alone:
                cluster.stop(name)
        cluster.wait_for_status(alone, lambda status: not status.leader_id)
        body = json.dumps(ORDER).encode()
        for path, content in (
            (rollout_endpoint.START_PATH, body),
            (rollout_endpoint.READ_PATH + SERVICE, b""),
        ):
            assert _call(cluster, alone, path, content).status == RETRIED


def test_malformed_orders_are_refused() -> None:
    """Each names what is wrong, and none ends the process."""
    bad = (
        b"",
        b"{}",
        b"[" * 100_000,
        json.dumps(ORDER | {"RampS": 0}).encode(),
        json.dumps(ORDER | {"RampS": "12"}).encode(),
        json.dumps(ORDER | {"TargetVersion": ""}).encode(),
        json.dumps(ORDER | {"Service": 7}).encode(),
        b'{"Service":"a","TargetVersion":"b","RampS":1e999}',
    )
    for content in bad:
        try:
            rollout_endpoint.parse_order(content)
        except errors.LovagesaddleError as error:
            assert error.cause, content
        else:
            raise AssertionError(content)


def test_versions_are_read_only_where_they_are_rolled_out() -> None:
    """Elsewhere the field may be anything and changes nothing."""
    beat = {
        "Service": SERVICE,
        "Address": "10.0.0.1:80",
        "Slots": 8,
        "State": "ready",
        "Sequence": 4,
    }

    def read(version: object, *, reads_version: bool) -> str:
        content = msgspec.json.encode(beat | {"Version": version})
        parsed = heartbeats.parse_heartbeat(
            "i-1", content, reads_version=reads_version
        )
        return parsed.announcement.software

    assert read("v2", reads_version=True) == "v2"
    assert not read("v2", reads_version=False)
    assert not read([1], reads_version=False)
    for version in (None, 3, ""):
        try:
            read(version, reads_version=True)
        except heartbeats.HeartbeatError:
            continue
        raise AssertionError(version)


load_tests = fixtures.collect(__name__)
