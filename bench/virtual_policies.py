"""Compares routing policies in a simulation in virtual time.

Run `python -m bench.virtual_policies [SIZE...]`; the sizes are `order-desk`
(the default) and `booking`.

One event queue drives the entry nodes, owner nodes and backend servers. It
runs the product's own balancer, admission and call state machines. A backend
server is modelled as a queue with a number of slots. The figures rank policies
against each other; they don't predict the latency of real processes.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import sys

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import table as table_lib

SEED = 11
WARM_UP_S = 0.5
MEASURED_S = 2.0
DOMAINS = 3
NEAR_HOP_S = 0.0002
FAR_HOP_S = 0.001
URGENT_SHARE = 0.7
URGENT_RUN_S = 0.04
NORMAL_RUN_S = 0.12
URGENT_TIMEOUT_S = 0.5
NORMAL_TIMEOUT_S = 2.0
SLOW_FACTOR = 5.0
LOADS = (0.8, 1.2, 2.0, 5.0)
ROUTE_RETRIES = 2
UNLIMITED = 1_000_000
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSize:
    """Number of servers and slots of a simulated service.

    Attributes:
      name: Service name, as given on the command line.
      servers: Number of backend servers, each on a node of its own.
      slots: Requests that one server runs at a time.
    """

    name: str
    servers: int
    slots: int


SIZES = (
    ServiceSize(name="order-desk", servers=7, slots=20),
    ServiceSize(name="booking", servers=10, slots=10),
)


DEFAULT_SIZES = ["order-desk"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySet:
    """A combination of policies; the defaults are the product's.

    Attributes:
      name: Row label, which names the policy that differs from the default.
      pick: Policy that picks a server.
      own_domain: Whether servers in the entry's failure domain are preferred.
      limit: Makes the concurrency limit for a number of slots.
      order: Order of the queue at the owner.
      retry: Makes the retry policy of an entry.
      retries: Retries that the route of urgent calls allows.
      moves: How often a request that did not run may move to another server.
      hedge: Whether calls are hedged.
    """

    name: str
    pick: type[pick_policies.PickPolicy] = pick_policies.TwoChoicesPick
    own_domain: bool = True
    limit: Callable[[int], concurrency_limits.LimitPolicy] = (
        concurrency_limits.FixedLimit
    )
    order: type[queues.QueueOrder] = queues.DeadlineOrder
    retry: Callable[[], retries.RetryPolicy] = lambda: retries.RetryBudget(
        cap=3
    )
    retries: int = ROUTE_RETRIES
    moves: int = call_lib.MAX_MOVES
    hedge: bool = False


POLICY_SETS = (
    PolicySet(name="default"),
    PolicySet(name="pick=random", pick=pick_policies.RandomPick),
    PolicySet(name="pick=least", pick=pick_policies.LeastCostPick),
    PolicySet(name="own-domain=off", own_domain=False),
    PolicySet(name="limit=none", limit=lambda _: concurrency_limits.NoLimit()),
    PolicySet(name="limit=adaptive", limit=concurrency_limits.AdaptiveLimit),
    PolicySet(name="queue=fifo", order=queues.ArrivalOrder),
    PolicySet(
        name="retry=unlimited",
        retry=retries.UnlimitedRetries,
        retries=UNLIMITED,
        moves=UNLIMITED,
    ),
    PolicySet(name="retry=capped", retry=lambda: retries.CappedRetries(cap=3)),
    PolicySet(name="hedge=on", hedge=True),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Tally:
    """Counts and latencies of the measured calls.

    Attributes:
      calls: Calls that ended.
      attempts: Attempts of these calls.
      refused: Calls that failed and certainly did not run.
      unknown: Calls that failed and may have run.
      latencies_s: Time of each answered call, in seconds.
      urgent: Urgent calls that ended.
      urgent_s: Time of each answered urgent call, in seconds.
    """

    calls: int = 0
    attempts: int = 0
    refused: int = 0
    unknown: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    urgent: int = 0
    urgent_s: list[float] = dataclasses.field(default_factory=list)


class Simulation:
    """Simulates one service with one set of policies under one load.

    Args:
      size: Simulated service.
      setup: Policies.
      load: Offered work as a share of what the healthy servers can run.
      faulty: Whether the first server is slow and the last one down.
    """

    def __init__(
        self, *, size: ServiceSize, setup: PolicySet, load: float, faulty: bool
    ) -> None:
        self.size = size
        self.setup = setup
        self.random = random.Random(SEED)
        self.now = 0.0
        self.tally = Tally()
        self.candidates = _make_candidates(size)
        self.owners = {
            each.server_id: OwnerNode(self, each) for each in self.candidates
        }
        if faulty:
            self.owners["s0"].slow_factor = SLOW_FACTOR
            self.owners[f"s{size.servers - 1}"].dead = True
        self.entries = [
            EntryNode(self, number) for number in range(size.servers)
        ]
        mean_s = URGENT_SHARE * URGENT_RUN_S + (1 - URGENT_SHARE) * NORMAL_RUN_S
        self._rate = load * size.servers * size.slots / mean_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a virtual time in seconds."""
        heapq.heappush(self._queue, (when, next(self._numbers), callback))

    def run(self) -> Tally:
        """Runs until no event is left; returns the counts of the calls."""
        self._start_next_call()
        while self._queue:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        return self.tally

    def _start_next_call(self) -> None:
        if self.now >= WARM_UP_S + MEASURED_S:
            return
        entry = self.entries[self.random.randrange(len(self.entries))]
        urgent = self.random.random() < URGENT_SHARE
        CallDriver(self, entry, urgent).start()
        self.schedule(
            self.now + self.random.expovariate(self._rate),
            self._start_next_call,
        )


