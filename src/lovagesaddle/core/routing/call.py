"""Entry side: state machine of one call, from its arrival to its answer.

The state machine decides on attempts, retries and the deadline, and on the
outcome that the caller is told. It is not thread-safe: one thread at a time
may call it.
"""

import dataclasses

from lovagesaddle.core import state_machine
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import attempt_rules
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import server_releases
from lovagesaddle.core.routing import table

MAX_MOVES = 3
# The owner's deadline is earlier than that of the entry node by this much, but
# by at most this share of the remaining time, so that the owner's answer
# arrives before the entry node gives up.
OWNER_MARGIN_S = 0.02
OWNER_MARGIN_SHARE = 0.1
HEDGE_DELAY_S = 0.1
RETRIED_STATUSES = frozenset({502, 503, 504})
FIRST_FAILURE_STATUS = 500
# An entry that hears of a newer publication has it within this time.
OUTDATED_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOptions:
    """Options of an entry node that apply to all of its calls.

    Attributes:
      hedge: Whether idempotent urgent calls are sent a second time when the
        first answer is late.
      hedge_delay_s: Time after which an answer is late, in seconds.
      max_moves: How often a request that did not run may move to another
        server.
      moves_need_room: Whether a request that was refused by a full server
        moves only to one that seems to have room, without using the retry
        budget; else it may move to any server, within the retry policy.
    """

    hedge: bool = False
    hedge_delay_s: float = HEDGE_DELAY_S
    max_moves: int = MAX_MOVES
    moves_need_room: bool = False


