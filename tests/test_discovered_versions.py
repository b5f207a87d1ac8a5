"""Tests of the version of a server that was found by its health endpoint."""

import dataclasses
from unittest import mock

from lovagesaddle.core.model import snapshots
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports
from lovagesaddle.node import server_heartbeats
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
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


load_tests = fixtures.collect(__name__)
