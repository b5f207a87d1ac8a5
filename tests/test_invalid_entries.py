"""Tests of one invalid entry among those of the backend servers and nodes.

It has a number that is too large, a port out of range, or is nested too deep.
"""

import dataclasses
import http.client
import json
import time
from typing import Any

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import registrar as registrar_lib
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.http import client
from lovagesaddle.http import watchdog
from lovagesaddle.platform import documents
from lovagesaddle.platform import heartbeats
from tests import fixtures
from tests import mesh as mesh_lib
from tests import nodes
from tests import served_mesh

SERVICE = "orderdesk"
HUGE = 10**25
NESTED = b"[" * 20_000 + b"]" * 20_000
INVALID_PORTS = ("0", "65536", "99999")
BEAT: dict[str, Any] = {
    "Service": SERVICE,
    "Address": "10.0.0.1:80",
    "Slots": 4,
    "State": "ready",
    "Sequence": 1,
}


def _is_beat_refused(content: bytes) -> bool:
    try:
        heartbeats.parse_heartbeat("i-1", content)
    except heartbeats.HeartbeatError:
        return True
    return False


def test_invalid_heartbeat_is_refused() -> None:
    """What no other process can read is not taken into the list."""
    invalid: list[dict[str, Any]] = [
        {"Address": f"10.0.0.1:{port}"} for port in INVALID_PORTS
    ]
    invalid += [{"born": HUGE}, {"Sequence": HUGE}, {"Slots": HUGE}]
    assert not _is_beat_refused(json.dumps(BEAT).encode())
    for fields in invalid:
        assert _is_beat_refused(json.dumps(BEAT | fields).encode()), fields
    nested = json.dumps(BEAT).encode()[:-1] + b',"X":' + NESTED + b"}"
    assert _is_beat_refused(nested)


def test_invalid_deregistration_is_refused() -> None:
    """The start time of the process that ends is bounded too."""
    try:
        heartbeats.parse_deregistration("i-1", b'{"born": %d}' % HUGE)
    except heartbeats.HeartbeatError:
        return
    raise AssertionError("a huge start time was taken")


def test_invalid_document_is_refused() -> None:
    """A number that can't be stored is an error of the document."""
    rule = {
        "Name": "r",
        "RouteKind": "idempotent",
        "Match": {"PathPrefix": "/"},
        "Action": {"TimeoutMs": 100, "Service": "s"},
    }
    split = {
        "TimeoutMs": 100,
        "WeightedSplit": [{"Service": "s", "Weight": HUGE}],
    }
    attempts = {"TimeoutMs": 100, "Service": "s", "Attempts": HUGE}
    for invalid in (
        {"Priority": HUGE},
        {"Action": attempts},
        {"Action": split},
    ):
        content = {
            "Version": "1",
            "Limits": {
                "MaxHeaderBytes": 100,
                "MaxBodyBytes": 100,
                "HeaderTimeoutMs": 10,
                "IdleTimeoutMs": 10,
            },
            "Listeners": [{"Host": "h", "RouteRules": [rule | invalid]}],
            "Clusters": [{"Name": "s"}],
        }
        try:
            documents.parse_publication(json.dumps(content).encode(), "")
        except documents.DocumentError:
            continue
        raise AssertionError(invalid)


def test_invalid_announcement_is_answered_400() -> None:
    """The local VM learns why its announcement is not taken."""
    with nodes.Mesh(nodes.make_service()) as mesh:
        node = mesh.start("n0")
        body = {
            "service": SERVICE,
            "address": "127.0.0.1:99999",
            "slots": 4,
            "connections": 4,
        }
        good = body | {"address": "127.0.0.1:80"}
        nested = json.dumps(good).encode()[:-1] + b',"x":' + NESTED + b"}"
        for content in (json.dumps(body).encode(), nested):
            connection = http.client.HTTPConnection(node.admin_address)
            connection.request("POST", "/announce", content)
            assert connection.getresponse().status == 400, content[:100]
            connection.close()


