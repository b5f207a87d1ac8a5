"""Versions of servers at running nodes, with real servers."""

from collections.abc import Iterator
import contextlib
import dataclasses
import json

from bench import backend
from bench import stand_in

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import program
from lovagesaddle.node import software_gate
from lovagesaddle.observability import metrics
from tests import fixtures
from tests import mesh as mesh_lib
from tests import nodes

SERVICE = "orderdesk"
VERSIONS = ("v1", "v2")
REQUESTS = 10
ROLLBACK_S = 5.0
RUNNING = snapshots.RolloutPhase.RUNNING
COMPLETED = snapshots.RolloutPhase.COMPLETED


@contextlib.contextmanager
def _run_versions() -> Iterator[tuple[nodes.Mesh, list[program.NodeProgram]]]:
    """Yields a mesh and its nodes: one for each version, and an entry."""
    with contextlib.ExitStack() as stack:
        mesh = stack.enter_context(nodes.Mesh(nodes.make_service()))
        started = []
        for number, version in enumerate(VERSIONS):
            node = mesh.start(f"n{number}", rollback_bound_s=ROLLBACK_S)
            server = stack.enter_context(
                backend.Backend(stand_in.BackendOptions())
            )
            body = json.dumps(
                {
                    "service": SERVICE,
                    "address": server.address,
                    "slots": 4,
                    "connections": 4,
                    "version": version,
                }
            ).encode()
            nodes.send(node.admin_address, "POST", "/announce", body=body)
            started.append(node)
        started.append(mesh.start("n9", rollback_bound_s=ROLLBACK_S))
        yield mesh, started


def _make_rollout(
    phase: snapshots.RolloutPhase, weight: int
) -> snapshots.Rollout:
    return snapshots.Rollout(
        service=SERVICE,
        target="v2",
        previous="v1",
        ramp_s=12.0,
        ordered_at=7,
        phase=phase,
        weight=weight,
    )


def _change(
    mesh: nodes.Mesh, phase: snapshots.RolloutPhase, weight: int
) -> None:
    mesh.control.change(rollouts=(_make_rollout(phase, weight),))


def _send(node: program.NodeProgram) -> set[int]:
    """Sends some requests; returns the statuses of their answers."""
    return {nodes.send(node.http_address).status for _ in range(REQUESTS)}


def _count(started: list[program.NodeProgram]) -> list[int]:
    """Returns how many requests were sent to the server of each version."""
    return [node._owner.sent for node in started[: len(VERSIONS)]]


def test_each_phase_sends_to_its_version() -> None:
    """The entry sends nothing to the other version's server."""
    with _run_versions() as (mesh, started):
        cases = ((RUNNING, 0, 0), (RUNNING, 1000, 1), (COMPLETED, 1000, 1))
        expected = [0, 0]
        for phase, weight, number in cases:
            _change(mesh, phase, weight)
            assert _send(started[-1]) == {200}
            expected[number] += REQUESTS
            assert _count(started) == expected, (phase, weight)
        # The entry itself knows which servers may run requests.
        table = started[-1]._routing.table
        assert table is not None
        (known,) = table.list_candidates(SERVICE)
        assert known.server_id == "n1/orderdesk"


def test_a_request_that_waited_is_checked_again() -> None:
    """A roll-back stops what is in the queues of the new servers, too."""
    age_s = [0.1]
    gate = software_gate.SoftwareGate(
        ROLLBACK_S, lambda: age_s[0], metrics.Metrics()
    )
    server = dataclasses.replace(mesh_lib.make_server("n"), software="v2")

    def install(phase: snapshots.RolloutPhase, weight: int) -> None:
        rollout = _make_rollout(phase, weight)
        gate.install(
            snapshots.Snapshot(
                cluster_id="c", version=weight, rollouts=(rollout,)
            )
        )

    install(RUNNING, 80)
    assert gate.enter(server)
    assert gate.may_send(server)
    age_s[0] = ROLLBACK_S
    assert not gate.enter(server)
    assert not gate.may_send(server)
    age_s[0] = 0.1
    install(snapshots.RolloutPhase.ROLLED_BACK, 0)
    assert not gate.enter(server)
    assert not gate.may_send(server)


def test_an_owner_refuses_what_an_older_table_sends() -> None:
    """The refusal is true: the server gets nothing."""
    with _run_versions() as (mesh, started):
        _change(mesh, RUNNING, 0)
        mesh.control.held_back.add("n9")
        _change(mesh, RUNNING, 1000)
        reply = nodes.send(started[-1].http_address)
        assert reply.status == 503, reply
        assert reply.headers[outcomes.OUTCOME_HEADER] == "not-run"
        assert _count(started) == [0, 0]
        assert "version_refusals_total 1" in started[0].metrics.render()


def test_owners_report_while_a_rollout_runs() -> None:
    """The sums tell arrived, ended and failed requests by route."""
    with _run_versions() as (mesh, started):
        _change(mesh, RUNNING, 0)
        assert _send(started[-1]) == {200}

        def is_reported() -> bool:
            return any(
                node_id == "n0"
                and each.software == "v1"
                and each.arrived == REQUESTS
                and not each.running
                for node_id, versions in tuple(mesh.control.evidence)
                for each in versions
            )

        nodes.wait_for(is_reported, "a report with all requests")


load_tests = fixtures.collect(__name__)