class Call(state_machine.StateMachine[events.Event, events.Action]):
    """State machine that runs one request of a caller.

    Args:
      request: The request and its route.
      options: Options of the entry node.
      retry_policy: Shared by all calls of the service.
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
        self._retry_policy = retry_policy
        self._deadline = request.arrived_at + compute_timeout(
            request.route, request.chain
        )
        self._open_attempts: dict[int, table.Candidate] = {}
        self._sent_at: dict[int, float] = {}
        self._tried: frozenset[str] = frozenset()
        self._attempts = 0
        self._attempt_rules = attempt_rules.AttemptRules(
            route=request.route,
            may_retry=request.chain.may_retry,
            max_moves=options.max_moves,
            policy=retry_policy,
            moves_need_room=options.moves_need_room,
        )
        self._may_have_run = False
        self._is_over = False
        self._has_hedged = False
        self._retriable_answer: events.AttemptEnded | None = None
        self._last_ended: events.AttemptEnded | None = None

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller gets an answer, in seconds."""
        return self._deadline

    @property
    def is_over(self) -> bool:
        """Whether the call has returned its final action."""
        return self._is_over

    @property
    def attempts(self) -> int:
        """Number of attempts sent so far."""
        return self._attempts

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event; after the end, only releases picked servers."""
        if self._is_over:
            return self._handle_late_event(event)
        match event:
            case events.Started():
                return self._start(now)
            case events.Picked():
                return self._send(event.decision, now)
            case events.AttemptEnded():
                return self._end_attempt(event, now)
            case events.TimerFired():
                return self._handle_timer(now)
            case events.CallerGone():
                return self._abandon(now)

    def _start(self, now: float) -> tuple[events.Action, ...]:
        if self._request.chain.depth >= chain_lib.MAX_DEPTH:
            return self._fail(508, events.FailureReason.DEPTH)
        if now >= self._deadline:
            return self._fail(504, events.FailureReason.DEADLINE)
        self._retry_policy.count_call()
        return (self._set_timer(now), self._pick(newest=False))

    def _pick(
        self,
        *,
        newest: bool,
        needs_room: bool = False,
        skips_rate_limited: bool = False,
    ) -> events.PickServer:
        return events.PickServer(
            service=self._request.service,
            newest=newest,
            tried=self._tried,
            needs_room=needs_room,
            skips_rate_limited=skips_rate_limited,
        )

    def _send(
        self, decision: balancer_events.Decision, now: float
    ) -> tuple[events.Action, ...]:
        server = decision.server
        if server is None:
            return self._give_up(now)
        self._attempts += 1
        self._open_attempts[self._attempts] = server
        self._sent_at[self._attempts] = now
        self._tried |= {server.server_id}
        remaining_s = max(0.0, self._deadline - now)
        margin_s = min(OWNER_MARGIN_S, remaining_s * OWNER_MARGIN_SHARE)
        owner_timeout_s = remaining_s - margin_s
        return (
            events.SendAttempt(
                number=self._attempts,
                attempt_id=f"{self._request.request_id}.{self._attempts}",
                server=server,
                chain=chain_lib.extend(
                    self._request.chain, remaining_s=owner_timeout_s
                ),
                deadline=now + owner_timeout_s,
            ),
        )

    def _end_attempt(
        self, event: events.AttemptEnded, now: float
    ) -> tuple[events.Action, ...]:
        server = self._open_attempts.pop(event.number, None)
        if server is None:
            return ()
        released = server_releases.make_release(
            server, event, self._request.route.name
        )
        if event.ending is events.Ending.ANSWERED:
            self._may_have_run = True
            if event.status not in RETRIED_STATUSES:
                return (released, *self._answer(event, now))
            self._retriable_answer = event
        elif event.ending not in attempt_rules.NOT_RUN_ENDINGS:
            self._may_have_run = True
        self._last_ended = event
        in_time = now < self._deadline
        if in_time and self._attempt_rules.allow_another(event.ending):
            # While every server is full, a move to another server only takes
            # time that the caller could spend waiting before the caller sends
            # the request again.
            is_full = (
                self._options.moves_need_room
                and event.ending is events.Ending.REFUSED
            )
            # Other servers may have room, but those known to be limited too
            # would refuse the request after another round trip.
            is_limited = event.ending is events.Ending.RATE_LIMITED
            return (
                released,
                self._pick(
                    newest=True,
                    needs_room=is_full,
                    skips_rate_limited=is_limited,
                ),
            )
        if self._open_attempts:
            return (released,)
        return (released, *self._give_up(now))

    def _answer(
        self, event: events.AttemptEnded, now: float
    ) -> tuple[events.Action, ...]:
        cancelled = self._cancel_open(now)
        self._is_over = True
        failed = event.status >= FIRST_FAILURE_STATUS
        outcome = outcomes.RequestOutcome.UNKNOWN if failed else None
        answer = events.AnswerCaller(number=event.number, outcome=outcome)
        return (*cancelled, answer)

    def _give_up(self, now: float) -> tuple[events.Action, ...]:
        if self._open_attempts:
            return ()
        if self._retriable_answer is not None:
            return self._answer(self._retriable_answer, now)
        last = self._last_ended
        if last is None:
            return self._fail(503, events.FailureReason.NO_SERVER)
        if last.ending is events.Ending.QUARANTINED:
            return self._fail(503, events.FailureReason.QUARANTINED)
        if last.ending is events.Ending.ROUTE_OUTDATED:
            return self._give_up_outdated()
        if last.ending is events.Ending.TIMED_OUT:
            return self._fail(504, events.FailureReason.DEADLINE)
        if self._may_have_run:
            return self._fail(502, events.FailureReason.LOST)
        return self._fail(503, events.FailureReason.REFUSED, last.retry_after_s)

    def _give_up_outdated(self) -> tuple[events.Action, ...]:
        if self._may_have_run:
            return self._fail(502, events.FailureReason.LOST)
        return self._fail(
            503, events.FailureReason.ROUTE_OUTDATED, OUTDATED_RETRY_S
        )

    def _handle_timer(self, now: float) -> tuple[events.Action, ...]:
        if now >= self._deadline:
            # An attempt in progress may have reached its backend server.
            self._may_have_run |= bool(self._open_attempts)
            cancelled = self._cancel_open(now)
            failed = self._fail(504, events.FailureReason.DEADLINE)
            return (*cancelled, *failed)
        timer = events.SetTimer(at=self._deadline)
        if not self._should_hedge():
            return (timer,)
        self._has_hedged = True
        return (timer, self._pick(newest=True))

    def _should_hedge(self) -> bool:
        return (
            self._is_hedging_allowed()
            and not self._has_hedged
            and bool(self._open_attempts)
            and self._attempt_rules.allow_hedge()
        )

    def _is_hedging_allowed(self) -> bool:
        route = self._request.route
        return (
            self._options.hedge
            and route.idempotent
            and route.priority == services.Priority.URGENT
            and self._request.chain.may_retry
        )

    def _set_timer(self, now: float) -> events.SetTimer:
        hedge_at = now + self._options.hedge_delay_s
        if self._is_hedging_allowed() and hedge_at < self._deadline:
            return events.SetTimer(at=hedge_at)
        return events.SetTimer(at=self._deadline)

    def _abandon(self, now: float) -> tuple[events.Action, ...]:
        self._may_have_run |= bool(self._open_attempts)
        cancelled = self._cancel_open(now)
        self._is_over = True
        return (*cancelled, events.EndCall(outcome=self._get_outcome()))

    def _cancel_open(self, now: float) -> tuple[events.Action, ...]:
        actions: list[events.Action] = []
        for number, server in self._open_attempts.items():
            actions.append(events.CancelAttempt(number=number))
            waited_s = now - self._sent_at[number]
            actions.append(
                server_releases.make_abandoned_release(server, waited_s)
            )
        self._open_attempts.clear()
        return tuple(actions)

    def _fail(
        self,
        status: int,
        reason: events.FailureReason,
        retry_after_s: float = 0.0,
    ) -> tuple[events.Action, ...]:
        self._is_over = True
        failure = events.FailCaller(
            status=status,
            outcome=self._get_outcome(),
            reason=reason,
            retry_after_s=retry_after_s,
        )
        return (failure,)

    def _get_outcome(self) -> outcomes.RequestOutcome:
        if self._may_have_run:
            return outcomes.RequestOutcome.UNKNOWN
        return outcomes.RequestOutcome.NOT_RUN

    def _handle_late_event(
        self, event: events.Event
    ) -> tuple[events.Action, ...]:
        if isinstance(event, events.Picked) and event.decision.server:
            return (
                server_releases.make_abandoned_release(event.decision.server),
            )
        return ()


def compute_timeout(route: services.Route, chain: chain_lib.Chain) -> float:
    """Returns the time within which a request is answered, in seconds."""
    if chain.remaining_s is None:
        return route.timeout_s
    return min(route.timeout_s, chain.remaining_s)
