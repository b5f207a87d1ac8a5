"""Expected time of runs, kept apart by kind of request.

Lookups and uploads on one server differ by orders of magnitude, so one mean for
both would call every lookup hopeless beside a few uploads.
"""

LAST_RUN_WEIGHT = 0.1


class RunTimes:
    """Moving means of the times of runs."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._mean_of: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean over all kinds, in seconds; 0 before the first run."""
        return self._mean_s

    def record(self, kind: str, run_s: float) -> None:
        """Takes the time of one run."""
        self._mean_s = _update_mean(self._mean_s, run_s)
        mean_s = self._mean_of.get(kind, 0.0)
        self._mean_of[kind] = _update_mean(mean_s, run_s)

    def estimate(self, kind: str) -> float:
        """Returns the expected time of a run; 0 before the first one."""
        return self._mean_of.get(kind, 0.0)


def _update_mean(mean_s: float, run_s: float) -> float:
    if not mean_s:
        return run_s
    return mean_s + LAST_RUN_WEIGHT * (run_s - mean_s)
