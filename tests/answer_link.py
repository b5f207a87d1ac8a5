"""Simulation of an owner whose outbound link carries large answers.

It runs in virtual time. The server has slots, for which requests wait by rank;
the link is a FIFO queue, so what is sent waits behind all that was sent before.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import math
import random

from lovagesaddle.core.routing import answer_scheduler

HEAD_BYTES = 1000
SIZE_SIGMA = 0.6
MAX_SIZE_FACTOR = 6
RUN_SIGMA = 0.3
# From the last byte of a part on the owner's link to the next request there.
ROUND_TRIP_S = 0.006


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
      name: Name of its route.
      per_s: Requests per second.
      run_s: Mean run time, in seconds.
      target_s: Target latency, in seconds.
      deadline_s: Latency after which an answer is useless, in seconds.
      priority: Priority of its route.
      answer_bytes: Mean size of its answer, in bytes.
    """

    name: str
    per_s: float
    run_s: float
    target_s: float
    deadline_s: float
    priority: int
    answer_bytes: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Request:
    kind: Kind
    name: str
    sent_at: float
    run_s: float
    left_bytes: int
    is_first: bool = True


class AnswerLink:
    """Simulates one owner.

    Args:
      kinds: Kinds of requests.
      slots: Requests that the server runs at a time.
      link_bytes_s: Rate of the link, in bytes per second.
      part_bytes: Size of a part, in bytes; 0 to send answers whole.
      refuses: Whether requests that the link can't serve in time are refused.
      seed: Seed of arrivals, run times and sizes.
    """

    def __init__(
        self,
        kinds: tuple[Kind, ...],
        *,
        slots: int,
        link_bytes_s: float,
        part_bytes: int,
        refuses: bool = True,
        seed: int = 1,
    ) -> None:
        self._kinds = kinds
        self._free_slots = slots
        self._link_bytes_s = link_bytes_s
        self._part_bytes = part_bytes
        self._refuses = refuses
        self._random = random.Random(seed)
        self._scheduler = answer_scheduler.AnswerScheduler(link_bytes_s)
        self._queue: list[tuple[int, int, _Request]] = []
        self._parts: dict[str, tuple[_Request, int]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._free_at = 0.0
        self._now = 0.0
        self.sent: dict[str, int] = {}
        self.in_time: dict[str, int] = {}
        self.by_deadline: dict[str, int] = {}

    def run(self, duration_s: float) -> dict[str, float]:
        """Returns the share of each kind that was answered in time."""
        for kind in self._kinds:
            at = 0.0
            while (
                at := at + self._random.expovariate(kind.per_s)
            ) < duration_s:
                self._at(at, functools.partial(self._arrive, kind))
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return {
            kind.name: self.in_time.get(kind.name, 0) / self.sent[kind.name]
            for kind in self._kinds
        }

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _arrive(self, kind: Kind) -> None:
        self.sent[kind.name] = self.sent.get(kind.name, 0) + 1
        size = self._draw(kind.answer_bytes, SIZE_SIGMA)
        request = _Request(
            kind=kind,
            name=f"r{next(self._numbers)}",
            sent_at=self._now,
            run_s=self._draw(kind.run_s, RUN_SIGMA),
            left_bytes=HEAD_BYTES
            + int(min(size, MAX_SIZE_FACTOR * kind.answer_bytes)),
        )
        by = self._now + kind.deadline_s
        if (
            self._refuses
            and self._is_large(kind)
            and self._scheduler.compute_delay(
                self._now, run_s=kind.run_s, by=by
            )
        ):
            return
        heapq.heappush(
            self._queue, (kind.priority, next(self._numbers), request)
        )
        self._start_next()

    def _is_large(self, kind: Kind) -> bool:
        return 0 < self._part_bytes < kind.answer_bytes

    def _draw(self, mean: float, sigma: float) -> float:
        return self._random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)

    def _start_next(self) -> None:
        while self._free_slots and self._queue:
            _, _, request = heapq.heappop(self._queue)
            if self._now > request.sent_at + request.kind.deadline_s:
                continue
            self._free_slots -= 1
            self._at(
                self._now + request.run_s,
                functools.partial(self._finish, request),
            )

    def _finish(self, request: _Request) -> None:
        self._free_slots += 1
        self._start_next()
        if 0 < self._part_bytes < request.left_bytes:
            self._ask(request)
        else:
            self._send(request, request.left_bytes)

    def _ask(self, request: _Request) -> None:
        if self._now > request.sent_at + request.kind.deadline_s:
            self._grant(
                self._scheduler.step(
                    answer_scheduler.Withdrawn(attempt_id=request.name),
                    self._now,
                )
            )
            return
        count = min(self._part_bytes, request.left_bytes)
        self._parts[request.name] = (request, count)
        event = answer_scheduler.Asked(
            attempt_id=request.name,
            part_bytes=count,
            left_bytes=request.left_bytes,
            priority=request.kind.priority,
            is_first=request.is_first,
            is_last=count == request.left_bytes,
        )
        request.is_first = False
        self._grant(self._scheduler.step(event, self._now))

    def _grant(self, actions: tuple[answer_scheduler.Granted, ...]) -> None:
        for granted in actions:
            self._send(*self._parts.pop(granted.attempt_id))
        tick_at = self._scheduler.tick_at
        if actions and tick_at is not None:
            self._at(max(tick_at, self._now), self._tick)

    def _tick(self) -> None:
        tick = answer_scheduler.Tick()
        self._grant(self._scheduler.step(tick, self._now))

    def _send(self, request: _Request, count: int) -> None:
        self._free_at = max(self._free_at, self._now)
        self._free_at += count / self._link_bytes_s
        request.left_bytes -= count
        if request.left_bytes:
            self._at(self._free_at + ROUND_TRIP_S, lambda: self._ask(request))
            return
        latency_s = self._free_at + ROUND_TRIP_S / 2 - request.sent_at
        name = request.kind.name
        if latency_s <= request.kind.target_s:
            self.in_time[name] = self.in_time.get(name, 0) + 1
        if latency_s <= request.kind.deadline_s:
            self.by_deadline[name] = self.by_deadline.get(name, 0) + 1
