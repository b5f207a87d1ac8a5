"""Compares placements on servers of uneven speed, in virtual time.

Run `python -m bench.uneven_servers [--loads 0.6,0.9] [--names today,two]`.

60 VMs in 4 failure domains, each an entry and the owner of a server of one
service. Servers differ in speed, are slowed 2.5 times for 15% of the time,
changing every 600 ms, and 3% of the work takes seven times as long. The
product's own balancer, call and admission decide.
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
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import retries
from lovagesaddle.core.routing import server_load
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.core.routing import uneven_placement

NEAR_HOP_S = 0.0005
FAR_HOP_S = 0.002
WARM_UP_S = 2.0
SPREAD = 0.8
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
      name: Name of its route.
      share: Share of all requests.
      work_s: Mean work, in seconds.
      target_s: Target latency, in seconds.
      timeout_s: Timeout, in seconds.
      priority: Priority of its route.
    """

    name: str
    share: float
    work_s: float
    target_s: float
    timeout_s: float
    priority: int


KINDS = (
    Kind(
        name="lookup",
        share=0.75,
        work_s=0.153,
        target_s=0.575,
        timeout_s=2.1,
        priority=2,
    ),
    Kind(
        name="call",
        share=0.25,
        work_s=0.0436,
        target_s=0.19,
        timeout_s=0.587,
        priority=0,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Setup:
    """A simulated service, its load and the placement.

    Attributes:
      servers: Number of VMs, each with a server.
      domains: Number of failure domains.
      entries: Number of entries on each VM; more than one for a mesh in which
        an entry sends a service little, so that its reports are older.
      slots: Requests that one server runs at a time.
      speeds: Speeds of the servers, in turn.
      noise_share: Share of the time for which a server is slowed.
      noise_factor: Factor by which work takes longer then.
      noise_s: Time between two changes, in seconds.
      kinds: Kinds of requests.
      load: Offered work as a share of what all servers can run.
      uneven_load: Load of the busiest failure domain beyond the mean.
      measured_s: Measured time, in seconds.
      tells: Whether the servers tell their slowdown.
      placement: Options of the placement, used if they do.
      seed: Seed of all random numbers.
    """

    servers: int = 60
    domains: int = 4
    entries: int = 1
    slots: int = 6
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2, 0.5, 1.0, 1.0, 1.5)
    noise_share: float = 0.15
    noise_factor: float = 2.5
    noise_s: float = 0.6
    kinds: tuple[Kind, ...] = KINDS
    load: float = 0.6
    uneven_load: float = 0.3
    measured_s: float = 8.0
    tells: bool = True
    placement: uneven_placement.PlacementOptions = dataclasses.field(
        default_factory=uneven_placement.PlacementOptions
    )
    seed: int = 11


@dataclasses.dataclass(slots=True, kw_only=True)
class Tally:
    """Counts of the measured calls.

    Attributes:
      calls: Calls that ended.
      in_time: Calls answered within their target.
      latencies_s: Time of each answered call, in seconds.
      attempts: Attempts of these calls.
      far: Attempts sent to another failure domain.
      lowest_use: Smallest share of a server's slots in use.
      highest_use: Largest share of a server's slots in use.
    """

    calls: int = 0
    in_time: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    attempts: int = 0
    far: int = 0
    lowest_use: float = 0.0
    highest_use: float = 0.0

    @property
    def in_time_share(self) -> float:
        """Share of the calls that were answered within their target."""
        return self.in_time / max(1, self.calls)

    @property
    def served_share(self) -> float:
        """Share of the calls that were answered."""
        return len(self.latencies_s) / max(1, self.calls)

    @property
    def far_share(self) -> float:
        """Share of the attempts that left the failure domain."""
        return self.far / max(1, self.attempts)

    @property
    def p99_s(self) -> float:
        """Latency that 99 of 100 answered calls keep, in seconds."""
        ordered = sorted(self.latencies_s) or [0.0]
        return ordered[int(0.99 * len(ordered))]


class Simulation:
    """Simulates one service in virtual time."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        # Arrivals and work are the same whatever the balancers draw.
        self.random = random.Random(setup.seed)
        self.picks = random.Random(setup.seed + 1)
        self.now = 0.0
        self.tally = Tally()
        self.candidates = tuple(
            table_lib.Candidate(
                server_id=f"s{number}",
                incarnation=1,
                node_id=f"n{number}",
                failure_domain=f"d{number % setup.domains}",
                http_address="",
                slots=setup.slots,
            )
            for number in range(setup.servers)
        )
        self.owners = {
            each.server_id: OwnerNode(self, number)
            for number, each in enumerate(self.candidates)
        }
        self.entries = [
            EntryNode(self, each.failure_domain)
            for each in self.candidates * setup.entries
        ]
        speeds = [owner.speed for owner in self.owners.values()]
        mean_s = sum(kind.share * kind.work_s for kind in setup.kinds)
        mean_s *= 1 + setup.noise_share * (setup.noise_factor - 1)
        self._rate = setup.load * sum(speeds) * setup.slots / mean_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.end_s = WARM_UP_S + setup.measured_s

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a time in seconds."""
        heapq.heappush(
            self._queue, (self.now + delay_s, next(self._numbers), callback)
        )

    def run(self) -> Tally:
        """Runs until no event is left; returns the counts of the calls."""
        self._start_next_call()
        while self._queue:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        uses = [owner.busy_s for owner in self.owners.values()]
        room_s = self.setup.slots * self.setup.measured_s
        self.tally.lowest_use = min(uses) / room_s
        self.tally.highest_use = max(uses) / room_s
        return self.tally

    def _start_next_call(self) -> None:
        if self.now >= self.end_s:
            return
        entry = self._draw_entry()
        kind = self.random.choices(
            self.setup.kinds, [each.share for each in self.setup.kinds]
        )[0]
        CallDriver(self, entry, kind).start()
        self.schedule(
            self.random.expovariate(self._rate), self._start_next_call
        )

    def _draw_entry(self) -> "EntryNode":
        """Draws an entry; domain d0 gets more than the mean, d1 less."""
        entry = self.random.choice(self.entries)
        if (
            entry.failure_domain == "d1"
            and self.random.random() < self.setup.uneven_load
        ):
            number = self.random.randrange(len(self.entries))
            number -= number % self.setup.domains
            return self.entries[number]
        return entry


class EntryNode:
    """Simulates the balancer and retry policy of one entry node."""

    def __init__(self, simulation: Simulation, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.retry_policy = retries.RetryBudget(cap=8)
        self.balancer = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(
                failure_domain=failure_domain,
                uneven=simulation.setup.placement,
            ),
            policy=pick_policies.TwoChoicesPick(),
            source=simulation.picks,
        )
        self.balancer.step(
            balancer_events.TableInstalled(candidates=simulation.candidates),
            0.0,
        )


class OwnerNode:
    """Simulates the admission of one owner node, and its backend server."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        setup = simulation.setup
        self.speed = setup.speeds[number // setup.domains % len(setup.speeds)]
        self.busy_s = 0.0
        self._simulation = simulation
        self._noises = random.Random(setup.seed * 1000 + number)
        self._phase_s = self._noises.random() * setup.noise_s
        self._epoch = -1
        self._noise = 1.0
        self._admission = admission_lib.Admission(
            limit=concurrency_limits.FixedLimit(setup.slots),
            order=queues.FairShareOrder(),
        )
        self._attempts: dict[str, Attempt] = {}
        self._running = 0

    def receive(self, attempt: "Attempt", *, may_move: bool) -> None:
        """Receives an attempt and passes it to admission."""
        self._attempts[attempt.attempt_id] = attempt
        kind = attempt.driver.kind
        target = attempt.driver.started_at + kind.target_s
        self._step(
            admission_events.Arrived(
                request_id=attempt.attempt_id,
                priority=kind.priority,
                deadline=attempt.deadline,
                target=target,
                kind=kind.name,
                may_move=may_move,
            )
        )

    def _step(self, event: admission_events.Event) -> None:
        now = self._simulation.now
        for action in self._admission.step(event, now):
            match action:
                case admission_events.Admitted():
                    self._start(self._attempts[action.request_id])
                case admission_events.Refused():
                    attempt = self._attempts.pop(action.request_id)
                    ending = events.Ending.REFUSED
                    if (
                        action.reason
                        is admission_events.RefusalReason.EXPECTED_LATE
                    ):
                        ending = events.Ending.EXPECTED_LATE
                    attempt.send_result(ending, 0, self._report(attempt))

    def _report(self, attempt: "Attempt") -> load_reports.LoadReport:
        return self._admission.report(
            self._simulation.now, attempt.driver.kind.name
        )

    def _start(self, attempt: "Attempt") -> None:
        run_s = attempt.driver.work_s * self._find_noise() / self.speed
        simulation = self._simulation
        start = max(simulation.now, WARM_UP_S)
        end = min(simulation.now + run_s, simulation.end_s)
        self.busy_s += max(0.0, end - start)
        self._running += 1
        simulation.schedule(run_s, lambda: self._finish(attempt))

    def _finish(self, attempt: "Attempt") -> None:
        self._attempts.pop(attempt.attempt_id)
        if self._simulation.setup.tells:
            load = server_load.ServerLoad(
                running=self._running,
                waiting=0,
                slots=self._simulation.setup.slots,
                slowdown=self._find_noise(),
            )
            self._step(admission_events.LoadStated(load=load))
        self._running -= 1
        report = self._report(attempt)
        self._step(admission_events.Ended(request_id=attempt.attempt_id))
        attempt.send_result(events.Ending.ANSWERED, 200, report)

    def _find_noise(self) -> float:
        setup = self._simulation.setup
        epoch = int((self._simulation.now + self._phase_s) / setup.noise_s)
        while self._epoch < epoch:
            self._epoch += 1
            slowed = self._noises.random() < setup.noise_share
            self._noise = setup.noise_factor if slowed else 1.0
        return self._noise


class Attempt:
    """One attempt of a call, from the entry to the owner and back."""

    def __init__(
        self, driver: "CallDriver", action: events.SendAttempt
    ) -> None:
        self.driver = driver
        self.number = action.number
        self.attempt_id = action.attempt_id
        self.deadline = action.deadline
        domain = action.server.failure_domain
        self.is_far = domain != driver.entry.failure_domain
        self.hop_s = FAR_HOP_S if self.is_far else NEAR_HOP_S

    def send_result(
        self,
        ending: events.Ending,
        status: int,
        report: load_reports.LoadReport,
    ) -> None:
        """Delivers the result of the attempt to its call after one hop."""
        event = events.AttemptEnded(
            number=self.number,
            ending=ending,
            status=status,
            load_report=report,
        )
        self.driver.simulation.schedule(
            self.hop_s, lambda: self.driver.step(event)
        )


class CallDriver:
    """Runs the state machine of one call and carries out its actions."""

    def __init__(
        self, simulation: Simulation, entry: EntryNode, kind: Kind
    ) -> None:
        self.simulation = simulation
        self.entry = entry
        self.kind = kind
        self.work_s = _draw_work(simulation.random, kind.work_s)
        self.started_at = simulation.now
        self._may_move = False
        self._call = call_lib.Call(
            request=events.CallRequest(
                request_id=str(next(simulation._numbers)),
                service="s",
                route=_make_route(kind),
                version=1,
                chain=chain_lib.Chain(),
                arrived_at=simulation.now,
            ),
            options=call_lib.CallOptions(moves_need_room=True),
            retry_policy=entry.retry_policy,
        )

    def start(self) -> None:
        """Starts the call."""
        self.step(events.Started())

    def step(self, event: events.Event) -> None:
        """Handles one event and carries out the actions."""
        for action in self._call.step(event, self.simulation.now):
            match action:
                case events.PickServer():
                    self._pick_server(action)
                case events.SendAttempt():
                    self._send_attempt(action)
                case events.ReleaseServer():
                    self.entry.balancer.step(
                        action.finished, self.simulation.now
                    )
                case events.AnswerCaller():
                    self._count_call(answered=True)
                case events.FailCaller():
                    self._count_call(answered=False)

    def _pick_server(self, action: events.PickServer) -> None:
        now = self.simulation.now
        event = balancer_events.Pick(
            service="s",
            version=1,
            candidates=self.simulation.candidates,
            tried=action.tried,
            needs_room=action.needs_room,
            kind=self.kind.name,
            target_s=self.started_at + self.kind.target_s - now,
        )
        decision = self.entry.balancer.pick(event, now)
        self._may_move = decision.may_move
        self.step(events.Picked(decision=decision))

    def _send_attempt(self, action: events.SendAttempt) -> None:
        attempt = Attempt(self, action)
        may_move = self._may_move
        if self._is_measured():
            self.simulation.tally.far += attempt.is_far
        owner = self.simulation.owners[action.server.server_id]
        self.simulation.schedule(
            attempt.hop_s, lambda: owner.receive(attempt, may_move=may_move)
        )

    def _is_measured(self) -> bool:
        return self.started_at >= WARM_UP_S

    def _count_call(self, *, answered: bool) -> None:
        if not self._is_measured():
            return
        tally = self.simulation.tally
        tally.calls += 1
        tally.attempts += self._call.attempts
        if answered:
            latency_s = self.simulation.now - self.started_at
            tally.latencies_s.append(latency_s)
            tally.in_time += latency_s <= self.kind.target_s


def _draw_work(source: random.Random, mean_s: float) -> float:
    """Draws the work of one request; its mean is `mean_s`."""
    mean_s /= 1 + TAIL_SHARE * (TAIL_FACTOR - 1)
    work_s = mean_s * source.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
    if source.random() < TAIL_SHARE:
        work_s *= TAIL_FACTOR
    return work_s


def _make_route(kind: Kind) -> services.Route:
    return services.Route(
        name=kind.name,
        host="h",
        path_prefix="/",
        methods=("GET",),
        timeout_s=kind.timeout_s,
        retries=1,
        priority=kind.priority,
        idempotent=True,
        callers=(),
        services=(),
        max_body_bytes=0,
        target_latency_s=kind.target_s,
    )


def format_row(name: str, tally: Tally) -> str:
    """Returns one line of the table."""
    moved = tally.attempts / max(1, tally.calls) - 1
    return (
        f"{name:<14}{tally.in_time_share:>9.1%}{tally.served_share:>9.1%}"
        f"{tally.p99_s:>9.3f}{tally.lowest_use:>8.2f}{tally.highest_use:>8.2f}"
        f"{tally.far_share:>9.1%}{moved:>9.3f}"
    )


Options = uneven_placement.PlacementOptions
PLACEMENTS: dict[str, Options | None] = {
    "today": None,
    "two": Options(draws=2),
    "three": Options(draws=3),
    "four": Options(),
    "four-keep": Options(moves=False),
    "all": Options(draws=0),
}


def main(arguments: list[str]) -> int:
    """Prints a table for each load."""
    settings = dict(zip(arguments[::2], arguments[1::2], strict=True))
    loads = [
        float(each)
        for each in settings.get("--loads", "0.5,0.7,0.9").split(",")
    ]
    names = settings.get("--names", ",".join(PLACEMENTS)).split(",")
    header = (
        f"{'placement':<14}{'in time':>9}{'served':>9}{'p99 s':>9}"
        f"{'min use':>8}{'max use':>8}{'far':>9}{'moved':>9}"
    )
    for load in loads:
        print(f"\n{load} load\n{header}")
        for name in names:
            options = PLACEMENTS[name]
            setup = Setup(load=load, tells=options is not None)
            if options is not None:
                setup = dataclasses.replace(setup, placement=options)
            tally = Simulation(setup).run()
            print(format_row(name, tally), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
