"""Tests of running one call at its entry."""

from concurrent import futures
import threading
import time

from returns import result

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import call_results
from lovagesaddle.node import call_runner
from lovagesaddle.node import forwarded_requests
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
from tests import routing_mesh

FINGERPRINT = bytes(16)
TIMEOUT_S = 60.0


class ScriptedSender(attempt_senders.AttemptSender):
    """Answers attempts as scripted; each crash is of another server."""

    def __init__(self, *script: hop.RunOutcome, cause: str = "") -> None:
        self.requests: list[hop.RunRequest] = []
        self._script = script
        self._cause = cause

    def send(
        self,
        server: table_lib.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> attempt_senders.HopResult:
        """Returns the next scripted answer."""
        del guard
        outcome = self._script[len(self.requests)]
        self.requests.append(request)
        crashed = outcome is hop.RunOutcome.CRASHED
        mark = quarantine.make_mark(
            server_id=server.server_id,
            incarnation=server.incarnation,
            fingerprint=request.fingerprint,
            suspected=request.suspect,
        )
        return result.Success(
            hop.RunAnswer(
                attempt_id=request.attempt_id,
                outcome=outcome,
                status=200,
                cause=self._cause,
                marks=(mark,) if crashed else (),
            )
        )


class WaitingSender(attempt_senders.AttemptSender):
    """Waits for its turn to send a body until the wait is ended."""

    def __init__(self) -> None:
        self.waits = 0
        self.waiting = threading.Event()

    def send(
        self,
        server: table_lib.Candidate,
        request: hop.RunRequest,
        guard: watchdog.Guard,
    ) -> attempt_senders.HopResult:
        """Returns that nothing was sent, once the guard ended the wait."""
        del request
        self.waits += 1
        ended = threading.Event()
        with guard.on_end(ended.set):
            self.waiting.set()
            ended.wait()
        return result.Failure(
            client.ExchangeError(
                step="send body",
                peer=server.http_address,
                cause="the wait has ended",
                kind=client.FailureKind.NOT_SENT,
            )
        )


def _run(
    sender: attempt_senders.AttemptSender,
    shared_quarantine: shared_quarantine_lib.SharedQuarantine,
    guard: watchdog.Guard | None = None,
) -> call_results.CallResult:
    route = routing_mesh.make_route(
        idempotent=True, retries=2, timeout_s=TIMEOUT_S
    )
    routing = routing_lib.Routing(failure_domain="d0")
    snapshot = routing_mesh.make_snapshot(route, count=5)
    routing.install(delta.hash_snapshot(snapshot), joined=True)
    table = routing.table
    assert table is not None
    match = table.match(host=routing_mesh.HOST, path="/orders", method="POST")
    assert isinstance(match, table_lib.Match)
    arrived_at = time.monotonic()
    runner = call_runner.CallRunner(
        forwarded=forwarded_requests.ForwardedRequest(
            request_id="r",
            method="POST",
            target="/orders",
            headers=(),
            body=b"",
            fingerprint=FINGERPRINT,
            verdict=shared_quarantine.classify(FINGERPRINT),
        ),
        match=match,
        chain=routing_mesh.make_chain(),
        table=table,
        arrived_at=arrived_at,
        routing=routing,
        attempt_sender=sender,
        shared_quarantine=shared_quarantine,
    )
    return runner.run(
        guard or watchdog.Guard(arrived_at + TIMEOUT_S, lambda: False)
    )


def test_repetition_after_a_crash_is_sent_as_a_suspect() -> None:
    """A call crashes two servers, and then its request is refused."""
    crash = hop.RunOutcome.CRASHED
    shared_quarantine = shared_quarantine_lib.SharedQuarantine()
    sender = ScriptedSender(crash, crash)
    _run(sender, shared_quarantine)
    assert [each.suspect for each in sender.requests] == [False, True]
    again = _run(sender, shared_quarantine)
    assert len(sender.requests) == 2
    failed = again.failure()
    assert failed.outcome is outcomes.RequestOutcome.NOT_RUN


def test_answered_request_is_no_suspect_any_more() -> None:
    """An answer after a crash removes the request from the quarantine."""
    shared_quarantine = shared_quarantine_lib.SharedQuarantine()
    sender = ScriptedSender(hop.RunOutcome.CRASHED, hop.RunOutcome.ANSWERED)
    _run(sender, shared_quarantine)
    assert shared_quarantine.classify(FINGERPRINT) is quarantine.Verdict.CLEAR


def test_request_that_waits_while_its_node_stops_is_refused() -> None:
    """It was cut without an answer, though it had not been sent anywhere."""
    sender = WaitingSender()
    with (
        watchdog.Watchdog() as guards,
        futures.ThreadPoolExecutor(1) as pool,
        guards.watch(
            deadline=time.monotonic() + TIMEOUT_S, is_gone=lambda: False
        ) as guard,
    ):
        ended = pool.submit(
            _run, sender, shared_quarantine_lib.SharedQuarantine(), guard
        )
        sender.waiting.wait()
        guards.end_waits_at(time.monotonic())
        failed = ended.result().failure()
    assert (failed.status, failed.outcome) == (
        503,
        outcomes.RequestOutcome.NOT_RUN,
    )
    assert sender.waits == 1


def test_duplicate_attempt_proves_nothing() -> None:
    """The refusal of a duplicate does not prove that nothing ran."""
    refused = hop.RunOutcome.REFUSED
    sender = ScriptedSender(
        refused,
        refused,
        refused,
        cause=admission_events.RefusalReason.DUPLICATE.value,
    )
    ended = _run(sender, shared_quarantine_lib.SharedQuarantine())
    assert ended.failure().outcome is outcomes.RequestOutcome.UNKNOWN


load_tests = fixtures.collect(__name__)
