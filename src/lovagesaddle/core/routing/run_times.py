"""Expected run times by kind of request.

The run times of lookups and uploads on one server differ by orders of
magnitude. With one mean for both, a few uploads would make an owner refuse
every lookup as unable to meet its deadline.
"""

# Weight of the last run in the moving average.
LAST_RUN_WEIGHT = 0.1
# A run counts as at most this multiple of the mean, so that the 3% of the work
# that takes seven times as long doesn't make the owner refuse the other 97%.
MAX_RUN_MEANS = 3.0


class RunTimes:
    """Keeps exponentially weighted means of run times, in seconds."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._mean_of: dict[str, float] = {}

    @property
    def mean_s(self) -> float:
        """Mean run time of all kinds, in seconds; 0 before the first run."""
        return self._mean_s

    def record(self, kind: str, run_s: float) -> None:
        """Records the time of one run, in seconds."""
        self._mean_s = _update_mean(self._mean_s, run_s)
        mean_s = self._mean_of.get(kind, 0.0)
        self._mean_of[kind] = _update_mean(mean_s, run_s)

    def estimate(self, kind: str) -> float:
        """Returns the expected run time in seconds; 0 before the first run."""
        return self._mean_of.get(kind, 0.0)


class SteadyRunTimes(RunTimes):
    """Keeps run times at a server that tells how much slower it is now.

    Runs are recorded as they would take as usual, and estimates are scaled by
    the slowdown of the moment. A long run counts only in part.

    Args:
      earlier: Run times recorded before the server told its slowdown.
    """

    def __init__(self, earlier: RunTimes) -> None:
        super().__init__()
        self._mean_s = earlier._mean_s
        self._mean_of = dict(earlier._mean_of)
        self.slowdown = 1.0

    @property
    def mean_s(self) -> float:
        """Mean run time of all kinds now, in seconds."""
        return self._mean_s * self.slowdown

    def record(self, kind: str, run_s: float) -> None:
        """Records the usual time of one run, in seconds."""
        mean_s = self._mean_of.get(kind, 0.0)
        if mean_s:
            run_s = min(run_s, MAX_RUN_MEANS * mean_s)
        super().record(kind, run_s)

    def estimate(self, kind: str) -> float:
        """Returns the run time expected now, in seconds; 0 if unknown."""
        return self._mean_of.get(kind, 0.0) * self.slowdown

    def find_usual(self, kind: str) -> float:
        """Returns the usual run time, in seconds; 0 before the first run."""
        return self._mean_of.get(kind, 0.0)


def _update_mean(mean_s: float, run_s: float) -> float:
    if not mean_s:
        return run_s
    return mean_s + LAST_RUN_WEIGHT * (run_s - mean_s)
