"""Policies for how many requests an owner lets run at a time."""

import abc

MIN_LATENCY_S = 0.0001
BASELINE_WEIGHT = 0.005
RECENT_WEIGHT = 0.2
SLOWDOWN_LIMIT = 2.0
DECREASE = 0.9
MIN_LIMIT = 1.0
COLD_SHARE = 0.25
UNLIMITED = 1_000_000


class LimitPolicy(abc.ABC):
    """Decides how many requests may run at a time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Requests that may run at a time now; at least 1."""

    @abc.abstractmethod
    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Takes the end of one run.

        Args:
          latency_s: Time from hand-over to the end, in seconds.
          running: Requests that ran when it ended, itself included.
          failed: Whether the server shed or failed it.
          now: Monotonic time in seconds.
        """


class NoLimit(LimitPolicy):
    """Everything runs at once; the backend server has to cope."""

    @property
    def limit(self) -> int:
        """A number that is never reached."""
        return UNLIMITED

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Learns nothing."""


class FixedLimit(LimitPolicy):
    """The announced slots.

    Args:
      slots: Requests that the backend server runs at a time.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)

    @property
    def limit(self) -> int:
        """The announced slots."""
        return self._slots

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Learns nothing."""


class AdaptiveLimit(LimitPolicy):
    """Up to the announced slots, fewer while runs are slow or shed.

    The limit falls by a tenth when the recent latency is more than double
    the long-run one or a run was shed, at most once in the time of a run,
    and rises by one for each full round of good runs. It starts low, since
    a backend server starts cold.

    Args:
      slots: Requests that the backend server runs at a time.
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
        """Requests that may run at a time now."""
        return int(self._limit)

    def observe(
        self, *, latency_s: float, running: int, failed: bool, now: float
    ) -> None:
        """Moves the limit by one run."""
        latency_s = max(latency_s, MIN_LATENCY_S)
        if not self._baseline_s:
            self._baseline_s = self._recent_s = latency_s
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        self._baseline_s += BASELINE_WEIGHT * (latency_s - self._baseline_s)
        self._baseline_s = min(self._baseline_s, self._recent_s)
        slow = self._recent_s > SLOWDOWN_LIMIT * self._baseline_s
        if failed or slow:
            self._decrease(now)
        elif running >= self.limit:
            self._limit = min(self._slots, self._limit + 1 / self._limit)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < self._recent_s:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE)
