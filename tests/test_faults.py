"""Tests of calls as a whole: retry storms, lost domains and overload."""

from collections.abc import Callable
import functools
import random

from bench import virtual_policies as policies

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import retries
from tests import fixtures
from tests import routing_mesh

DEPTH = 12
EndAttempt = Callable[[events.SendAttempt], events.AttemptEnded]
SERVERS = 6


class Service:
    """A service of a chain, with the balancer and budget of its entry."""

    def __init__(self, dead: frozenset[str] = frozenset()) -> None:
        self.dead = dead
        self.attempts = 0
        self.candidates = routing_mesh.make_candidates(SERVERS)
        self.budget = retries.RetryBudget(cap=3)
        self.balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(failure_domain="d0"),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(3),
        )

    def pick(
        self, action: events.PickServer, now: float
    ) -> balancer_events.Decision:
        """Answers a PickServer."""
        return self.balancer.pick(
            balancer_events.Pick(
                service="s",
                version=1,
                candidates=self.candidates,
                tried=action.tried,
            ),
            now,
        )

    def drive(
        self, call: call_lib.Call, now: float, end: EndAttempt
    ) -> events.Action:
        """Runs a call to its end; `end` returns the end of each attempt."""
        waiting: list[events.Event] = [events.Started()]
        while waiting:
            for action in call.step(waiting.pop(0), now):
                match action:
                    case events.PickServer():
                        decision = self.pick(action, now)
                        waiting.append(events.Picked(decision=decision))
                    case events.SendAttempt():
                        waiting.append(end(action))
                    case events.ReleaseServer():
                        self.balancer.step(action.finished, now)
                    case events.AnswerCaller() | events.FailCaller():
                        return action
        raise AssertionError("the call has no end")


class Chain:
    """Services that call each other; the last one ends with `ending`."""

    def __init__(self, *, ending: events.Ending) -> None:
        self.ending = ending
        self.services = [Service() for _ in range(DEPTH)]

    def call(self, level: int, chain: chain_lib.Chain) -> events.Action:
        """Runs a call of one service with all calls that it causes."""
        service = self.services[level]
        call = call_lib.Call(
            request=events.CallRequest(
                request_id="r",
                service="s",
                route=routing_mesh.make_route(idempotent=True, retries=2),
                version=1,
                chain=chain,
                arrived_at=0.0,
            ),
            options=call_lib.CallOptions(),
            retry_policy=service.budget,
        )
        return service.drive(call, 0.0, lambda sent: self._end(level, sent))

    def _end(self, level: int, sent: events.SendAttempt) -> events.AttemptEnded:
        self.services[level].attempts += 1
        if level == DEPTH - 1:
            return events.AttemptEnded(number=sent.number, ending=self.ending)
        headers = chain_lib.format_headers(sent.chain)
        self.call(level + 1, chain_lib.parse_headers(headers))
        return events.AttemptEnded(
            number=sent.number, ending=events.Ending.ANSWERED, status=503
        )


def test_failing_service_twelve_deep_is_not_stormed() -> None:
    """Only the first entry retries, so each level gets three attempts."""
    chain = Chain(ending=events.Ending.LOST)
    chain.call(0, chain_lib.Chain())
    assert [each.attempts for each in chain.services] == [3] * DEPTH


def test_full_service_twelve_deep_is_not_stormed() -> None:
    """Refusals move at the last level only, and within its budget."""
    chain = Chain(ending=events.Ending.REFUSED)
    for _ in range(100):
        chain.call(0, chain_lib.Chain())
    counts = [each.attempts for each in chain.services]
    assert counts[0] <= 100 + 100 * retries.BUDGET_SHARE + 20, counts
    arrived = counts[-2]
    bound = arrived * (1 + retries.BUDGET_SHARE) + retries.BUDGET_MAX_TOKENS
    assert counts[-1] <= bound, counts


def test_lost_failure_domain_fails_no_call() -> None:
    """When an entry's failure domain is lost, others answer every call."""
    dead = frozenset({"s0", "s3"})
    service = Service(dead)
    attempts = 0
    for number in range(200):
        now = number * 0.01
        call = call_lib.Call(
            request=events.CallRequest(
                request_id="r",
                service="s",
                route=routing_mesh.make_route(idempotent=False),
                version=1,
                chain=chain_lib.Chain(),
                arrived_at=now,
            ),
            options=call_lib.CallOptions(),
            retry_policy=service.budget,
        )
        end = service.drive(call, now, lambda sent: _end(service, sent))
        assert end == events.AnswerCaller(number=call.attempts, outcome=None)
        attempts += call.attempts
    assert attempts <= 200 + 10, attempts


def _end(service: Service, sent: events.SendAttempt) -> events.AttemptEnded:
    if sent.server.server_id in service.dead:
        return events.AttemptEnded(
            number=sent.number, ending=events.Ending.UNREACHABLE
        )
    return events.AttemptEnded(
        number=sent.number, ending=events.Ending.ANSWERED, status=200
    )


def _overload(load: float) -> policies.Tally:
    size = policies.ServiceSize(name="small", servers=3, slots=4)
    return policies.Simulation(
        size=size, setup=policies.POLICY_SETS[0], load=load, faulty=False
    ).run()


def test_overload_is_refused_with_proof_and_urgent_goes_first() -> None:
    """At 2x and 5x load calls are answered, and failed ones are not-run."""
    for load in (2.0, 5.0):
        tally = _overload(load)
        answered = len(tally.latencies_s)
        urgent = len(tally.urgent_s)
        assert tally.unknown == 0, load
        assert answered + tally.refused == tally.calls
        normal_share = (answered - urgent) / (tally.calls - tally.urgent)
        assert urgent / tally.urgent > normal_share
        retried = tally.attempts - tally.calls
        assert retried <= tally.calls * (retries.BUDGET_SHARE + 0.05)
        assert answered / tally.calls > 0.8 / load, (load, answered)


def test_unproven_outcome_is_never_told_as_not_run() -> None:
    """One attempt that may have run makes the outcome of a call unknown."""
    source = random.Random(5)
    for _ in range(2000):
        service = Service()
        seen: set[events.Ending] = set()
        call = call_lib.Call(
            request=events.CallRequest(
                request_id="r",
                service="s",
                route=routing_mesh.make_route(
                    idempotent=source.random() < 0.5, retries=2
                ),
                version=1,
                chain=chain_lib.Chain(),
                arrived_at=0.0,
            ),
            options=call_lib.CallOptions(),
            retry_policy=service.budget,
        )
        end_any = functools.partial(_end_any, source=source, seen=seen)
        end = service.drive(call, 0.0, end_any)
        if isinstance(end, events.FailCaller):
            proven = not seen & {
                events.Ending.ANSWERED,
                events.Ending.LOST,
                events.Ending.CRASHED,
                events.Ending.TIMED_OUT,
            }
            told = end.outcome is outcomes.RequestOutcome.NOT_RUN
            assert told is proven, seen


def _end_any(
    sent: events.SendAttempt, source: random.Random, seen: set[events.Ending]
) -> events.AttemptEnded:
    endings = list(events.Ending)
    ending = endings[source.randrange(len(endings))]
    seen.add(ending)
    return events.AttemptEnded(
        number=sent.number, ending=ending, status=source.choice((200, 503))
    )


load_tests = fixtures.collect(__name__)
