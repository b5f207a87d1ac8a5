"""Tests of answers that other systems passed on although they are none."""

import functools
import time
from typing import Any
from unittest import mock

from bench import admin as admin_lib
from returns import result

from lovagesaddle.core.routing import call_chain
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import server_health
from tests import endless_server
from tests import fixtures
from tests import nodes
from tests import routing_mesh

SIGNER = hop.EnvelopeSigner(b"secret")
OWN_ID: dict[str, Any] = {call_chain.REQUEST_ID_HEADER: "own"}
EARLY = f"HTTP/1.1 200 OK\r\n{call_chain.REQUEST_ID_HEADER}: own\r\n\r\npart"
# The first is still being written when the answer comes, the second is not.
UPLOAD_BYTES = (32 * 1024 * 1024, 1024)
NO_STATUSES = ("000", "099", "600", "999", "20", "2000", "+20", "2x0", "")
FINAL = (
    f"HTTP/1.1 200 OK\r\n{call_chain.REQUEST_ID_HEADER}: own\r\n"
    "Content-Length: 0\r\nLovagesaddle-Instance-Id: i\r\n\r\n"
)


def _exchange(
    pool: client.ConnectionPool, address: str, body: bytes = b""
) -> client.ExchangeResult:
    request = client.Request(
        method="POST",
        target="/",
        headers={call_chain.REQUEST_ID_HEADER: "own"},
        body=body,
    )
    guard = watchdog.Guard(time.monotonic() + nodes.WAIT_S, lambda: False)
    return pool.exchange(address, request, guard)


def test_early_answer_that_is_reset_is_not_complete() -> None:
    """One without a length ends with its connection, but not with a reset.

    Opened to be passed on in parts, it is not complete either.
    """
    script = endless_server.Script(
        first=EARLY.encode(), closes=True, resets=True
    )
    for size in UPLOAD_BYTES:
        with (
            endless_server.EndlessServer(script) as server,
            client.ConnectionPool(allows_unframed=True) as pool,
        ):
            whole = _exchange(pool, server.address, bytes(size))
            assert whole.failure().kind is client.FailureKind.CLOSED
            guard = watchdog.Guard(
                time.monotonic() + nodes.WAIT_S, lambda: False
            )
            opened = pool.open_answer(
                server.address,
                client.Request(
                    method="POST", target="/", headers={}, body=bytes(size)
                ),
                guard,
                1,
            )
            outcome = opened.bind(functools.partial(_take, guard))
            assert outcome.failure().kind is client.FailureKind.CLOSED


def _take(guard: watchdog.Guard, answer: client.OpenAnswer) -> Any:
    return answer.take(1024, guard)


def test_status_that_is_none_is_no_answer() -> None:
    """Neither from a server nor after an interim answer, nor as its health."""
    for status in NO_STATUSES:
        answer = FINAL.replace("200 OK", f"{status} OK").encode()
        for first in (answer, b"HTTP/1.1 100 Continue\r\n\r\n" + answer):
            script = endless_server.Script(first=first, closes=True)
            with (
                endless_server.EndlessServer(script) as server,
                client.ConnectionPool(allows_unframed=True) as pool,
            ):
                refused = _exchange(pool, server.address).failure()
                assert refused.kind is client.FailureKind.MALFORMED, status
                assert not server_health.request_health(
                    server.address, "/health", header_names.DEFAULT
                )


def test_status_that_is_none_reaches_no_caller() -> None:
    """The caller gets a failure of the mesh."""
    for status in NO_STATUSES[:3]:
        answer = FINAL.replace("200 OK", f"{status} OK").encode()
        script = endless_server.Script(first=answer, closes=True)
        with (
            endless_server.EndlessServer(script) as server,
            nodes.Mesh(nodes.make_service()) as mesh,
        ):
            node = mesh.start("n0")
            admin_lib.announce(
                node.admin_address, "orderdesk", server.address, 4, 100
            )
            reply = nodes.send(node.http_address, **OWN_ID)
            assert reply.status == 502


def test_owner_that_reports_no_status_is_not_believed() -> None:
    """Its entry doesn't pass the status on, whatever the owner says."""
    for status in (0, 99, 100, 199, 600, 2000):
        answer = hop.RunAnswer(
            attempt_id="r.1", outcome=hop.RunOutcome.ANSWERED, status=status
        )
        owner = mock.create_autospec(owner_lib.Owner, instance=True)
        owner.run.return_value = answer
        pool = mock.create_autospec(client.ConnectionPool, instance=True)
        pool.exchange.return_value = result.Success(
            client.Reply(status=200, headers=(), body=SIGNER.sign(answer))
        )
        sender = attempt_senders.HttpAttemptSender(
            node_id="n1", owner=owner, pool=pool, signer=SIGNER
        )
        for node_id in ("n1", "n2"):
            server = mock.Mock(node_id=node_id, http_address="127.0.0.1:1")
            guard = watchdog.Guard(
                time.monotonic() + nodes.WAIT_S, lambda: False
            )
            request = routing_mesh.make_run_request("r.1")
            outcome = sender.send(server, request, guard)
            assert isinstance(outcome, result.Failure), (status, outcome)
            assert outcome.failure().kind is client.FailureKind.MALFORMED


load_tests = fixtures.collect(__name__)
