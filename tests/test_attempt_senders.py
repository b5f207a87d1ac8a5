"""Tests of sending attempts to the owners of servers."""

import time

from returns import result

from lovagesaddle.core.routing import call_events
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
from tests import routing_mesh

SIGNER = hop.EnvelopeSigner(b"secret")
OWNED = routing_mesh.make_server(0)
SERVER = table_lib.Candidate(
    server_id=OWNED.server_id,
    incarnation=OWNED.incarnation,
    node_id=OWNED.node_id,
    http_address="127.0.0.1:1",
    failure_domain="a",
    slots=OWNED.slots,
)


class LateOwnerPool(client.ConnectionPool):
    """Answers each request with the owner's answer to another attempt."""

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Returns the answer to an earlier attempt."""
        del address, request, guard
        late = hop.RunAnswer(
            attempt_id="r.1", outcome=hop.RunOutcome.ANSWERED, status=200
        )
        return result.Success(
            client.Reply(status=200, headers=(), body=SIGNER.sign(late))
        )


def test_answer_to_another_attempt_reaches_no_caller() -> None:
    """An owner's answer that names another attempt proves nothing."""
    pool = LateOwnerPool()
    sender = attempt_senders.HttpAttemptSender(
        node_id="n1",
        owner=owner_lib.Owner(
            pool=pool,
            shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        ),
        pool=pool,
        signer=SIGNER,
    )
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    outcome = sender.send(SERVER, routing_mesh.make_run_request("r.2"), guard)
    error = outcome.failure()
    assert error.kind is client.FailureKind.MALFORMED
    ending = attempt_senders.classify_error(error)
    assert ending is call_events.Ending.LOST


load_tests = fixtures.collect(__name__)
