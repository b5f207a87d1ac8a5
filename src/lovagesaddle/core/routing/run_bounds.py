"""Bounds of run times, for decisions that must not rest on a mean.

Answers the load of a planned stop while work grows longer than what was seen:
servers that worked in milliseconds take seconds from some moment on, or a few
requests in a hundred take many times the mean. A mean admits them until enough
of them have ended, and the end of the process cuts them off.
"""

# Part of the way that one shorter run moves the slowest time towards itself:
# a slow run counts for about a hundred runs.
FORGOTTEN_SHARE = 0.01
# A run in progress is expected to take as long again as it has taken.
IN_PROGRESS_FACTOR = 2.0


class RunBounds:
    """Keeps the slowest recent run and the oldest one in progress, by kind."""

    def __init__(self) -> None:
        self._slowest_s: dict[str, float] = {}
        # Runs in the order in which they started, so that the first is oldest.
        self._started_at: dict[str, dict[object, float]] = {}

    def start(self, kind: str, run: object, now: float) -> None:
        """Records the start of a run.

        Args:
          kind: Requests of one kind take similar times.
          run: Identifies the run among those of its kind.
          now: Monotonic time in seconds.
        """
        self._started_at.setdefault(kind, {})[run] = now

    def end(self, kind: str, run: object, now: float) -> None:
        """Records the end of a run; see `start`."""
        runs = self._started_at.get(kind, {})
        started_at = runs.pop(run, None)
        if started_at is None:
            return
        if not runs:
            del self._started_at[kind]
        run_s = now - started_at
        slowest_s = self._slowest_s.get(kind, 0.0)
        self._slowest_s[kind] = max(
            run_s, slowest_s + FORGOTTEN_SHARE * (run_s - slowest_s)
        )

    def estimate(self, kind: str, expected_s: float, now: float) -> float:
        """Returns how long a run of a kind may take, in seconds.

        Args:
          kind: See `start`.
          expected_s: Mean time of such a run, in seconds; 0 if unknown.
          now: Monotonic time in seconds.
        """
        runs = self._started_at.get(kind)
        oldest_s = now - next(iter(runs.values())) if runs else 0.0
        return max(
            expected_s,
            self._slowest_s.get(kind, 0.0),
            IN_PROGRESS_FACTOR * oldest_s,
        )
