"""Callers, an entry, backend servers and their owners, without a network."""

from collections.abc import Callable
import dataclasses

from tests import routing_mesh

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import quarantine as quarantine_lib
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import retries

SERVICE = "desk"
RETRY_CAP = 5
_ENDING_BY_REASON = {
    admission_events.RefusalReason.DRAINING: events.Ending.DRAINING,
    admission_events.RefusalReason.SERVER_DOWN: events.Ending.SERVER_DOWN,
}


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result that a caller received.

    Attributes:
      answer: Name of the request that the answer belongs to; "" if the
        caller got no answer.
      outcome: Value of Request-Outcome; None if it was not set.
    """

    answer: str = ""
    outcome: outcomes.RequestOutcome | None = None


class BackendServer:
    """A backend server with the admission and quarantine of its owner.

    Args:
      name: Server ID.
      slots: Number of requests that it runs at a time.
    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.owner = admission_lib.Admission(
            limit=concurrency_limits.FixedLimit(slots),
            order=queues.DeadlineOrder(),
        )
        self.quarantine = quarantine_lib.Quarantine()
        self.running: list[str] = []
        self.incarnation = 1
        self.drained = False


class Call:
    """One request of a caller, its attempts and its results."""

    def __init__(
        self, name: str, *, idempotent: bool, timeout_s: float, now: float
    ) -> None:
        self.name = name
        self.idempotent = idempotent
        self.results: list[CallResult] = []
        self.sent: dict[int, str] = {}
        self.newest: list[bool] = []
        self.timer = 0.0
        self.state_machine = call_lib.Call(
            request=events.CallRequest(
                request_id=name,
                service=SERVICE,
                route=routing_mesh.make_route(
                    idempotent=idempotent, retries=2, timeout_s=timeout_s
                ),
                version=7,
                chain=routing_mesh.make_chain(),
                arrived_at=now,
            ),
            options=call_lib.CallOptions(),
            retry_policy=retries.RetryBudget(cap=RETRY_CAP),
        )

    @property
    def fingerprint(self) -> bytes:
        """16-byte fingerprint of the request; resends have the same one."""
        return self.name.partition("#")[0].encode().ljust(16, b".")


