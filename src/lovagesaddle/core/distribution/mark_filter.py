"""Deduplication of crash marks, so that each one is relayed once."""

from lovagesaddle.core.distribution import messages

MAX_AGE_S = 120.0
MAX_MARKS = 4096


class MarkFilter:
    """Records the marks that were relayed, so that none circulates forever."""

    def __init__(self) -> None:
        self._seen_at: dict[bytes, float] = {}

    def select_new(
        self, marks: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Returns the marks that are new here and younger than `MAX_AGE_S`.

        At most `MAX_MARKS` marks are recorded; marks beyond that are left
        out.

        Args:
          marks: Marks that this process created or received.
          now: Monotonic time in seconds.
        """
        self._expire(now)
        new: list[messages.Mark] = []
        for mark in marks:
            if mark.mark_id in self._seen_at or not 0 <= mark.age_s < MAX_AGE_S:
                continue
            if len(self._seen_at) >= MAX_MARKS:
                break
            self._seen_at[mark.mark_id] = now
            new.append(mark)
        return tuple(new)

    def _expire(self, now: float) -> None:
        expired = [
            m for m, at in self._seen_at.items() if now - at > 2 * MAX_AGE_S
        ]
        for mark_id in expired:
            del self._seen_at[mark_id]
