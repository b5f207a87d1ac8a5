"""Entries, owners and servers that state limits, in virtual time.

Only entry nodes that have passed on an answer with a limit are told of it; a
server counts the requests of those.
"""

from collections.abc import Callable
import dataclasses
import heapq
import random

from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import known_statements
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import table
from tests import routing_mesh

HOP_S = 0.002
RUN_S = 0.06
SLOTS = 8
DEADLINE_S = 0.5
# Time that a server gives the nodes to comply with a new limit.
STABLE_S = 3.0
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5.0
TOLD_S = 0.5

Limit = Callable[[float], float | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Server:
    """A backend server with its owner.

    Attributes:
      candidate: The server as entries see it.
      limit: Returns the limit that it states at a time, or None.
      admission: Admission of its owner.
      arrivals: Time and entry of each request that reached it.
      told_at: When each entry first passed on an answer with a limit.
      refusals: Attempts that its owner refused.
    """

    candidate: table.Candidate
    limit: Limit
    admission: admission_lib.Admission
    arrivals: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    told_at: dict[int, float] = dataclasses.field(default_factory=dict)
    refusals: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    entry: int
    call: call_lib.Call
    number: int
    server: Server


class LimitedMesh:
    """Runs calls at a steady rate over some entries.

    Args:
      limits: Limit of each server.
      entries: Number of entry nodes.
      calls_s: Calls a second, of all entries.
    """

    def __init__(
        self, limits: list[Limit], *, entries: int, calls_s: float
    ) -> None:
        self._calls_s = calls_s
        self._source = random.Random(7)
        candidates = routing_mesh.make_candidates(len(limits), domains=1)
        self.servers = {
            each.server_id: Server(
                candidate=dataclasses.replace(each, slots=SLOTS),
                limit=limit,
                admission=_make_admission(),
            )
            for each, limit in zip(candidates, limits, strict=True)
        }
        self._candidates = tuple(s.candidate for s in self.servers.values())
        self._policy = retries.RetryBudget(cap=8)
        self._balancers = [self._make_balancer() for _ in range(entries)]
        self._known = [
            known_statements.KnownStatements() for _ in range(entries)
        ]
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._attempts: dict[str, _Attempt] = {}
        self._count = 0
        self.answered = 0
        self.failed: list[int] = []

    def restart_owner(self, server_id: str, at: float) -> None:
        """Restarts the node that owns a server: it forgets what it knew."""

        def restart(now: float) -> None:
            del now
            self.servers[server_id].admission = _make_admission()

        self._at(at, restart)

    def restart_entry(self, entry: int, at: float) -> None:
        """Restarts an entry node, which excuses it at all servers."""

        def restart(now: float) -> None:
            del now
            self._balancers[entry] = self._make_balancer()
            self._known[entry] = known_statements.KnownStatements()
            for server in self.servers.values():
                server.told_at.pop(entry, None)

        self._at(at, restart)

    def run(self, length_s: float) -> None:
        """Runs calls for a time, in seconds."""
        at = 0.0
        while at < length_s:
            self._at(at, self._start_call)
            at += self._source.expovariate(self._calls_s)
        while self._due:
            now, _, work = heapq.heappop(self._due)
            work(now)

    def find_excess(self, server: Server, since: float) -> float:
        """Returns by how much the worst window exceeds what is allowed.

        Args:
          server: The server.
          since: When it first stated a limit.
        """
        told = [
            at
            for at, entry in server.arrivals
            if at >= server.told_at.get(entry, float("inf")) + TOLD_S
        ]
        worst = float("-inf")
        for start in told:
            if start < since + STABLE_S - WINDOW_S:
                continue
            window = [at for at in told if start <= at < start + WINDOW_S]
            allowed = ALLOWED_EXTRA + ALLOWED_SHARE * _sum_limit(
                server.limit, start
            )
            worst = max(worst, len(window) - allowed)
        return worst

    def _make_balancer(self) -> balancer_lib.Balancer:
        created = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="d0"),
            policy=pick_policies.TwoChoicesPick(),
            source=self._source,
        )
        created.step(
            balancer_events.TableInstalled(candidates=self._candidates), 0.0
        )
        return created

    def _at(self, at: float, work: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, work))

    def _start_call(self, now: float) -> None:
        self._count += 1
        call = call_lib.Call(
            request=routing_mesh.make_call_request(
                f"r{self._count}", now=now, timeout_s=DEADLINE_S
            ),
            options=call_lib.CallOptions(moves_need_room=True),
            retry_policy=self._policy,
        )
        entry = self._source.randrange(len(self._balancers))
        self._step_call(entry, call, events.Started(), now)

    def _step_call(
        self, entry: int, call: call_lib.Call, event: events.Event, now: float
    ) -> None:
        balancer = self._balancers[entry]
        for action in call.step(event, now):
            match action:
                case events.PickServer():
                    pick = balancer_events.Pick(
                        service="desk",
                        version=1,
                        candidates=self._candidates,
                        tried=action.tried,
                        needs_room=action.needs_room,
                        skips_rate_limited=action.skips_rate_limited,
                    )
                    decision = balancer.pick(pick, now)
                    picked = events.Picked(decision=decision)
                    self._step_call(entry, call, picked, now)
                case events.SendAttempt():
                    self._send(entry, call, action, now)
                case events.ReleaseServer():
                    balancer.step(action.finished, now)
                case events.AnswerCaller():
                    self.answered += 1
                case events.FailCaller():
                    self.failed.append(action.status)
                case _:
                    pass

    def _send(
        self,
        entry: int,
        call: call_lib.Call,
        action: events.SendAttempt,
        now: float,
    ) -> None:
        server = self.servers[action.server.server_id]
        self._attempts[action.attempt_id] = _Attempt(
            entry=entry, call=call, number=action.number, server=server
        )
        arrived = admission_events.Arrived(
            request_id=action.attempt_id, priority=1, deadline=action.deadline
        )
        known = self._known[entry].find(action.server.server_id)

        def arrive(at: float) -> None:
            if known is not None and known.rate_limit is not None:
                adopted = admission_events.RateKnown(rate=known.rate_limit)
                self._step_owner(server, adopted, at)
            self._step_owner(server, arrived, at)

        self._at(now + HOP_S, arrive)

    def _step_owner(
        self, server: Server, event: admission_events.Event, now: float
    ) -> None:
        for action in server.admission.step(event, now):
            match action:
                case admission_events.Admitted():
                    self._run(server, action.request_id, now)
                case admission_events.Refused():
                    server.refusals += 1
                    self._end(action.request_id, now, action)

    def _run(self, server: Server, attempt_id: str, now: float) -> None:
        entry = self._attempts[attempt_id].entry
        server.arrivals.append((now, entry))
        admission = server.admission

        def end(at: float) -> None:
            limit = server.limit(at)
            if admission is not server.admission:
                # The owner has restarted meanwhile.
                self._end(attempt_id, at, None)
                return
            stated = admission_events.RateStated(
                request_id=attempt_id, rate=limit
            )
            self._step_owner(server, stated, at)
            ended = admission_events.Ended(request_id=attempt_id)
            self._step_owner(server, ended, at)
            if limit is not None:
                server.told_at.setdefault(entry, at + HOP_S)
            self._end(attempt_id, at, None)

        self._at(now + RUN_S, end)

    def _end(
        self,
        attempt_id: str,
        now: float,
        refused: admission_events.Refused | None,
    ) -> None:
        attempt = self._attempts.pop(attempt_id)
        ending = events.Ending.ANSWERED
        if refused is not None:
            is_limited = (
                refused.reason is admission_events.RefusalReason.RATE_LIMIT
            )
            ending = (
                events.Ending.RATE_LIMITED
                if is_limited
                else events.Ending.REFUSED
            )
        ended = events.AttemptEnded(
            number=attempt.number,
            ending=ending,
            status=200 if refused is None else 0,
            load_report=attempt.server.admission.report(now),
            retry_after_s=0.0 if refused is None else refused.retry_after_s,
        )
        stated = known_statements.KnownStatement(
            instance="i",
            born_ms=1,
            rate_limit=attempt.server.admission.rate_limit,
        )

        def arrive(at: float) -> None:
            self._known[attempt.entry].record(
                attempt.server.candidate.server_id, stated
            )
            self._step_call(attempt.entry, attempt.call, ended, at)

        self._at(now + HOP_S, arrive)


def _make_admission() -> admission_lib.Admission:
    return admission_lib.Admission(
        limit=concurrency_limits.FixedLimit(SLOTS),
        order=queues.FairShareOrder(),
    )


def _sum_limit(limit: Limit, start: float) -> float:
    """Returns the requests that a limit allows in a window without excess."""
    steps = 40
    step_s = WINDOW_S / steps
    limits = [limit(start + number * step_s) for number in range(steps)]
    return sum(
        step_s * (float("inf") if each is None else each) for each in limits
    )