class CallMesh:
    """One entry in front of several backend servers, in virtual time.

    Args:
      servers: Number of backend servers.
      slots: Number of slots of each backend server.
    """

    def __init__(self, servers: int, slots: int) -> None:
        self.now = 0.0
        self.log_event: Callable[[str], None] = lambda _: None
        self.servers = {
            each.server_id: BackendServer(each.server_id, slots)
            for each in routing_mesh.make_candidates(servers)
        }
        self.calls: dict[str, Call] = {}
        self.runs: dict[str, int] = {}
        self.deaths = 0
        self._candidates = routing_mesh.make_candidates(servers)
        self._entry_quarantine = quarantine_lib.Quarantine()

    def send(
        self, name: str, *, idempotent: bool = False, timeout_s: float = 2.0
    ) -> Call:
        """Starts a caller's request; `timeout_s` is in seconds."""
        call = Call(
            name, idempotent=idempotent, timeout_s=timeout_s, now=self.now
        )
        self.calls[name] = call
        self.runs.setdefault(name, 0)
        verdict = self._entry_quarantine.classify(call.fingerprint, self.now)
        if verdict is quarantine_lib.Verdict.REFUSED:
            self._record_result(
                call, CallResult(outcome=outcomes.RequestOutcome.NOT_RUN)
            )
        else:
            self._step(call, events.Started())
        return call

    def answer(self, name: str) -> None:
        """Finishes a running request with its answer.

        Raises:
          AssertionError: No backend server runs the request.
        """
        for server in self.servers.values():
            for attempt in [
                a for a in server.running if _get_request_name(a) == name
            ]:
                server.running.remove(attempt)
                self._step_owner(
                    server, admission_events.Ended(request_id=attempt)
                )
                self._end_attempt(attempt, events.Ending.ANSWERED, status=200)
                return
        raise AssertionError(f"no backend server runs {name}")

    def crash(self, server: BackendServer) -> None:
        """Crashes a backend server together with the requests that it runs."""
        self.deaths += 1
        self.log_event(f"{server.name} dies")
        died, server.running = server.running, []
        running = tuple(
            quarantine_lib.RunningRequest(
                fingerprint=self.calls[_get_request_name(a)].fingerprint,
                suspected=self._is_suspect(server, a),
            )
            for a in died
        )
        event = quarantine_lib.ServerDied(
            server_id=server.name,
            incarnation=server.incarnation,
            running=running,
        )
        for spread in server.quarantine.step(event, self.now):
            self._spread_marks(spread.marks)
        server.incarnation += 1
        self._step_owner(server, admission_events.ServerDown())
        for attempt in died:
            self._step_owner(server, admission_events.Ended(request_id=attempt))
            self._end_attempt(attempt, events.Ending.CRASHED)

    def restart(self, server: BackendServer, slots: int) -> None:
        """Restarts a crashed backend server with a number of slots."""
        self._step_owner(server, admission_events.ServerUp(slots=slots))

    def drain(self, server: BackendServer) -> None:
        """Starts to drain a backend server."""
        self._step_owner(server, admission_events.Drain())

    def pass_time(self, seconds: float) -> None:
        """Advances the virtual time by seconds and fires the calls' timers."""
        self.now += seconds
        for call in tuple(self.calls.values()):
            if not call.state_machine.is_over and call.timer <= self.now:
                self._step(call, events.TimerFired())

    def release(self, finished: balancer_events.Finished) -> None:
        """Handles the outcome of an attempt at a picked server."""

    def check_results(self) -> None:
        """Checks that no caller received a result that breaks a promise.

        Raises:
          AssertionError: A caller got several results, the answer to another
            request, or not-run for a request that ran; or a non-idempotent
            request ran twice.
        """
        for call in self.calls.values():
            assert len(call.results) <= 1, call.name
            ran = self.runs[call.name]
            assert call.idempotent or ran <= 1, (call.name, ran)
            for result in call.results:
                assert result.answer in ("", call.name)
                refused = result.outcome is outcomes.RequestOutcome.NOT_RUN
                assert not (refused and ran), call.name

    def _step(self, call: Call, event: events.Event) -> None:
        for action in call.state_machine.step(event, self.now):
            match action:
                case events.PickServer():
                    call.newest.append(action.newest)
                    decision = self.pick(action)
                    self._step(call, events.Picked(decision=decision))
                case events.SendAttempt():
                    call.sent[action.number] = action.server.server_id
                    self._hand_over(call, action)
                case events.CancelAttempt():
                    self._cancel(call, action.number)
                case events.SetTimer():
                    call.timer = action.at
                case events.AnswerCaller():
                    result = CallResult(
                        answer=call.name, outcome=action.outcome
                    )
                    self._record_result(call, result)
                case events.FailCaller():
                    self.log_event(
                        f"{call.name} failed status={action.status}"
                        f" reason={action.reason.value}"
                    )
                    self._record_result(
                        call, CallResult(outcome=action.outcome)
                    )
                case events.ReleaseServer():
                    self.release(action.finished)
                case events.EndCall():
                    pass

    def _hand_over(self, call: Call, sent: events.SendAttempt) -> None:
        server = self.servers[sent.server.server_id]
        hinted = (
            self._entry_quarantine.classify(call.fingerprint, self.now)
            is quarantine_lib.Verdict.SUSPECT
        )
        verdict = server.quarantine.classify(
            call.fingerprint, self.now, hinted=hinted
        )
        if verdict is quarantine_lib.Verdict.REFUSED:
            self._end_attempt(sent.attempt_id, events.Ending.QUARANTINED)
            return
        arrived = admission_events.Arrived(
            request_id=sent.attempt_id,
            priority=services.Priority.NORMAL,
            deadline=sent.deadline,
            suspect=verdict is quarantine_lib.Verdict.SUSPECT,
        )
        self._step_owner(server, arrived)

    def _cancel(self, call: Call, number: int) -> None:
        server = self.servers[call.sent[number]]
        attempt = f"{call.name}.{number}"
        self._step_owner(server, admission_events.Cancelled(request_id=attempt))

    def _step_owner(
        self, server: BackendServer, event: admission_events.Event
    ) -> None:
        for action in server.owner.step(event, self.now):
            match action:
                case admission_events.Admitted():
                    self.log_event(f"{server.name} admits {action.request_id}")
                    server.running.append(action.request_id)
                    self.runs[_get_request_name(action.request_id)] += 1
                case admission_events.Refused():
                    self.log_event(
                        f"{server.name} refuses {action.request_id}"
                        f" reason={action.reason.value}"
                    )
                    ending = _ENDING_BY_REASON.get(
                        action.reason, events.Ending.REFUSED
                    )
                    self._end_attempt(action.request_id, ending)
                case admission_events.Drained():
                    self.log_event(f"{server.name} is drained")
                    server.drained = True

    def _end_attempt(
        self, attempt: str, ending: events.Ending, *, status: int = 0
    ) -> None:
        call = self.calls[_get_request_name(attempt)]
        number = int(attempt.rpartition(".")[2])
        ended = events.AttemptEnded(number=number, ending=ending, status=status)
        self._step(call, ended)

    def pick(self, asked: events.PickServer) -> balancer_events.Decision:
        """Picks the first server that the call has not tried yet."""
        left = [
            each
            for each in self._candidates
            if each.server_id not in asked.tried
        ]
        return balancer_events.Decision(
            server=left[0] if left else None,
            reason=balancer_events.PickReason.OWN_DOMAIN,
            service=SERVICE,
            version=7,
            candidates=len(self._candidates),
            eligible=len(left),
        )

    def _record_result(self, call: Call, result: CallResult) -> None:
        call.results.append(result)
        word = f"answer to {result.answer}" if result.answer else "no answer"
        outcome = f" outcome={result.outcome.value}" if result.outcome else ""
        self.log_event(f"caller of {call.name} gets {word}{outcome}")

    def _spread_marks(
        self, marks: tuple[quarantine_lib.CrashMark, ...]
    ) -> None:
        marked = quarantine_lib.MarksReceived(marks=marks)
        self._entry_quarantine.step(marked, self.now)
        for server in self.servers.values():
            server.quarantine.step(marked, self.now)

    def _is_suspect(self, server: BackendServer, attempt: str) -> bool:
        fingerprint = self.calls[_get_request_name(attempt)].fingerprint
        verdict = server.quarantine.classify(fingerprint, self.now)
        return verdict is quarantine_lib.Verdict.SUSPECT


def _get_request_name(attempt: str) -> str:
    return attempt.rpartition(".")[0]
