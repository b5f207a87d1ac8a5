"""Tests of servers that don't answer, in virtual time."""

import heapq
import random

from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import retries
from tests import fixtures
from tests import routing_mesh

SERVERS = 5
SILENT = "s0"
RUN_S = 0.1
DEADLINE_S = 1.0
GAP_S = 0.3
LENGTH_S = 60.0
# Users are alerted when over a tenth of a kind of request is not served.
MAX_LOST_SHARE = 0.1


class _Entry:
    """Simulates calls of one entry to servers, one of which never answers."""

    def __init__(self) -> None:
        self._candidates = routing_mesh.make_candidates(SERVERS, domains=1)
        self._balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="d0"),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(1),
        )
        self._balancer.step(
            balancer_events.TableInstalled(candidates=self._candidates), 0.0
        )
        self._due: list[tuple[float, int, call_lib.Call, events.Event]] = []
        self._count = 0
        self.lost = 0

    def run(self) -> int:
        """Runs the calls; returns their number."""
        count = int(LENGTH_S / GAP_S)
        for number in range(count):
            self._push(number * GAP_S, self._make_call(number * GAP_S))
        while self._due:
            now, _, call, event = heapq.heappop(self._due)
            self._step(call, event, now)
        return count

    def _push(
        self,
        now: float,
        call: call_lib.Call,
        event: events.Event | None = None,
    ) -> None:
        self._count += 1
        due = (now, self._count, call, event or events.Started())
        heapq.heappush(self._due, due)

    def _make_call(self, now: float) -> call_lib.Call:
        return call_lib.Call(
            request=routing_mesh.make_call_request(
                "r", now=now, timeout_s=DEADLINE_S
            ),
            options=call_lib.CallOptions(),
            retry_policy=retries.RetryBudget(cap=5),
        )

    def _step(
        self, call: call_lib.Call, event: events.Event, now: float
    ) -> None:
        for action in call.step(event, now):
            match action:
                case events.PickServer():
                    pick = balancer_events.Pick(
                        service="desk",
                        version=1,
                        candidates=self._candidates,
                        tried=action.tried,
                    )
                    decision = self._balancer.pick(pick, now)
                    self._step(call, events.Picked(decision=decision), now)
                case events.SendAttempt():
                    if action.server.server_id != SILENT:
                        self._push(now + RUN_S, call, _answer(action))
                case events.SetTimer():
                    self._push(action.at, call, events.TimerFired())
                case events.ReleaseServer():
                    self._balancer.step(action.finished, now)
                case events.FailCaller():
                    self.lost += 1
                case _:
                    pass


def _answer(action: events.SendAttempt) -> events.AttemptEnded:
    return events.AttemptEnded(
        number=action.number,
        ending=events.Ending.ANSWERED,
        status=200,
        load_report=load_reports.LoadReport(
            running=1, queued=0, limit=20, latency_s=RUN_S
        ),
    )


def test_server_that_never_answers_does_not_look_idle() -> None:
    """Calls that it leaves without an answer attract no further calls."""
    entry = _Entry()
    count = entry.run()
    assert entry.lost <= MAX_LOST_SHARE * count, (entry.lost, count)


load_tests = fixtures.collect(__name__)
