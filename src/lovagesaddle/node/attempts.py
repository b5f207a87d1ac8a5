"""Carries out what the state machine of one call decides."""

import dataclasses
import os
import time

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import endings
from lovagesaddle.node import hops
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import suspects as suspects_lib
from lovagesaddle.node import trails
from lovagesaddle.observability import logs

MS_PER_S = 1000
MARK_BYTES = 4
_log = logs.get_logger("call")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Passed:
    """What passes on from the caller's request.

    Attributes:
      request_id: Of the call.
      method: Upper-case method.
      target: Path and query.
      headers: Filtered.
      body: The whole body.
      fingerprint: Digest of method, route, target and body.
      verdict: What the quarantine says of it.
      body_s: How long the body took to arrive here, in seconds.
    """

    request_id: str
    method: str
    target: str
    headers: headers_lib.Headers
    body: bytes
    fingerprint: bytes
    verdict: quarantine.Verdict
    body_s: float = 0.0


def _draw_mark() -> str:
    """Returns what tells two requests with the same ID apart."""
    return os.urandom(MARK_BYTES).hex()


class Runner:
    """Runs one call on the thread that serves its caller.

    Args:
      passed: What passes on.
      match: The matched route.
      chain: What came with the request.
      table: Table that the call started with.
      arrived_at: Monotonic time of arrival, in seconds.
      routing: Tables, balancer and retry policies.
      carrier: Takes attempts to owners.
      suspects: Learns of crashes that owners report.
      names: Names of the headers that pass on.
    """

    def __init__(
        self,
        *,
        passed: Passed,
        match: table_lib.Match,
        chain: chain_lib.Chain,
        table: table_lib.Table,
        arrived_at: float,
        routing: routing_lib.Routing,
        carrier: hops.Carrier,
        suspects: suspects_lib.Suspects,
        names: header_names.HeaderNames = header_names.DEFAULT,
    ) -> None:
        self._names = names
        self._passed = passed
        self._match = match
        self._arrived_at = arrived_at
        self._table = table
        self._routing = routing
        self._carrier = carrier
        self._suspects = suspects
        self._trail = trails.Trail(passed.request_id, arrived_at)
        self._answers: dict[int, hop.RunAnswer] = {}
        self._ended: endings.Ended | None = None
        self._call = call_lib.Call(
            request=events.CallRequest(
                request_id=f"{passed.request_id}-{_draw_mark()}",
                service=match.service,
                route=match.route,
                version=match.version,
                chain=chain,
                arrived_at=arrived_at,
            ),
            options=routing.options.call,
            retry_policy=routing.get_retry_policy(match.service),
        )

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller has its answer, in seconds."""
        return self._call.deadline

    @property
    def attempts(self) -> int:
        """Attempts sent so far."""
        return self._call.attempts

    def run(self, guard: watchdog.Guard) -> endings.Ended:
        """Returns how the call ended; `guard` watches caller and deadline."""
        if self._passed.verdict is quarantine.Verdict.REFUSED:
            return self._refuse_quarantined()
        pending: list[events.Event] = [events.Started()]
        while pending:
            event = pending.pop(0)
            for action in self._call.step(event, time.monotonic()):
                following = self._carry_out(action, guard)
                if following is not None:
                    pending.append(following)
        if self._ended is None:
            raise AssertionError("call ended without an answer")
        self._trail.write(self._ended, self._call.attempts)
        return self._ended

    def _refuse_quarantined(self) -> endings.Ended:
        _log.info(
            "quarantined",
            request=self._passed.request_id,
            service=self._match.service,
        )
        return result.Failure(
            endings.Failed(
                status=503,
                outcome=outcomes.RequestOutcome.NOT_RUN,
                reason=hop.QUARANTINED,
            )
        )

    def _carry_out(
        self, action: events.Action, guard: watchdog.Guard
    ) -> events.Event | None:
        match action:
            case events.PickServer():
                return self._pick(action)
            case events.SendAttempt():
                return self._send(action, guard)
            case events.ReleaseServer():
                self._routing.report_finished(action.finished)
            case events.AnswerCaller():
                self._ended = result.Success(self._make_answer(action))
            case events.FailCaller():
                self._fail(action)
            case events.EndCall():
                self._ended = result.Failure(
                    endings.Failed(
                        status=endings.GONE_STATUS,
                        outcome=action.outcome,
                        reason=endings.GONE_REASON,
                    )
                )
            case events.CancelAttempt() | events.SetTimer():
                # The guard closes the connection and keeps the time.
                pass
        return None

    def _pick(self, action: events.PickServer) -> events.Event:
        table = self._table
        if action.newest and self._routing.table is not None:
            table = self._routing.table
        decision = self._routing.pick(
            table,
            action.service,
            action.tried,
            body_bytes=len(self._passed.body),
            needs_room=action.needs_room,
        )
        server = decision.server
        self._trail.note(
            "server_picked",
            service=decision.service,
            route=self._match.route.name,
            version=decision.version,
            server=server.server_id if server is not None else "",
            reason=decision.reason.value,
            candidates=decision.candidates,
            eligible=decision.eligible,
            body_bytes=len(self._passed.body),
            body_ms=int(self._passed.body_s * MS_PER_S),
        )
        return events.Picked(decision=decision)

    def _send(
        self, action: events.SendAttempt, guard: watchdog.Guard
    ) -> events.Event:
        # An earlier attempt may have shown that the request crashes servers.
        verdict = self._suspects.judge(self._passed.fingerprint)
        if verdict is quarantine.Verdict.REFUSED:
            return events.AttemptEnded(
                number=action.number, ending=events.Ending.QUARANTINED
            )
        request = self._make_request(action, verdict)
        outcome = self._carrier.carry(action.server, request, guard)
        if guard.reason is watchdog.EndReason.CANCELLED:
            return events.CallerGone()
        match outcome:
            case result.Success(answer):
                self._answers[action.number] = answer
                self._learn(answer)
                return events.AttemptEnded(
                    number=action.number,
                    ending=hops.classify_answer(answer),
                    status=answer.status,
                    load_report=answer.load,
                    retry_after_s=answer.retry_after_s,
                )
            case result.Failure(error):
                self._trail.note(
                    "hop_failed",
                    step=error.step,
                    peer=error.peer,
                    kind=error.kind.value,
                    cause=error.cause,
                )
                if time.monotonic() >= self.deadline:
                    return events.TimerFired()
                return events.AttemptEnded(
                    number=action.number, ending=hops.classify_error(error)
                )
        raise AssertionError("unreachable")

    def _learn(self, answer: hop.RunAnswer) -> None:
        if answer.marks:
            self._suspects.take_marks(answer.marks)
        if answer.outcome is hop.RunOutcome.ANSWERED:
            self._suspects.clear(self._passed.fingerprint)

    def _make_request(
        self, action: events.SendAttempt, verdict: quarantine.Verdict
    ) -> hop.RunRequest:
        passed = self._passed
        remaining_s = max(0.0, action.deadline - time.monotonic())
        chain = chain_lib.format_headers(action.chain, self._names)
        return hop.RunRequest(
            attempt_id=action.attempt_id,
            server_id=action.server.server_id,
            incarnation=action.server.incarnation,
            method=passed.method,
            target=passed.target,
            headers=passed.headers + tuple(chain.items()),
            body=passed.body,
            remaining_ms=int(remaining_s * MS_PER_S),
            priority=self._match.route.priority,
            fingerprint=passed.fingerprint,
            route=self._match.route.name,
            target_ms=self._find_target_ms(),
            suspect=verdict is quarantine.Verdict.SUSPECT,
        )

    def _find_target_ms(self) -> int | None:
        target_s = self._match.route.target_latency_s
        if not target_s:
            return None
        left_s = self._arrived_at + target_s - time.monotonic()
        return int(left_s * MS_PER_S)

    def _make_answer(self, action: events.AnswerCaller) -> endings.Answered:
        answer = self._answers[action.number]
        return endings.Answered(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            outcome=action.outcome,
        )

    def _fail(self, action: events.FailCaller) -> None:
        self._trail.note(
            "call_failed",
            status=action.status,
            reason=action.reason.value,
            outcome=action.outcome.value,
            attempts=self._call.attempts,
        )
        self._ended = result.Failure(
            endings.Failed(
                status=action.status,
                outcome=action.outcome,
                reason=action.reason.value,
                retry_after_s=action.retry_after_s,
            )
        )
