"""Simulates majority-assigned IDs on fake stores, in virtual time.

Runs the algorithm of "Generating unique IDs": a publisher reads the current
number from a majority and offers the next one to every store. The number is
assigned once a majority of stores, which had a lower one, have accepted it. A
store syncs before it answers.
"""

from collections.abc import Callable
import dataclasses
import heapq
import random

DELAY_S = 0.0005
SYNC_S = 0.001
RETRY_S = 0.002
MAX_RETRY_S = 0.064


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of a run.

    Attributes:
      assigned: Numbers that were assigned.
      rounds: Read and write rounds.
      messages: Messages between publishers and stores.
      latencies_s: Time from the first round to the assignment, in seconds, for
        each number.
    """

    assigned: list[int] = dataclasses.field(default_factory=list)
    rounds: int = 0
    messages: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


class Stores:
    """Simulates stores, and publishers that compete for numbers.

    Args:
      seed: Seed of the random delays.
      stores: Number of stores.
      publishers: Number of publishers, each with one request in flight.
    """

    def __init__(self, *, seed: int, stores: int, publishers: int) -> None:
        self._random = random.Random(seed)
        self._current = [0] * stores
        self._free_at = [0.0] * stores
        self._stopped: set[int] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.now = 0.0
        self.count = Counts()
        for _ in range(publishers):
            self._request_number()

    def run(self, seconds: float) -> None:
        """Runs the simulation for a virtual time in seconds."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end

    def stop_store(self, number: int) -> None:
        """Stops one store, which then answers nothing."""
        self._stopped.add(number)

    def _request_number(self) -> None:
        self._read_number(self.now, 0)

    def _read_number(self, started: float, failures: int) -> None:
        answers: list[int] = []

        def handle_number(value: int) -> None:
            answers.append(value)
            if len(answers) == self._majority():
                self._offer_number(started, failures, max(answers) + 1)

        self._request_all(
            lambda number: self._current[number], handle_number, sync=False
        )

    def _offer_number(self, started: float, failures: int, number: int) -> None:
        answers: list[int] = []

        def handle_vote(accepted: int) -> None:
            answers.append(accepted)
            refused = len(answers) - sum(answers)
            if accepted and sum(answers) == self._majority():
                self._record_assignment(started, number)
            elif not accepted and refused == self._majority():
                self._retry_later(started, failures + 1)

        self._request_all(
            lambda store: self._accept_if_higher(store, number),
            handle_vote,
            sync=True,
        )

    def _accept_if_higher(self, store: int, number: int) -> bool:
        if self._current[store] >= number:
            return False
        self._current[store] = number
        return True

    def _record_assignment(self, started: float, number: int) -> None:
        self.count.assigned.append(number)
        self.count.latencies_s.append(self.now - started)
        self._schedule(0.0, self._request_number)

    def _retry_later(self, started: float, failures: int) -> None:
        longest = min(MAX_RETRY_S, RETRY_S * 2**failures)
        delay = self._random.random() * longest
        self._schedule(delay, lambda: self._read_number(started, failures))

    def _request_all(
        self,
        work: Callable[[int], int],
        on_answer: Callable[[int], None],
        *,
        sync: bool,
    ) -> None:
        self.count.rounds += 1
        for store in range(len(self._current)):
            self.count.messages += 1
            if store not in self._stopped:
                self._request(store, work, on_answer, sync=sync)

    def _request(
        self,
        store: int,
        work: Callable[[int], int],
        on_answer: Callable[[int], None],
        *,
        sync: bool,
    ) -> None:
        def handle_request() -> None:
            value = work(store)
            # A store that did not raise its number needs no sync.
            wait = self._sync(store) if sync and value else 0.0
            self.count.messages += 1
            self._schedule(wait + self._draw_delay(), lambda: on_answer(value))

        self._schedule(self._draw_delay(), handle_request)

    def _sync(self, store: int) -> float:
        """Starts a sync or joins the next one; returns the wait in seconds."""
        started = max(self.now, self._free_at[store])
        if self._free_at[store] <= self.now:
            self._free_at[store] = self.now + SYNC_S
            return SYNC_S
        # Writes that arrive during a sync share the next one.
        return started + SYNC_S - self.now

    def _draw_delay(self) -> float:
        return DELAY_S * (0.5 + self._random.random())

    def _majority(self) -> int:
        return len(self._current) // 2 + 1

    def _schedule(self, delay: float, work: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, work))
