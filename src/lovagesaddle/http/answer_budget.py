"""Memory budget shared by all answers that are being read or passed on."""

from collections.abc import Iterator
import contextlib
import threading

# An answer's body exists in up to four copies: as read, encoded, signed and
# written. The budget is an eighth of the memory, so that the four copies of a
# full budget take half of the memory.
MEMORY_DIVISOR = 8
# Memory of the smallest VM that a node runs on, in bytes.
SMALLEST_MEMORY_BYTES = 128 * 1024 * 1024
# Bytes that each answer may hold in addition to the budget, even if other
# answers have used the budget up. For the answers of 128 threads that serve
# callers and 128 that serve nodes, the assured bytes add up to as much as the
# whole budget of the smallest VM.
ASSURED_BYTES = 64 * 1024


class AnswerBudget:
    """Bounds the bytes of all answers that are being read or passed on.

    Answers that never end must not use up the memory for the others. Each
    answer may therefore hold at most as many bytes as are still free, so the
    largest reaches its limit first: a single endless answer gets half of the
    budget, and n of them leave 1 / (n + 1) of it free. This is the dynamic
    threshold algorithm of shared-memory switches.

    Args:
      memory_bytes: Memory of the process, in bytes.
    """

    def __init__(self, memory_bytes: int = SMALLEST_MEMORY_BYTES) -> None:
        self._total_bytes = memory_bytes // MEMORY_DIVISOR
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes in use now beyond the assured ones."""
        return self._held_bytes

    def compute_limit(self, held_bytes: int) -> int:
        """Returns how many bytes an answer may hold at most.

        Args:
          held_bytes: Bytes that it holds beyond the assured ones.
        """
        others_bytes = self._held_bytes - held_bytes
        free_bytes = max(0, self._total_bytes - others_bytes)
        return ASSURED_BYTES + free_bytes // 2

    def resize(self, before_bytes: int, after_bytes: int) -> bool:
        """Changes how much one answer holds; returns whether it is allowed.

        Args:
          before_bytes: Bytes that it held beyond the assured ones.
          after_bytes: Bytes that it is to hold beyond the assured ones; a
            decrease is always allowed.
        """
        with self._lock:
            grows = after_bytes > before_bytes
            limit_bytes = self.compute_limit(before_bytes) - ASSURED_BYTES
            if grows and after_bytes > limit_bytes:
                return False
            self._held_bytes += after_bytes - before_bytes
            return True


class Allocation:
    """Bytes that the answer to one request holds of a budget.

    Args:
      budget: Shared with the other answers.
    """

    def __init__(self, budget: AnswerBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    @property
    def holds_budget(self) -> bool:
        """Whether it holds more than the assured bytes."""
        return self._held_bytes > ASSURED_BYTES

    def grow(self, added_bytes: int) -> bool:
        """Reserves more bytes; returns whether the budget allows it."""
        grown_bytes = self._held_bytes + added_bytes
        if grown_bytes > ASSURED_BYTES and not self._budget.resize(
            _compute_excess(self._held_bytes), _compute_excess(grown_bytes)
        ):
            return False
        self._held_bytes = grown_bytes
        return True

    def has_room(self, added_bytes: int) -> bool:
        """Returns whether the budget allows more bytes now."""
        limit_bytes = self._budget.compute_limit(
            _compute_excess(self._held_bytes)
        )
        return self._held_bytes + added_bytes <= limit_bytes

    def shrink(self, held_bytes: int) -> None:
        """Returns what is held beyond `held_bytes` to the budget."""
        if held_bytes < self._held_bytes:
            self._budget.resize(
                _compute_excess(self._held_bytes), _compute_excess(held_bytes)
            )
            self._held_bytes = held_bytes

    def release(self) -> None:
        """Returns all held bytes to the budget."""
        if self._held_bytes > ASSURED_BYTES:
            self._budget.resize(_compute_excess(self._held_bytes), 0)
        self._held_bytes = 0


class PassedAnswers:
    """Allocations of the answers that the answer to one request is made of."""

    def __init__(self) -> None:
        self._allocations: list[Allocation] = []

    def __bool__(self) -> bool:
        return bool(self._allocations)

    def add(self, allocation: Allocation) -> None:
        """Adds an allocation; `release` ends it."""
        self._allocations.append(allocation)

    def release(self) -> None:
        """Returns all of them to their budgets."""
        while self._allocations:
            self._allocations.pop().release()


_serving = threading.local()


@contextlib.contextmanager
def collect() -> Iterator[PassedAnswers]:
    """Collects what this thread reads while it serves a request.

    Whoever sends the answer releases the allocations after that.
    """
    passed = PassedAnswers()
    _serving.passed = passed
    try:
        yield passed
    finally:
        _serving.passed = None


def keep(allocation: Allocation) -> None:
    """Keeps an allocation until the request of this thread is answered.

    On a thread that serves no request it is released.
    """
    passed: PassedAnswers | None = getattr(_serving, "passed", None)
    if passed is None or not allocation.holds_budget:
        allocation.release()
    else:
        passed.add(allocation)


def _compute_excess(held_bytes: int) -> int:
    return max(0, held_bytes - ASSURED_BYTES)
