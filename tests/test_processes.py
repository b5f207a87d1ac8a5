"""Tests failures of real processes: nodes, backends and a control replica."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import pathlib
import socket
import tempfile

from bench import cluster as cluster_lib
from bench import workloads

from lovagesaddle.core.model import outcomes
from tests import fixtures
from tests import nodes

HOST = "orderdesk.example"


@contextlib.contextmanager
def _start_cluster() -> Iterator[cluster_lib.Cluster]:
    workload = workloads.make_bentancor(run_ms=0, timeout_s=5.0)
    with (
        tempfile.TemporaryDirectory() as folder,
        cluster_lib.Cluster(
            pathlib.Path(folder), workload.upstreams[:3], workload.services
        ) as cluster,
    ):
        yield cluster


def _send(address: str, method: str = "GET", **headers: str) -> nodes.Reply:
    path = "/proofs" if method == "GET" else "/confirmations"
    return nodes.send(
        address,
        method,
        path,
        body=b"x" if method == "POST" else None,
        token=workloads.TOKEN,
        Host=HOST,
        **headers,
    )


def _list_starts(cluster: cluster_lib.Cluster, request_id: str) -> int:
    if not cluster.record.exists():
        return 0
    lines = map(json.loads, cluster.record.read_text().splitlines())
    return sum(
        line["event"] == "start" and line["id"] == request_id for line in lines
    )


def _get_outcome(reply: nodes.Reply) -> str | None:
    return reply.headers.get(outcomes.OUTCOME_HEADER)


def test_lost_processes_run_nothing_twice() -> None:
    """No confirmation runs twice, or is reported as not run after it ran.

    Servers crash and VMs are lost while requests run.
    """
    with _start_cluster() as cluster, futures.ThreadPoolExecutor(8) as pool:
        first, second, third = cluster.vms.values()
        _check_crash(cluster, first.addresses.http)
        nodes.wait_for(
            lambda: _send(first.addresses.http, "POST").status == 200,
            "the other servers to be used",
        )
        _check_lost_owner(cluster, pool)
        nodes.wait_for(
            lambda: _send(third.addresses.http, "POST").status == 200,
            "the server that is left",
        )
        assert second.node.is_running is False


def _check_crash(cluster: cluster_lib.Cluster, address: str) -> None:
    """Checks that a run of a crashed server is unknown and not repeated."""
    reply = _send(address, "POST", Act="crash-after", Bench_Id="crash")
    assert (reply.status, _get_outcome(reply)) == (502, "unknown"), reply
    assert _list_starts(cluster, "crash") == 1


def _check_lost_owner(
    cluster: cluster_lib.Cluster, pool: futures.ThreadPoolExecutor
) -> None:
    """Checks that requests of an owner that dies run at most once."""
    _, second, third = cluster.vms.values()
    calls = {
        f"lost-{n}": pool.submit(
            _send,
            third.addresses.http,
            "POST",
            Bench_Id=f"lost-{n}",
            Run_Ms="400",
        )
        for n in range(8)
    }
    nodes.wait_for(
        lambda: sum(_list_starts(cluster, name) for name in calls) >= 4,
        "the runs to start",
    )
    second.node.kill()
    second.backend.kill()
    for name, call in calls.items():
        reply = call.result()
        starts = _list_starts(cluster, name)
        assert starts <= 1, name
        assert _get_outcome(reply) != "not-run" or not starts, (name, reply)
        assert _get_outcome(reply) or reply.status == 200, (name, reply)


def test_planned_stop_cuts_nothing() -> None:
    """SIGTERM to a node with uploads and answers in progress cuts none."""
    with _start_cluster() as cluster, futures.ThreadPoolExecutor(8) as pool:
        stopping, other, _ = cluster.vms.values()
        calls = [
            pool.submit(
                _send,
                address,
                "POST",
                Run_Ms="500",
                Answer_Bytes="2000000",
                Bench_Id=f"run-{n}-{address}",
            )
            for n in range(3)
            for address in (stopping.addresses.http, other.addresses.http)
        ]
        upload = _begin_upload(stopping.addresses.http)
        nodes.wait_for(
            lambda: (
                cluster.record.exists()
                and cluster.record.read_text().count('"start"') == len(calls)
            ),
            "the runs to start",
        )
        stopping.node.terminate()
        upload.sendall(b"cd")
        answer = _read_answer(upload)
        assert answer.startswith(b"HTTP/1.1 200"), answer[:300]
        replies = [call.result() for call in calls]
        statuses = [(reply.status, reply.body[:200]) for reply in replies]
        assert {status for status, _ in statuses} == {200}, statuses
        assert {len(reply.body) > 2_000_000 for reply in replies} == {True}
        assert stopping.node.wait() == 0
        assert _send(other.addresses.http, "POST").status == 200


def _begin_upload(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), nodes.WAIT_S)
    head = (
        f"POST /confirmations HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {workloads.TOKEN}\r\n"
        "Content-Length: 4\r\n\r\nab"
    )
    sock.sendall(head.encode())
    return sock


def _read_answer(sock: socket.socket) -> bytes:
    parts: list[bytes] = []
    with sock:
        while part := sock.recv(65536):
            parts.append(part)
            if b"}" in part:
                break
    return b"".join(parts)


load_tests = fixtures.collect(__name__)
