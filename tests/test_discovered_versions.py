"""Tests of the version of a server that was found by its health endpoint."""

import dataclasses
import time
from unittest import mock

from lovagesaddle.core.model import snapshots
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports
from lovagesaddle.node import server_heartbeats
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.node import software_gate
from lovagesaddle.observability import metrics
from tests import fixtures
from tests import routing_mesh
from tests import test_server_limits

ANNOUNCED = local_servers.Announcement(
    service="orderdesk",
    address="127.0.0.1:1",
    slots=4,
    connections=4,
    instance="i-1",
    born_ms=1000,
    software="v1",
)
FOUND = dataclasses.replace(ANNOUNCED, born_ms=0, software="", is_warm=True)


def _discover_and_announce(*, rolls_out: bool) -> list[snapshots.BackendServer]:
    """Returns what the node reports of a server that it found itself."""
    owner = owner_lib.Owner(
        pool=test_server_limits.StatingPool(),
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
    )
    servers = local_servers.LocalServers(
        node_id="n", owner=owner, rolls_out=rolls_out
    )
    control = mock.create_autospec(ports.ControlPort, instance=True)
    servers.connect(control)
    heartbeats = server_heartbeats.ServerHeartbeats(
        servers, check_health=lambda _: None
    )
    heartbeats.add_discovered(FOUND)
    for sequence in (1, 2):
        heartbeats.handle_heartbeat(ANNOUNCED, sequence, is_leaving=False)
    return [call.args[0] for call in control.announce_server.call_args_list]


def test_first_heartbeat_tells_the_version_of_a_found_server() -> None:
    """Without it, a server that joined during the day got no request."""
    found, announced = _discover_and_announce(rolls_out=True)
    assert not found.software
    assert announced == dataclasses.replace(found, software="v1")


def test_nothing_more_is_reported_where_no_version_is_rolled_out() -> None:
    """Other deployments keep their reports."""
    (found,) = _discover_and_announce(rolls_out=False)
    assert not found.software


class _AnnouncingPool(test_server_limits.StatingPool):
    """The version of the server becomes known while a request runs."""

    def __init__(self, server: snapshots.BackendServer) -> None:
        super().__init__()
        self.owner: owner_lib.Owner | None = None
        self._server = server

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Returns an empty answer after the announcement."""
        assert self.owner is not None
        self.owner.identify(self._server, 1000)
        return super().exchange(address, request, guard)


def test_request_that_began_without_a_version_leaves_no_count_behind() -> None:
    """Old servers count as idle, and not as less, once it has ended."""
    found = routing_mesh.make_server(0)
    announced = dataclasses.replace(found, software="v1")
    pool = _AnnouncingPool(announced)
    gate = software_gate.SoftwareGate(5.0, lambda: 0.0, metrics.Metrics())
    pool.owner = owner_lib.Owner(
        pool=pool,
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        software_gate=gate,
    )
    pool.owner.open(found, "127.0.0.1:1", "i-1")
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    answer = pool.owner.run(routing_mesh.make_run_request("r.1"), guard)
    assert answer.outcome is hop.RunOutcome.ANSWERED
    rollout = snapshots.Rollout(
        service=found.service,
        target="v2",
        previous="v1",
        ramp_s=12.0,
        ordered_at=7,
        phase=snapshots.RolloutPhase.RUNNING,
        weight=100,
    )
    gate.install(
        snapshots.Snapshot(cluster_id="c", version=8, rollouts=(rollout,))
    )
    reports = gate._counts.make_reports(0.0)
    assert {report.software for report in reports} == {"", "v1"}
    assert {report.running for report in reports} == {0}


load_tests = fixtures.collect(__name__)
