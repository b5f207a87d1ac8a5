"""Policies for how many requests an owner runs at a time."""

import abc

MIN_LATENCY_S = 0.0001
# Weights of a run in the moving averages of the latency.
BASELINE_WEIGHT = 0.005
RECENT_WEIGHT = 0.2
# Ratio of the recent to the baseline latency above which the limit decreases.
MAX_SLOWDOWN = 2.0
DECREASE_FACTOR = 0.9
MIN_LIMIT = 1.0
# Initial limit of a server that has just started, as a share of its slots.
COLD_SHARE = 0.25
UNLIMITED = 1_000_000


class LimitPolicy(abc.ABC):
    """Decides how many requests may run at a time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of requests that may run at a time now; at least 1."""

    @abc.abstractmethod
    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Records the end of one run.

        Args:
          latency_s: Time from the start of the run to its end, in seconds.
          running: Number of requests that ran when it ended, including it.
          failed: Whether the server shed or failed it.
          now: Monotonic time in seconds.
        """


class NoLimit(LimitPolicy):
    """Runs all requests at once, without a limit."""

    @property
    def limit(self) -> int:
        """A number of requests that is never reached."""
        return UNLIMITED

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Ignores the run."""


class FixedLimit(LimitPolicy):
    """Limits the requests to the announced slots.

    Args:
      slots: Number of requests that the backend server runs at a time.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)

    @property
    def limit(self) -> int:
        """The announced slots; at least 1."""
        return self._slots

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Ignores the run."""


class AdaptiveLimit(LimitPolicy):
    """Allows up to the announced slots, fewer while runs are slow or fail.

    Additive increase, multiplicative decrease: the limit falls by a tenth when
    the recent latency is more than double the baseline or a run was shed or
    failed, at most once per recent run time. It rises by one for each round of
    good runs at the limit. It starts low, since a backend server starts cold.

    Args:
      slots: Number of requests that the backend server runs at a time.
      cold: Whether the server has just started.
    """

    def __init__(self, slots: int, *, cold: bool = True) -> None:
        self._slots = float(max(1, slots))
        share = COLD_SHARE if cold else 1.0
        self._limit = max(MIN_LIMIT, self._slots * share)
        self._baseline_s = 0.0
        self._recent_s = 0.0
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Number of requests that may run at a time now."""
        return int(self._limit)

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Adjusts the limit after one run."""
        latency_s = max(latency_s, MIN_LATENCY_S)
        if not self._baseline_s:
            self._baseline_s = self._recent_s = latency_s
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        self._baseline_s += BASELINE_WEIGHT * (latency_s - self._baseline_s)
        self._baseline_s = min(self._baseline_s, self._recent_s)
        slow = self._recent_s > MAX_SLOWDOWN * self._baseline_s
        if failed or slow:
            self._decrease(now)
        elif running >= self.limit:
            self._limit = min(self._slots, self._limit + 1 / self._limit)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < self._recent_s:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