def test_address_that_no_socket_takes_is_no_connection() -> None:
    """An exchange with an invalid address fails like one with a dead VM."""
    request = client.Request(method="GET", target="/", headers={}, body=b"")
    with client.ConnectionPool() as pool:
        for address in ("127.0.0.1:99999", "127.0.0.1:x", "nowhere", ""):
            guard = watchdog.Guard(time.monotonic() + 1.0, lambda: False)
            outcome = pool.exchange(address, request, guard)
            assert outcome.failure().kind is client.FailureKind.NOT_SENT


def _make_leader() -> registrar_lib.Registrar:
    registrar = registrar_lib.Registrar(
        leases_lib.Leases(lease_s=3.0, expiry_share=0.5)
    )
    registrar.observe(
        replica_events.ConsensusObserved(
            hashed=delta.hash_snapshot(state_lib.make_initial_state().snapshot),
            is_leader=True,
            leader=None,
            stamp=mesh_lib.STAMP,
            replicas=(peers.Peer(peer_id="r1", address="r1"),),
        ),
        0.0,
    )
    return registrar


def _list_invalid_servers() -> list[snapshots.BackendServer]:
    sound = mesh_lib.make_server("n1")
    return [
        dataclasses.replace(sound, slots=0),
        dataclasses.replace(sound, slots=2**62),
        dataclasses.replace(sound, incarnation=2**63),
        dataclasses.replace(sound, connections=-1),
    ]


def _list_invalid_nodes() -> list[snapshots.Node]:
    sound = mesh_lib.make_node("n1")
    return [
        dataclasses.replace(sound, http_address="10.0.0.1:99999"),
        dataclasses.replace(sound, http_address="10.0.0.1"),
        dataclasses.replace(sound, control_address="tcp://10.0.0.1:99999"),
    ]


def _join(node: snapshots.Node, *servers: snapshots.BackendServer) -> bool:
    """Returns whether a leader refuses to propose a join."""
    registrar = _make_leader()
    join = messages.Join(node=node, life=b"1", servers=servers)
    received = events.FrameReceived(
        sender_id=node.node_id, route=b"route", frame=wire.encode(join)
    )
    actions = registrar.receive(received, join, 0.0)
    proposals = [
        action
        for action in registrar.tick(1.0)
        if isinstance(action, replica_events.Propose)
    ]
    refusals = [
        action for action in actions if isinstance(action, events.LogLine)
    ]
    assert bool(proposals) != bool(refusals), (proposals, refusals)
    return bool(refusals)


def test_invalid_entry_of_a_node_does_not_reach_the_log() -> None:
    """The leader refuses what processes that read the list can't use."""
    sound = mesh_lib.make_node("n1")
    assert not _join(sound, mesh_lib.make_server("n1"))
    for server in _list_invalid_servers():
        assert _join(sound, server), server
    for node in _list_invalid_nodes():
        assert _join(node), node


def test_invalid_report_of_servers_does_not_reach_the_log() -> None:
    """A report with an invalid server is refused as a whole."""
    for server in _list_invalid_servers():
        registrar = _make_leader()
        report = messages.ServerReport(
            node_id="n1", incarnation=1, sequence=1, servers=(server,)
        )
        received = events.FrameReceived(
            sender_id="n1", route=b"route", frame=wire.encode(report)
        )
        (line,) = registrar.receive(received, report, 0.0)
        assert isinstance(line, events.LogLine), server


def test_invalid_entry_of_the_list_is_passed_over() -> None:
    """A node uses the other entries of a list that another release wrote."""
    with served_mesh.run_mesh() as (mesh, (_, entry), _):
        listed = mesh.control.snapshot
        invalid_nodes = tuple(
            dataclasses.replace(node, node_id=f"invalid{number}")
            for number, node in enumerate(_list_invalid_nodes())
        )
        invalid_servers = tuple(
            dataclasses.replace(
                mesh_lib.make_server(node.node_id), incarnation=7
            )
            for node in invalid_nodes
        )
        extra = tuple(
            dataclasses.replace(
                server_entry, server_id=f"n1/{number}", node_id="n1"
            )
            for number, server_entry in enumerate(_list_invalid_servers())
        )
        mesh.control.change(
            nodes=listed.nodes + invalid_nodes,
            servers=listed.servers + invalid_servers[:2] + extra,
        )
        for _ in range(20):
            reply = nodes.send(entry.http_address, "POST")
            assert reply.status == 200, reply


load_tests = fixtures.collect(__name__)
