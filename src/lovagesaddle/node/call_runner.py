"""Runs one call: carries out the actions of its state machine."""

import os
import time

import msgspec
from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import answer_parts
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import call_results
from lovagesaddle.node import decision_log
from lovagesaddle.node import forwarded_requests
from lovagesaddle.node import owner_answers
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.observability import logs

MS_PER_S = 1000
SUFFIX_BYTES = 4
_log = logs.get_logger("call")


def _generate_suffix() -> str:
    """Returns a random suffix that distinguishes requests with the same ID."""
    return os.urandom(SUFFIX_BYTES).hex()


class CallRunner:
    """Runs one call on the thread that serves its caller.

    Args:
      forwarded: Request to be sent to backend servers.
      match: The matched route.
      chain: Call chain from the headers of the request.
      table: Routing table with which the call starts.
      arrived_at: Monotonic time at which the request arrived, in seconds.
      routing: Routing tables, balancer and retry policies.
      attempt_sender: Sends attempts to owners.
      shared_quarantine: Gets the crash marks that owners report.
      names: Names of the headers that are sent to backend servers.
      access: Who sent the request; None if nobody is known.
    """

    def __init__(
        self,
        *,
        forwarded: forwarded_requests.ForwardedRequest,
        match: table_lib.Match,
        chain: chain_lib.Chain,
        table: table_lib.Table,
        arrived_at: float,
        routing: routing_lib.Routing,
        attempt_sender: attempt_senders.AttemptSender,
        shared_quarantine: shared_quarantine_lib.SharedQuarantine,
        names: header_names.HeaderNames = header_names.DEFAULT,
        access: table_lib.Access | None = None,
    ) -> None:
        self._parts: dict[int, answer_parts.AnswerParts] = {}
        self._names = names
        self._access = access
        self._account = None if access is None else access.account
        self._forwarded = forwarded
        self._match = match
        self._arrived_at = arrived_at
        self._table = table
        self._routing = routing
        self._attempt_sender = attempt_sender
        self._shared_quarantine = shared_quarantine
        self._decisions = decision_log.DecisionLog(
            forwarded.request_id, arrived_at
        )
        self._answers: dict[int, hop.RunAnswer] = {}
        self._may_move = False
        self._result: call_results.CallResult | None = None
        self._call = call_lib.Call(
            request=events.CallRequest(
                request_id=f"{forwarded.request_id}-{_generate_suffix()}",
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
    def service(self) -> str:
        """Name of the service that the call is for."""
        return self._match.service

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller gets its answer, in seconds."""
        return self._call.deadline

    @property
    def attempts(self) -> int:
        """Number of attempts sent so far."""
        return self._call.attempts

    def run(self, guard: watchdog.Guard) -> call_results.CallResult:
        """Runs the call and returns its result.

        Args:
          guard: Ends the call at its deadline or when the caller disconnects.
        """
        if self._forwarded.verdict is quarantine.Verdict.REFUSED:
            return self._refuse_quarantined()
        pending: list[events.Event] = [events.Started()]
        while pending:
            event = pending.pop(0)
            for action in self._call.step(event, time.monotonic()):
                following = self._carry_out(action, guard)
                if following is not None:
                    pending.append(following)
        if self._result is None:
            raise AssertionError("the call ended without a result")
        for parts in self._parts.values():
            parts.close()
        self._decisions.write(self._result, self._call.attempts)
        return self._result

    def _refuse_quarantined(self) -> call_results.CallResult:
        _log.info(
            "quarantined",
            request=self._forwarded.request_id,
            service=self._match.service,
        )
        return result.Failure(
            call_results.Failed(
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
                return self._pick_server(action)
            case events.SendAttempt():
                return self._send_attempt(action, guard)
            case events.ReleaseServer():
                self._routing.report_finished(action.finished)
            case events.AnswerCaller():
                self._result = result.Success(self._make_answer(action))
            case events.FailCaller():
                self._fail_call(action)
            case events.EndCall():
                self._result = result.Failure(
                    call_results.Failed(
                        status=call_results.CALLER_GONE_STATUS,
                        outcome=action.outcome,
                        reason=call_results.CALLER_GONE_REASON,
                    )
                )
            case events.CancelAttempt() | events.SetTimer():
                # The guard of the call does both: it closes the connection of
                # the attempt and watches the deadline.
                pass
        return None

    def _pick_server(self, action: events.PickServer) -> events.Event:
        table = self._table
        if action.newest and self._routing.table is not None:
            table = self._routing.table
        decision = self._routing.pick(
            table,
            action.service,
            action.tried,
            body_bytes=len(self._forwarded.body),
            has_large_answer=self._match.route.has_large_answers is True,
            needs_room=action.needs_room,
            skips_rate_limited=action.skips_rate_limited,
            kind=self._match.route.name,
            target_s=self._compute_target_left(),
        )
        self._may_move = decision.may_move
        server = decision.server
        self._decisions.record(
            "server_picked",
            service=decision.service,
            route=self._match.route.name,
            version=decision.version,
            server=server.server_id if server is not None else "",
            reason=decision.reason.value,
            candidates=decision.candidates,
            eligible=decision.eligible,
            body_bytes=len(self._forwarded.body),
            body_ms=int(self._forwarded.body_s * MS_PER_S),
        )
        return events.Picked(decision=decision)

    def _send_attempt(
        self, action: events.SendAttempt, guard: watchdog.Guard
    ) -> events.Event:
        if guard.reason is watchdog.EndReason.DEADLINE:
            if time.monotonic() >= self.deadline:
                return events.TimerFired()
            # This node stops. Nothing is sent any more.
            return events.AttemptEnded(
                number=action.number, ending=events.Ending.UNREACHABLE
            )
        # An earlier attempt may have shown that the request crashes servers, so
        # the quarantine is asked before each attempt.
        verdict = self._shared_quarantine.classify(self._forwarded.fingerprint)
        if verdict is quarantine.Verdict.REFUSED:
            return events.AttemptEnded(
                number=action.number, ending=events.Ending.QUARANTINED
            )
        request = self._make_request(action, verdict)
        outcome = self._attempt_sender.send(action.server, request, guard).bind(
            lambda answer: self._collect(action, request, answer, guard)
        )
        if guard.reason is not None and isinstance(outcome, result.Failure):
            # The owner may hold an answer whose first part was on its way.
            answer_parts.drop(self._attempt_sender, action.server, request)
        if guard.reason is watchdog.EndReason.CANCELLED:
            return events.CallerGone()
        match outcome:
            case result.Success(answer):
                self._answers[action.number] = answer
                self._report_to_quarantine(answer)
                if answer.stated is not None:
                    self._routing.record_statement(
                        action.server.server_id, answer.stated
                    )
                return events.AttemptEnded(
                    number=action.number,
                    ending=attempt_senders.classify_answer(answer),
                    status=answer.status,
                    load_report=answer.load,
                    retry_after_s=answer.retry_after_s,
                )
            case result.Failure(error):
                self._decisions.record(
                    "hop_failed",
                    step=error.step,
                    peer=error.peer,
                    kind=error.kind.value,
                    cause=error.cause,
                )
                if time.monotonic() >= self.deadline:
                    return events.TimerFired()
                return events.AttemptEnded(
                    number=action.number,
                    ending=attempt_senders.classify_error(error),
                )
        raise AssertionError("unreachable")

    def _collect(
        self,
        action: events.SendAttempt,
        request: hop.RunRequest,
        answer: hop.RunAnswer,
        guard: watchdog.Guard,
    ) -> attempt_senders.HopResult:
        """Returns an answer, whole if it has few parts."""
        if answer.rest_bytes is msgspec.UNSET:
            return result.Success(answer)
        parts = answer_parts.AnswerParts(
            sender=self._attempt_sender,
            server=action.server,
            request=request,
            answer=answer,
            guard=guard,
        )
        self._parts[action.number] = parts
        return parts.collect(answer)

    def _report_to_quarantine(self, answer: hop.RunAnswer) -> None:
        if answer.marks:
            self._shared_quarantine.add_marks(answer.marks)
        if not owner_answers.has_failed(answer):
            self._shared_quarantine.clear(self._forwarded.fingerprint)

    def _make_request(
        self, action: events.SendAttempt, verdict: quarantine.Verdict
    ) -> hop.RunRequest:
        forwarded = self._forwarded
        remaining_s = max(0.0, action.deadline - time.monotonic())
        chain = chain_lib.format_headers(action.chain, self._names)
        return hop.RunRequest(
            attempt_id=action.attempt_id,
            server_id=action.server.server_id,
            incarnation=action.server.incarnation,
            method=forwarded.method,
            target=forwarded.target,
            headers=forwarded.headers + tuple(chain.items()),
            body=forwarded.body,
            remaining_ms=int(remaining_s * MS_PER_S),
            priority=self._match.route.priority,
            fingerprint=forwarded.fingerprint,
            route=self._match.route.name,
            target_ms=self._compute_target_ms(),
            suspect=verdict is quarantine.Verdict.SUSPECT,
            known=self._routing.find_statement(action.server.server_id),
            publication=self._table.publication,
            account=self._account.name if self._account else msgspec.UNSET,
            account_rank=(
                self._account.priority if self._account else msgspec.UNSET
            ),
            key_id=(
                self._access.key_id
                if self._access and self._account
                else msgspec.UNSET
            ),
            may_move=self._may_move or msgspec.UNSET,
            takes_parts=(
                True
                if forwarded.takes_parts and self._match.route.has_large_answers
                else msgspec.UNSET
            ),
        )

    def _compute_target_ms(self) -> int | None:
        left_s = self._compute_target_left()
        return None if left_s is None else int(left_s * MS_PER_S)

    def _compute_target_left(self) -> float | None:
        """Returns the time left of the target latency, in seconds, if any."""
        target_s = self._match.route.target_latency_s
        if not target_s:
            return None
        return self._arrived_at + target_s - time.monotonic()

    def _make_answer(
        self, action: events.AnswerCaller
    ) -> call_results.Answered:
        answer = self._answers[action.number]
        parts = self._parts.get(action.number)
        if parts is not None and not parts.is_ended:
            del self._parts[action.number]
        else:
            parts = None
        return call_results.Answered(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            outcome=action.outcome,
            parts=parts,
        )

    def _fail_call(self, action: events.FailCaller) -> None:
        self._decisions.record(
            "call_failed",
            status=action.status,
            reason=action.reason.value,
            outcome=action.outcome.value,
            attempts=self._call.attempts,
        )
        self._result = result.Failure(
            call_results.Failed(
                status=action.status,
                outcome=action.outcome,
                reason=action.reason.value,
                retry_after_s=action.retry_after_s,
            )
        )
