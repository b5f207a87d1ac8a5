"""Majority-assigned IDs on fake stores, in virtual time.

The algorithm of "Generating unique IDs": read the current number from a
majority, offer the next one to every store, and win with a majority of stores
that had a lower one. A store syncs before it answers.
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
class Count:
    """What a run cost.

    Attributes:
      assigned: Numbers that were won.
      rounds: Read and write rounds.
      messages: Messages between publishers and stores.
      latencies_s: Time from the first round to the win, for each number.
    """

    assigned: list[int] = dataclasses.field(default_factory=list)
    rounds: int = 0
    messages: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


class Stores:
    """Stores and publishers that race for numbers.

    Args:
      seed: Source of delays.
      stores: Number of stores.
      publishers: Number of publishers, each with one number under way.
    """

    def __init__(self, *, seed: int, stores: int, publishers: int) -> None:
        self._random = random.Random(seed)
        self._current = [0] * stores
        self._free_at = [0.0] * stores
        self._down: set[int] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.now = 0.0
        self.count = Count()
        for _ in range(publishers):
            self._start()

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end

    def stop_store(self, number: int) -> None:
        """Takes one store away."""
        self._down.add(number)

    def _start(self) -> None:
        self._read(self.now, 0)

    def _read(self, started: float, failures: int) -> None:
        answers: list[int] = []

        def take(value: int) -> None:
            answers.append(value)
            if len(answers) == self._majority():
                self._write(started, failures, max(answers) + 1)

        self._ask_all(lambda number: self._current[number], take, sync=False)

    def _write(self, started: float, failures: int, number: int) -> None:
        answers: list[int] = []

        def take(taken: int) -> None:
            answers.append(taken)
            refused = len(answers) - sum(answers)
            if taken and sum(answers) == self._majority():
                self._win(started, number)
            elif not taken and refused == self._majority():
                self._retry(started, failures + 1)

        self._ask_all(lambda store: self._offer(store, number), take, sync=True)

    def _offer(self, store: int, number: int) -> bool:
        if self._current[store] >= number:
            return False
        self._current[store] = number
        return True

    def _win(self, started: float, number: int) -> None:
        self.count.assigned.append(number)
        self.count.latencies_s.append(self.now - started)
        self._later(0.0, self._start)

    def _retry(self, started: float, failures: int) -> None:
        longest = min(MAX_RETRY_S, RETRY_S * 2**failures)
        delay = self._random.random() * longest
        self._later(delay, lambda: self._read(started, failures))

    def _ask_all(
        self,
        work: Callable[[int], int],
        take: Callable[[int], None],
        *,
        sync: bool,
    ) -> None:
        self.count.rounds += 1
        for store in range(len(self._current)):
            self.count.messages += 1
            if store not in self._down:
                self._ask(store, work, take, sync=sync)

    def _ask(
        self,
        store: int,
        work: Callable[[int], int],
        take: Callable[[int], None],
        *,
        sync: bool,
    ) -> None:
        def arrive() -> None:
            value = work(store)
            # Values that were not raised need no sync.
            wait = self._sync(store) if sync and value else 0.0
            self.count.messages += 1
            self._later(wait + self._delay(), lambda: take(value))

        self._later(self._delay(), arrive)

    def _sync(self, store: int) -> float:
        """Returns the wait for a sync that starts after the present one."""
        started = max(self.now, self._free_at[store])
        if self._free_at[store] <= self.now:
            self._free_at[store] = self.now + SYNC_S
            return SYNC_S
        # Writes that wait for the running sync share the next one.
        return started + SYNC_S - self.now

    def _delay(self) -> float:
        return DELAY_S * (0.5 + self._random.random())

    def _majority(self) -> int:
        return len(self._current) // 2 + 1

    def _later(self, delay: float, work: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, work))
