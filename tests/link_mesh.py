"""Simulation of owners behind slow links: large bodies and small calls.

It runs in virtual time. The inbound link of an owner's VM is a FIFO queue, so
whatever is sent waits behind all that was sent before. It also carries the
bodies of callers that use this VM as their entry; these are sent in one piece.
"""

from collections.abc import Callable, Sequence
import dataclasses
import heapq
import itertools
import math
import random

from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import balancer as balancer_lib
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import body_scheduler
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import table

HEAD_BYTES = 1000
# Body sizes and run times are log-normal; a body is at most 6 times the mean.
BODY_SIGMA = 0.6
MAX_BODY_FACTOR = 6
RUN_SIGMA = 0.5
ENTRIES_PER_DOMAIN = 4
ONE_WAY_S = 0.001
MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
      name: Name of its route.
      per_s: Requests per second, over all failure domains.
      run_s: Mean run time, in seconds.
      target_s: Target latency, in seconds.
      deadline_s: Latency after which an answer is useless, in seconds.
      priority: Priority of its route.
      body_bytes: Mean size of its body, in bytes; 0 for none.
    """

    name: str
    per_s: float
    run_s: float
    target_s: float
    deadline_s: float
    priority: int
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain:
    """A failure domain.

    Attributes:
      servers: Number of backend servers in it.
      share: Share of the requests that its callers send, 0 to 1.
    """

    servers: int
    share: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One request and its attempts."""

    name: str
    kind: Kind
    entry: int
    body_bytes: int
    sent_at: float
    attempts: int = 0
    tried: frozenset[str] = frozenset()

    @property
    def attempt_id(self) -> str:
        """ID of the current attempt; unique for each attempt."""
        return f"{self.name}.{self.attempts}"


class Owner:
    """A backend server with its owner and the inbound link of its VM."""

    def __init__(
        self, candidate: table.Candidate, link_bytes_s: float, slowness: float
    ) -> None:
        self.candidate = candidate
        self.slowness = slowness
        self.link_bytes_s = link_bytes_s
        self.admission = admission_lib.Admission(
            limit=concurrency_limits.FixedLimit(candidate.slots),
            order=queues.FairShareOrder(),
        )
        self.held: dict[str, Call] = {}
        self.scheduler = body_scheduler.BodyScheduler(link_bytes_s)
        self.offered: dict[str, Call] = {}
        self._free_at = 0.0

    def send(self, count: int, now: float) -> float:
        """Sends bytes over the link; returns when the last one arrives."""
        self._free_at = max(self._free_at, now + ONE_WAY_S)
        self._free_at += count / self.link_bytes_s
        return self._free_at


