"""Bounded memory of recently answered requests."""

import collections

ANSWER_MEMORY_S = 60.0
MAX_ANSWERS = 4096


class RecentAnswers:
    """Stores when the `MAX_ANSWERS` newest fingerprints were answered."""

    def __init__(self) -> None:
        self._answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def record(self, fingerprint: bytes, now: float) -> None:
        """Records an answer at a monotonic time in seconds."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERS:
            self._answered_at.popitem(last=False)

    def get_last_time(self, fingerprint: bytes) -> float:
        """Returns the time of the last answer; negative infinity if unknown."""
        return self._answered_at.get(fingerprint, float("-inf"))

    def is_recent(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether the last answer is less than a minute old."""
        return now - self.get_last_time(fingerprint) < ANSWER_MEMORY_S
