"""Crash marks on their way through the mesh, each passed on once."""

from lovagesaddle.core.distribution import messages

KEPT_S = 120.0
KEPT_MARKS = 4096


class MarkFilter:
    """Remembers which marks passed, so that none goes round for ever."""

    def __init__(self) -> None:
        self._seen: dict[bytes, float] = {}

    def select_new(
        self, marks: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Returns the marks that are new here and young enough to matter."""
        self._forget(now)
        fresh: list[messages.Mark] = []
        for mark in marks:
            if mark.mark_id in self._seen or not 0 <= mark.age_s < KEPT_S:
                continue
            if len(self._seen) >= KEPT_MARKS:
                break
            self._seen[mark.mark_id] = now
            fresh.append(mark)
        return tuple(fresh)

    def _forget(self, now: float) -> None:
        old = [m for m, at in self._seen.items() if now - at > 2 * KEPT_S]
        for mark_id in old:
            del self._seen[mark_id]