class LinkMesh:
    """Simulates requests of several kinds.

    Args:
      domains: Failure domains.
      kinds: Kinds of requests.
      slots: Slots of each server.
      link_bytes_s: Rate of each inbound link, in bytes per second.
      slowness: Factors of the run times, assigned to the servers cyclically; 1
        for the stated run time.
      sender_bytes_s: Rate of the outbound links of the entries, in bytes per
        second; each carries one body at a time.
      nodes: Number of all nodes; a caller uses any of them as its entry.
      seed: Seed of all random numbers.
    """

    def __init__(
        self,
        *,
        domains: Sequence[Domain],
        kinds: Sequence[Kind],
        slots: int,
        link_bytes_s: float,
        slowness: Sequence[float],
        nodes: int,
        seed: int,
        sender_bytes_s: float = math.inf,
    ) -> None:
        self._sender_bytes_s = sender_bytes_s
        self._source = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._domains = domains
        self._kinds = kinds
        self._nodes = nodes
        self.now = 0.0
        self.latencies: dict[str, list[float]] = {k.name: [] for k in kinds}
        self.refused_bytes = 0
        self.entered_bytes = 0
        self.owners = self._make_owners(slots, link_bytes_s, slowness)
        self._candidates = tuple(o.candidate for o in self.owners.values())
        large_body_bytes = (
            body_scheduler.compute_part_bytes(link_bytes_s)
            or balancer_lib.LARGE_BODY_BYTES
        )
        self._entries = [
            self._make_entry(f"d{number}", "", large_body_bytes)
            for number, _ in enumerate(domains)
            for _ in range(ENTRIES_PER_DOMAIN)
        ]
        first = len(self._entries)
        self._entries += [
            self._make_entry(
                each.failure_domain, each.node_id, large_body_bytes
            )
            for each in self._candidates
        ]
        self._local_owners = dict(enumerate(self.owners.values(), first))

    def run(self, length_s: float) -> None:
        """Runs the arrivals of `length_s` seconds until their last answer."""
        for kind in self._kinds:
            for sent_at in self._draw_times(kind.per_s, length_s):
                self._at(sent_at, self._make_arrival(kind, sent_at))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def enter(self, kind: Kind, count: int) -> None:
        """Adds `count` requests that all arrive at the start."""
        for _ in range(count):
            self._at(0.0, self._make_arrival(kind, 0.0))

    def compute_share(self, kind: Kind, within_s: float) -> float:
        """Returns the share of a kind's requests answered within `within_s`."""
        latencies = self.latencies[kind.name]
        return sum(each <= within_s for each in latencies) / len(latencies)

    def _make_owners(
        self, slots: int, link_bytes_s: float, slowness: Sequence[float]
    ) -> dict[str, Owner]:
        made: dict[str, Owner] = {}
        factors = itertools.cycle(slowness)
        for number, domain in enumerate(self._domains):
            for index in range(domain.servers):
                candidate = table.Candidate(
                    server_id=f"d{number}-{index}",
                    incarnation=1,
                    node_id=f"n{number}-{index}",
                    failure_domain=f"d{number}",
                    http_address="127.0.0.1:1",
                    slots=slots,
                )
                made[candidate.server_id] = Owner(
                    candidate, link_bytes_s, next(factors)
                )
        return made

    def _make_entry(
        self, domain: str, node_id: str, large_body_bytes: int
    ) -> balancer_lib.Balancer:
        made = balancer_lib.Balancer(
            options=balancer_lib.BalancerOptions(
                failure_domain=domain,
                node_id=node_id,
                large_body_bytes=large_body_bytes,
            ),
            policy=pick_policies.TwoChoicesPick(),
            source=random.Random(self._source.random()),
        )
        made.step(
            balancer_events.TableInstalled(candidates=self._candidates), 0.0
        )
        return made

    def _at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def _draw_times(self, per_s: float, length_s: float) -> list[float]:
        times: list[float] = []
        now = self._source.expovariate(per_s)
        while now < length_s:
            times.append(now)
            now += self._source.expovariate(per_s)
        return times

    def _draw_body(self, kind: Kind) -> int:
        if not kind.body_bytes:
            return 0
        mean = math.log(kind.body_bytes) - BODY_SIGMA**2 / 2
        drawn = self._source.lognormvariate(mean, BODY_SIGMA)
        return int(min(drawn, MAX_BODY_FACTOR * kind.body_bytes))

    def _make_arrival(self, kind: Kind, sent_at: float) -> Callable[[], None]:
        call = Call(
            name=f"{kind.name}-{next(self._numbers)}",
            kind=kind,
            entry=self._draw_entry(),
            body_bytes=self._draw_body(kind),
            sent_at=sent_at,
        )
        return lambda: self._enter(call)

    def _draw_entry(self) -> int:
        shares = [domain.share for domain in self._domains]
        (domain,) = self._source.choices(range(len(shares)), shares)
        near = [
            number
            for number, owner in self._local_owners.items()
            if owner.candidate.failure_domain == f"d{domain}"
        ]
        if self._source.random() * self._nodes < len(self._local_owners):
            return self._source.choice(near)
        index = self._source.randrange(ENTRIES_PER_DOMAIN)
        return domain * ENTRIES_PER_DOMAIN + index

    def _enter(self, call: Call) -> None:
        self.entered_bytes += call.body_bytes
        local = self._local_owners.get(call.entry)
        if local is None:
            self._attempt(call)
            return
        arrived_at = local.send(HEAD_BYTES + call.body_bytes, self.now)
        self._at(arrived_at, lambda: self._attempt(call))

    def _attempt(self, call: Call) -> None:
        decision = self._entries[call.entry].pick(
            balancer_events.Pick(
                service="artwork",
                version=1,
                candidates=self._candidates,
                tried=call.tried,
                body_bytes=call.body_bytes,
                needs_room=call.attempts > 0,
            ),
            self.now,
        )
        if decision.server is None or call.attempts >= MAX_ATTEMPTS:
            self._finish(call, math.inf)
            return
        owner = self.owners[decision.server.server_id]
        call.attempts += 1
        call.tried |= {decision.server.server_id}
        self._send(call, owner)

    def _send(self, call: Call, owner: Owner) -> None:
        if self._local_owners.get(call.entry) is owner:
            self._arrive(call, owner)
            return
        part_bytes = body_scheduler.compute_part_bytes(owner.link_bytes_s)
        if part_bytes and call.body_bytes > part_bytes:
            arrived_at = owner.send(HEAD_BYTES, self.now)
            self._at(arrived_at, lambda: self._offer(call, owner))
            return
        arrived_at = owner.send(HEAD_BYTES + call.body_bytes, self.now)
        self._at(arrived_at, lambda: self._arrive(call, owner))

    def _offer(self, call: Call, owner: Owner) -> None:
        if owner.admission.check_capacity(self.now) is not None:
            self._refuse(call, owner)
            return
        owner.offered[call.attempt_id] = call
        deadline = call.sent_at + call.kind.deadline_s
        run_s = owner.admission.estimate_run_time(call.kind.name)
        self._step_scheduler(
            owner,
            body_scheduler.Offered(
                attempt_id=call.attempt_id,
                body_bytes=call.body_bytes,
                priority=call.kind.priority,
                latest_at=deadline - run_s,
            ),
        )

    def _step_scheduler(
        self, owner: Owner, event: body_scheduler.Event
    ) -> None:
        for action in owner.scheduler.step(event, self.now):
            call = owner.offered[action.attempt_id]
            match action:
                case body_scheduler.Granted():
                    self._send_part(call, owner, call.body_bytes)
                case body_scheduler.Declined():
                    del owner.offered[action.attempt_id]
                    self._refuse(call, owner)
                case body_scheduler.Expired():
                    pass

    def _send_part(self, call: Call, owner: Owner, left: int) -> None:
        part_bytes = body_scheduler.compute_part_bytes(owner.link_bytes_s)
        sent = min(left, part_bytes)
        size = HEAD_BYTES + sent
        left_at = self.now + ONE_WAY_S + size / self._sender_bytes_s
        arrived_at = owner.send(size, left_at)

        def receive() -> None:
            event = body_scheduler.PartArrived(
                attempt_id=call.attempt_id, part_bytes=sent
            )
            self._step_scheduler(owner, event)
            if left > sent:
                self._send_part(call, owner, left - sent)
                return
            del owner.offered[call.attempt_id]
            self._step_scheduler(
                owner, body_scheduler.Withdrawn(attempt_id=call.attempt_id)
            )
            self._arrive(call, owner, has_reservation=True)

        self._at(arrived_at, receive)

    def _arrive(
        self, call: Call, owner: Owner, *, has_reservation: bool = False
    ) -> None:
        owner.held[call.attempt_id] = call
        self._step(
            owner,
            admission_events.Arrived(
                request_id=call.attempt_id,
                priority=call.kind.priority,
                deadline=call.sent_at + call.kind.deadline_s,
                target=call.sent_at + call.kind.target_s,
                kind=call.kind.name,
                has_reservation=has_reservation,
            ),
        )

    def _step(self, owner: Owner, event: admission_events.Event) -> None:
        for action in owner.admission.step(event, self.now):
            match action:
                case admission_events.Admitted():
                    self._start(owner, action.request_id)
                case admission_events.Refused():
                    call = owner.held.pop(action.request_id)
                    self.refused_bytes += call.body_bytes
                    self._refuse(call, owner)
                case admission_events.Drained():
                    pass

    def _start(self, owner: Owner, attempt_id: str) -> None:
        call = owner.held[attempt_id]
        mean = math.log(call.kind.run_s) - RUN_SIGMA**2 / 2
        run_s = self._source.lognormvariate(mean, RUN_SIGMA) * owner.slowness

        def end() -> None:
            self._step(owner, admission_events.Ended(request_id=attempt_id))
            del owner.held[attempt_id]
            self._release(call, owner, balancer_events.AttemptResult.ANSWERED)
            self._finish(call, self.now + ONE_WAY_S - call.sent_at)

        self._at(self.now + run_s, end)

    def _refuse(self, call: Call, owner: Owner) -> None:
        self._release(call, owner, balancer_events.AttemptResult.REFUSED)
        if self.now < call.sent_at + call.kind.deadline_s:
            self._attempt(call)
        else:
            self._finish(call, math.inf)

    def _release(
        self, call: Call, owner: Owner, ended: balancer_events.AttemptResult
    ) -> None:
        self._entries[call.entry].step(
            balancer_events.Finished(
                server_id=owner.candidate.server_id,
                incarnation=1,
                result=ended,
                load_report=self._report(owner),
            ),
            self.now,
        )

    def _report(self, owner: Owner) -> load_reports.LoadReport:
        return dataclasses.replace(
            owner.admission.report(self.now), link_wait_s=owner.scheduler.wait_s
        )

    def _finish(self, call: Call, latency_s: float) -> None:
        self.latencies[call.kind.name].append(latency_s)
