"""Tests of backend servers that state a limit, or that they are leaving."""

import time

from returns import result

from lovagesaddle.core.routing import admission
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
from tests import routing_mesh

LIMIT = 2.0
ARRIVALS = 200
# The target: in no window does a server get more than this share of what its
# limit allows, and a few requests beside it.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5


class StatingPool(client.ConnectionPool):
    """Answers each request at once, with the given headers."""

    def __init__(self, *headers: tuple[str, str]) -> None:
        super().__init__()
        self.headers = headers
        self.sent_at: list[float] = []

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Returns an empty answer with status 200."""
        del address, request, guard
        self.sent_at.append(time.monotonic())
        return result.Success(
            client.Reply(status=200, headers=self.headers, body=b"")
        )


def count_most(sent_at: list[float]) -> int:
    """Returns the most requests in any window."""
    return max(
        sum(start <= each < start + WINDOW_S for each in sent_at)
        for start in sent_at
    )


def _make_owner(pool: client.ConnectionPool) -> owner_lib.Owner:
    owner = owner_lib.Owner(
        pool=pool, shared_quarantine=shared_quarantine_lib.SharedQuarantine()
    )
    owner.open(routing_mesh.make_server(0), "127.0.0.1:1")
    return owner


def _run(owner: owner_lib.Owner, attempt_id: str) -> hop.RunAnswer:
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    return owner.run(routing_mesh.make_run_request(attempt_id), guard)


def test_server_gets_no_more_than_its_stated_limit() -> None:
    """A server named a limit and got as many requests as before."""
    pool = StatingPool(("Server-Limit", str(LIMIT)))
    owner = _make_owner(pool)
    answers = [_run(owner, f"r.{n}") for n in range(ARRIVALS)]
    allowed = ALLOWED_SHARE * LIMIT * WINDOW_S + ALLOWED_EXTRA
    assert count_most(pool.sent_at) <= allowed
    refused = [a for a in answers if a.outcome is hop.RunOutcome.REFUSED]
    assert len(refused) == ARRIVALS - len(pool.sent_at)


def test_server_that_states_that_it_leaves_gets_nothing_new() -> None:
    """A server that left said so in its answers only, and was used on."""
    pool = StatingPool(("Server-Leaving", "1"))
    owner = _make_owner(pool)
    assert _run(owner, "r.1").outcome is hop.RunOutcome.ANSWERED
    answer = _run(owner, "r.2")
    assert answer.cause == admission.RefusalReason.DRAINING.value
    assert len(pool.sent_at) == 1


def test_announcement_does_not_restore_a_server_that_states_it_leaves() -> None:
    """A leaving server announced itself as ready as before."""
    pool = StatingPool(("Server-Leaving", "1"))
    owner = owner_lib.Owner(
        pool=pool, shared_quarantine=shared_quarantine_lib.SharedQuarantine()
    )
    servers = local_servers.LocalServers(node_id="n0", owner=owner)
    announcement = local_servers.Announcement(
        service="desk", address="127.0.0.1:1", slots=4, connections=4
    )
    servers.announce(announcement)
    assert _run(owner, "r.1").outcome is hop.RunOutcome.ANSWERED
    servers.announce(announcement)
    assert _run(owner, "r.2").cause == admission.RefusalReason.DRAINING.value
    # After a failed connect another process may have taken its place.
    servers.record_probe_failure("desk")
    servers.announce(announcement)
    assert _run(owner, "r.3").outcome is hop.RunOutcome.ANSWERED


load_tests = fixtures.collect(__name__)