class EntryNode:
    """Simulates the balancer and retry policy of one entry node."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        setup = simulation.setup
        self.failure_domain = f"d{number % DOMAINS}"
        self.retry_policy = setup.retry()
        self.balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(
                failure_domain=self.failure_domain,
                prefer_own_domain=setup.own_domain,
            ),
            policy=setup.pick(),
            source=simulation.random,
        )


class OwnerNode:
    """Simulates the admission of one owner node, and its backend server."""

    def __init__(
        self, simulation: Simulation, candidate: table_lib.Candidate
    ) -> None:
        self.simulation = simulation
        self.slow_factor = 1.0
        self.dead = False
        self._slots = candidate.slots
        self._admission = admission_lib.Admission(
            limit=simulation.setup.limit(candidate.slots),
            order=simulation.setup.order(),
        )
        self._attempts: dict[str, Attempt] = {}
        self._busy: set[str] = set()
        self._backlog: list[str] = []

    def receive(self, attempt: "Attempt") -> None:
        """Receives an attempt and passes it to admission."""
        if attempt.cancelled:
            return
        self._attempts[attempt.attempt_id] = attempt
        self._step(
            admission_events.Arrived(
                request_id=attempt.attempt_id,
                priority=attempt.driver.priority,
                deadline=attempt.deadline,
            )
        )

    def cancel(self, attempt_id: str) -> None:
        """Receives the cancellation of an attempt and frees its slot."""
        if self._attempts.pop(attempt_id, None) is None:
            return
        self._free_slot(attempt_id)
        self._step(admission_events.Cancelled(request_id=attempt_id))

    def _step(self, event: admission_events.Event) -> None:
        for action in self._admission.step(event, self.simulation.now):
            match action:
                case admission_events.Admitted():
                    self._backlog.append(action.request_id)
                    self._run_next()
                case admission_events.Refused():
                    attempt = self._attempts.pop(action.request_id)
                    self._send_result(attempt, events.Ending.REFUSED, 0)

    def _run_next(self) -> None:
        while self._backlog and len(self._busy) < self._slots:
            attempt_id = self._backlog.pop(0)
            attempt = self._attempts[attempt_id]
            self._busy.add(attempt_id)
            run_s = attempt.driver.run_s * self.slow_factor
            self.simulation.schedule(
                self.simulation.now + run_s,
                lambda each=attempt_id: self._finish_run(each),  # type: ignore[misc]
            )

    def _finish_run(self, attempt_id: str) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._free_slot(attempt_id)
        self._step(admission_events.Ended(request_id=attempt_id))
        self._send_result(attempt, events.Ending.ANSWERED, 200)

    def _free_slot(self, attempt_id: str) -> None:
        self._busy.discard(attempt_id)
        if attempt_id in self._backlog:
            self._backlog.remove(attempt_id)
        self._run_next()

    def _send_result(
        self, attempt: "Attempt", ending: events.Ending, status: int
    ) -> None:
        attempt.send_result(ending, status, self._admission)


class Attempt:
    """One attempt of a call, from the entry to the owner and back."""

    def __init__(
        self, driver: "CallDriver", action: events.SendAttempt
    ) -> None:
        self.driver = driver
        self.number = action.number
        self.attempt_id = action.attempt_id
        self.deadline = action.deadline
        self.server = action.server
        self.cancelled = False
        near = action.server.failure_domain == driver.entry.failure_domain
        self.hop_s = NEAR_HOP_S if near else FAR_HOP_S

    def send_result(
        self,
        ending: events.Ending,
        status: int,
        admission: admission_lib.Admission | None = None,
    ) -> None:
        """Delivers the result of the attempt to its call after one hop.

        Args:
          ending: How the attempt ended.
          status: HTTP status; 0 without an answer.
          admission: Source of the load report, or None if unreachable.
        """
        simulation = self.driver.simulation
        report = None
        if admission is not None:
            report = admission.report(simulation.now)
        event = events.AttemptEnded(
            number=self.number,
            ending=ending,
            status=status,
            load_report=report,
        )
        simulation.schedule(
            simulation.now + self.hop_s, lambda: self.driver.step(event)
        )


class CallDriver:
    """Runs the state machine of one call and carries out its actions."""

    def __init__(
        self, simulation: Simulation, entry: EntryNode, urgent: bool
    ) -> None:
        self.simulation = simulation
        self.entry = entry
        self.priority = (
            services.Priority.URGENT if urgent else services.Priority.NORMAL
        )
        mean_s = URGENT_RUN_S if urgent else NORMAL_RUN_S
        self.run_s = mean_s * simulation.random.uniform(0.25, 1.75)
        self._started_at = simulation.now
        self._measured = simulation.now >= WARM_UP_S
        self._attempts: dict[int, Attempt] = {}
        route = _make_route(simulation.setup, self.priority)
        self._call = call_lib.Call(
            request=events.CallRequest(
                request_id=str(id(self)),
                service="s",
                route=route,
                version=1,
                chain=chain_lib.Chain(),
                arrived_at=simulation.now,
            ),
            options=call_lib.CallOptions(
                hedge=simulation.setup.hedge, max_moves=simulation.setup.moves
            ),
            retry_policy=entry.retry_policy,
        )

    def start(self) -> None:
        """Starts the call."""
        self.step(events.Started())

    def step(self, event: events.Event) -> None:
        """Handles one event and carries out the actions."""
        for action in self._call.step(event, self.simulation.now):
            self._carry_out(action)

    def _carry_out(self, action: events.Action) -> None:
        simulation = self.simulation
        match action:
            case events.PickServer():
                self._pick_server(action)
            case events.SendAttempt():
                self._send_attempt(action)
            case events.CancelAttempt():
                attempt = self._attempts[action.number]
                attempt.cancelled = True
                owner = simulation.owners[attempt.server.server_id]
                simulation.schedule(
                    simulation.now + attempt.hop_s,
                    lambda: owner.cancel(attempt.attempt_id),
                )
            case events.ReleaseServer():
                self.entry.balancer.step(action.finished, simulation.now)
            case events.SetTimer():
                simulation.schedule(
                    action.at, lambda: self.step(events.TimerFired())
                )
            case _:
                self._count_call(action)

    def _pick_server(self, action: events.PickServer) -> None:
        event = balancer_events.Pick(
            service="s",
            version=1,
            candidates=self.simulation.candidates,
            tried=action.tried,
        )
        decision = self.entry.balancer.pick(event, self.simulation.now)
        self.step(events.Picked(decision=decision))

    def _send_attempt(self, action: events.SendAttempt) -> None:
        simulation = self.simulation
        attempt = Attempt(self, action)
        self._attempts[action.number] = attempt
        owner = simulation.owners[action.server.server_id]
        if owner.dead:
            attempt.send_result(events.Ending.UNREACHABLE, 0)
            return
        simulation.schedule(
            simulation.now + attempt.hop_s, lambda: owner.receive(attempt)
        )

    def _count_call(self, action: events.Action) -> None:
        if not self._measured:
            return
        tally = self.simulation.tally
        urgent = self.priority == services.Priority.URGENT
        tally.calls += 1
        tally.urgent += urgent
        tally.attempts += self._call.attempts
        if isinstance(action, events.AnswerCaller):
            latency_s = self.simulation.now - self._started_at
            tally.latencies_s.append(latency_s)
            if urgent:
                tally.urgent_s.append(latency_s)
        elif isinstance(action, events.FailCaller):
            not_run = action.outcome.value == "not-run"
            tally.refused += not_run
            tally.unknown += not not_run


def _make_candidates(size: ServiceSize) -> tuple[table_lib.Candidate, ...]:
    return tuple(
        table_lib.Candidate(
            server_id=f"s{number}",
            incarnation=1,
            node_id=f"n{number}",
            failure_domain=f"d{number % DOMAINS}",
            http_address="",
            slots=size.slots,
        )
        for number in range(size.servers)
    )


def _make_route(setup: PolicySet, priority: int) -> services.Route:
    urgent = priority == services.Priority.URGENT
    return services.Route(
        name=f"rank-{priority}",
        host="h",
        path_prefix="/",
        methods=("GET",),
        timeout_s=URGENT_TIMEOUT_S if urgent else NORMAL_TIMEOUT_S,
        retries=setup.retries if urgent else 0,
        priority=priority,
        idempotent=urgent,
        callers=(),
        services=(),
        max_body_bytes=0,
    )


def _compute_quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _format_row(setup: PolicySet, tally: Tally) -> str:
    calls = max(1, tally.calls)
    urgent_answered = len(tally.urgent_s) / max(1, tally.urgent)
    return (
        f"{setup.name:<16}"
        f"{len(tally.latencies_s) / calls:>9.1%}"
        f"{urgent_answered:>9.1%}"
        f"{_compute_quantile(tally.latencies_s, 0.5) * MS_PER_S:>8.0f}"
        f"{_compute_quantile(tally.latencies_s, 0.99) * MS_PER_S:>8.0f}"
        f"{_compute_quantile(tally.urgent_s, 0.99) * MS_PER_S:>8.0f}"
        f"{tally.refused / calls:>9.1%}"
        f"{tally.unknown / calls:>9.1%}"
        f"{(tally.attempts - tally.calls) / calls:>9.3f}"
    )


def main(names: list[str]) -> int:
    """Prints a table for each combination of size, server state and load."""
    sizes = [size for size in SIZES if size.name in (names or DEFAULT_SIZES)]
    header = (
        f"{'policy':<16}{'answered':>9}{'urgent':>9}{'p50ms':>8}{'p99ms':>8}"
        f"{'u99ms':>8}{'not-run':>9}{'unknown':>9}{'retries':>9}"
    )
    for size, faulty, load in itertools.product(sizes, (False, True), LOADS):
        state = "one slow, one dead" if faulty else "healthy"
        print(f"\n{size.name}, {load}x load, {state}, virtual time\n{header}")
        for setup in POLICY_SETS:
            tally = Simulation(
                size=size, setup=setup, load=load, faulty=faulty
            ).run()
            print(_format_row(setup, tally), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
