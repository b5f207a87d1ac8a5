"""Memory for the answers that are read at a time, shared between them."""

import threading

# Read, encoded, signed and written, a body is held four times on its way: the
# budget takes half of the memory then.
MEMORY_DIVISOR = 8
# Of the smallest VM that a node runs on, in bytes.
SMALLEST_MEMORY_BYTES = 128 * 1024 * 1024
# What any answer may hold, whatever the others do. With 128 threads that serve
# callers and as many that serve nodes this is as much again as the budget of
# the smallest VM.
ASSURED_BYTES = 64 * 1024


class AnswerBudget:
    """Bounds the bytes of all answers that are read at a time.

    Answers that never end must not take the room of the others. So each may
    grow to what is still free, and the largest meets its bound first: alone
    it gets a half, and n endless ones leave a share of 1 / (n + 1). This is
    the dynamic threshold of switches with a shared buffer.

    Args:
      memory_bytes: Memory of the process.
    """

    def __init__(self, memory_bytes: int = SMALLEST_MEMORY_BYTES) -> None:
        self._total_bytes = memory_bytes // MEMORY_DIVISOR
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now beyond what is assured."""
        return self._held_bytes

    def compute_limit(self, held_bytes: int) -> int:
        """Returns how many bytes an answer may hold at most.

        Args:
          held_bytes: What it holds beyond what is assured.
        """
        others_bytes = self._held_bytes - held_bytes
        free_bytes = max(0, self._total_bytes - others_bytes)
        return ASSURED_BYTES + free_bytes // 2

    def resize(self, before_bytes: int, after_bytes: int) -> bool:
        """Changes what one answer holds; returns whether it may.

        Args:
          before_bytes: What it held beyond what is assured.
          after_bytes: What it holds now; less is always allowed.
        """
        with self._lock:
            grows = after_bytes > before_bytes
            room_bytes = self.compute_limit(before_bytes) - ASSURED_BYTES
            if grows and after_bytes > room_bytes:
                return False
            self._held_bytes += after_bytes - before_bytes
            return True


class Allocation:
    """What the answer to one request holds of a budget.

    Args:
      budget: Shared with the other answers.
    """

    def __init__(self, budget: AnswerBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    def grow(self, added_bytes: int) -> bool:
        """Takes room for more bytes; returns whether there is any."""
        grown_bytes = self._held_bytes + added_bytes
        if grown_bytes > ASSURED_BYTES and not self._budget.resize(
            _beyond(self._held_bytes), _beyond(grown_bytes)
        ):
            return False
        self._held_bytes = grown_bytes
        return True

    def has_room(self, added_bytes: int) -> bool:
        """Returns whether there is room for more bytes now."""
        room_bytes = self._budget.compute_limit(_beyond(self._held_bytes))
        return self._held_bytes + added_bytes <= room_bytes

    def release(self) -> None:
        """Gives back all that it holds."""
        if self._held_bytes > ASSURED_BYTES:
            self._budget.resize(_beyond(self._held_bytes), 0)
        self._held_bytes = 0


def _beyond(held_bytes: int) -> int:
    return max(0, held_bytes - ASSURED_BYTES)
