"""Tests of the owner part of a node."""

import time

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import suspects as suspects_lib
from tests import fixtures
from tests import routing_mesh


class LateVerdict(suspects_lib.Suspects):
    """Finds a request guilty only when it is judged for the second time."""

    def __init__(self) -> None:
        super().__init__()
        self._verdicts = [
            quarantine.Verdict.SUSPECT,
            quarantine.Verdict.REFUSED,
        ]

    def judge(
        self, fingerprint: bytes, *, hinted: bool = False
    ) -> quarantine.Verdict:
        """Returns the next verdict."""
        del fingerprint, hinted
        return self._verdicts.pop(0)


class ForbiddenPool(client.Pool):
    """Fails when a request is handed over."""

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Raises an error."""
        del guard
        raise AssertionError(f"{address} was handed {request.target}")


def test_request_found_guilty_in_the_queue_is_not_handed_over() -> None:
    """A suspect is judged once more when its slot is free."""
    owner = owner_lib.Owner(pool=ForbiddenPool(), suspects=LateVerdict())
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    request = hop.RunRequest(
        attempt_id="r.1",
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
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    answer = owner.run(request, guard)
    assert answer.outcome is hop.RunOutcome.REFUSED
    assert answer.cause == hop.QUARANTINED
    assert answer.load is not None
    assert answer.load.running == 0


load_tests = fixtures.collect(__name__)
