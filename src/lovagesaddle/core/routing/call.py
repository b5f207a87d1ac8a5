"""Entry side: one call from its arrival to its one answer.

The call owns the attempts, the deadline and what its caller may be told. It
is driven by one thread at a time.
"""

import dataclasses

from lovagesaddle.core import part
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import attempt_rules
from lovagesaddle.core.routing import balancer
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import releases
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import table

MAX_MOVES = 3
OWNER_MARGIN_S = 0.02
OWNER_MARGIN_SHARE = 0.1
HEDGE_DELAY_S = 0.1
RETRIED_STATUSES = frozenset({502, 503, 504})
FIRST_FAILURE_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOptions:
    """Choices of an entry that hold for each of its calls.

    Attributes:
      hedge: Whether idempotent urgent calls are sent a second time when the
        first answer is late.
      hedge_delay_s: How late, in seconds.
      max_moves: Times that a request which did not run may go elsewhere.
      moves_to_room: Whether a request that found a server full moves only to
        one that seems to have room, on no budget; else it may move to any,
        within the retry policy.
    """

    hedge: bool = False
    hedge_delay_s: float = HEDGE_DELAY_S
    max_moves: int = MAX_MOVES
    moves_need_room: bool = False


class Call(part.Part[events.Event, events.Action]):
    """One request of one caller.

    Args:
      request: What to do.
      options: Choices of the entry.
      retry_policy: Shared by the calls of the service.
    """

    def __init__(
        self,
        *,
        request: events.CallRequest,
        options: CallOptions,
        retry_policy: retries.RetryPolicy,
    ) -> None:
        self._request = request
        self._options = options
        self._policy = retry_policy
        self._deadline = request.arrived_at + _find_timeout(request)
        self._open: dict[int, table.Candidate] = {}
        self._sent_at: dict[int, float] = {}
        self._tried: frozenset[str] = frozenset()
        self._attempts = 0
        self._rules = attempt_rules.AttemptRules(
            route=request.route,
            may_retry=request.chain.may_retry,
            max_moves=options.max_moves,
            policy=retry_policy,
            moves_need_room=options.moves_need_room,
        )
        self._may_have_run = False
        self._over = False
        self._hedged = False
        self._held: events.AttemptEnded | None = None
        self._last: events.AttemptEnded | None = None

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller has its answer, in seconds."""
        return self._deadline

    @property
    def is_over(self) -> bool:
        """Whether the call has had its last action."""
        return self._over

    @property
    def attempts(self) -> int:
        """Attempts sent so far."""
        return self._attempts

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event; events after the end change nothing."""
        if self._over:
            return self._release_late(event)
        match event:
            case events.Started():
                return self._start(now)
            case events.Picked():
                return self._send(event.decision, now)
            case events.AttemptEnded():
                return self._end_attempt(event, now)
            case events.TimerFired():
                return self._fire(now)
            case events.CallerGone():
                return self._abandon(now)

    def _start(self, now: float) -> tuple[events.Action, ...]:
        if self._request.chain.depth >= chain_lib.MAX_DEPTH:
            return self._fail(508, events.FailureReason.DEPTH)
        if now >= self._deadline:
            return self._fail(504, events.FailureReason.DEADLINE)
        self._policy.count_call()
        return (self._set_timer(now), self._pick(newest=False))

    def _pick(
        self, *, newest: bool, needs_room: bool = False
    ) -> events.PickServer:
        return events.PickServer(
            service=self._request.service,
            newest=newest,
            tried=self._tried,
            needs_room=needs_room,
        )

    def _send(
        self, decision: balancer.Decision, now: float
    ) -> tuple[events.Action, ...]:
        server = decision.server
        if server is None:
            return self._give_up(now)
        self._attempts += 1
        self._open[self._attempts] = server
        self._sent_at[self._attempts] = now
        self._tried |= {server.server_id}
        remaining_s = max(0.0, self._deadline - now)
        margin_s = min(OWNER_MARGIN_S, remaining_s * OWNER_MARGIN_SHARE)
        owner_s = remaining_s - margin_s
        return (
            events.SendAttempt(
                number=self._attempts,
                attempt_id=f"{self._request.request_id}.{self._attempts}",
                server=server,
                chain=chain_lib.extend(
                    self._request.chain, remaining_s=owner_s
                ),
                deadline=now + owner_s,
            ),
        )

    def _end_attempt(
        self, event: events.AttemptEnded, now: float
    ) -> tuple[events.Action, ...]:
        server = self._open.pop(event.number, None)
        if server is None:
            return ()
        released = releases.release(server, event)
        if event.ending is events.Ending.ANSWERED:
            self._may_have_run = True
            if event.status not in RETRIED_STATUSES:
                return (released, *self._answer(event, now))
            self._held = event
        elif event.ending not in attempt_rules.NOT_RUN_ENDINGS:
            self._may_have_run = True
        self._last = event
        in_time = now < self._deadline
        if in_time and self._rules.allow_another(event.ending):
            # While every server is full, each move only costs time that the
            # caller could use to come back later.
            is_full = (
                self._options.moves_need_room
                and event.ending is events.Ending.REFUSED
            )
            return (released, self._pick(newest=True, needs_room=is_full))
        if self._open:
            return (released,)
        return (released, *self._give_up(now))

    def _answer(
        self, event: events.AttemptEnded, now: float
    ) -> tuple[events.Action, ...]:
        cancelled = self._cancel_open(now)
        self._over = True
        failed = event.status >= FIRST_FAILURE_STATUS
        outcome = outcomes.RequestOutcome.UNKNOWN if failed else None
        answer = events.AnswerCaller(number=event.number, outcome=outcome)
        return (*cancelled, answer)

    def _give_up(self, now: float) -> tuple[events.Action, ...]:
        if self._open:
            return ()
        if self._held is not None:
            return self._answer(self._held, now)
        last = self._last
        if last is None:
            return self._fail(503, events.FailureReason.NO_SERVER)
        if last.ending is events.Ending.QUARANTINED:
            return self._fail(503, events.FailureReason.QUARANTINED)
        if last.ending is events.Ending.TIMED_OUT:
            return self._fail(504, events.FailureReason.DEADLINE)
        if self._may_have_run:
            return self._fail(502, events.FailureReason.LOST)
        return self._fail(503, events.FailureReason.REFUSED, last.retry_after_s)

    def _fire(self, now: float) -> tuple[events.Action, ...]:
        if now >= self._deadline:
            # An attempt in progress may have been handed over by now.
            self._may_have_run |= bool(self._open)
            cancelled = self._cancel_open(now)
            failed = self._fail(504, events.FailureReason.DEADLINE)
            return (*cancelled, *failed)
        timer = events.SetTimer(at=self._deadline)
        if not self._may_hedge():
            return (timer,)
        self._hedged = True
        return (timer, self._pick(newest=True))

    def _may_hedge(self) -> bool:
        return (
            self._is_hedged_route()
            and not self._hedged
            and bool(self._open)
            and self._rules.allow_hedge()
        )

    def _is_hedged_route(self) -> bool:
        route = self._request.route
        return (
            self._options.hedge
            and route.idempotent
            and route.priority == services.Priority.URGENT
            and self._request.chain.may_retry
        )

    def _set_timer(self, now: float) -> events.SetTimer:
        hedge_at = now + self._options.hedge_delay_s
        if self._is_hedged_route() and hedge_at < self._deadline:
            return events.SetTimer(at=hedge_at)
        return events.SetTimer(at=self._deadline)

    def _abandon(self, now: float) -> tuple[events.Action, ...]:
        self._may_have_run |= bool(self._open)
        cancelled = self._cancel_open(now)
        self._over = True
        return (*cancelled, events.EndCall(outcome=self._find_outcome()))

    def _cancel_open(self, now: float) -> tuple[events.Action, ...]:
        actions: list[events.Action] = []
        for number, server in self._open.items():
            actions.append(events.CancelAttempt(number=number))
            waited_s = now - self._sent_at[number]
            actions.append(releases.abandon(server, waited_s))
        self._open.clear()
        return tuple(actions)

    def _fail(
        self,
        status: int,
        reason: events.FailureReason,
        retry_after_s: float = 0.0,
    ) -> tuple[events.Action, ...]:
        self._over = True
        failure = events.FailCaller(
            status=status,
            outcome=self._find_outcome(),
            reason=reason,
            retry_after_s=retry_after_s,
        )
        return (failure,)

    def _find_outcome(self) -> outcomes.RequestOutcome:
        if self._may_have_run:
            return outcomes.RequestOutcome.UNKNOWN
        return outcomes.RequestOutcome.NOT_RUN

    def _release_late(self, event: events.Event) -> tuple[events.Action, ...]:
        if isinstance(event, events.Picked) and event.decision.server:
            return (releases.abandon(event.decision.server),)
        return ()


def _find_timeout(request: events.CallRequest) -> float:
    remaining_s = request.chain.remaining_s
    if remaining_s is None:
        return request.route.timeout_s
    return min(request.route.timeout_s, remaining_s)
