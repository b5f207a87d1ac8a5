"""What the server of an owner has told of its own load, as far as it holds.

Nothing of this takes effect at a server that doesn't tell its slowdown: its
owner keeps to the announced slots and to the run times that it sees.
"""

import msgspec

from lovagesaddle.core.routing import run_times
from lovagesaddle.core.routing import running_requests
from lovagesaddle.core.routing import server_load
from lovagesaddle.core.routing import slowdowns

# Requests that wait at the server have a slot by then, or a newer answer has
# told of them.
WAITING_FADE_S = 0.25


class StatedLoad:
    """Newest load of one server process, with its age.

    The owner alone sends requests to the server. If it makes requests wait
    nevertheless, work that its callers have given up still holds slots, or it
    has fewer slots than it announced. The owner sends less then, since a server
    that is full may reset connections at which it is at work.
    """

    def __init__(self) -> None:
        self._load: server_load.ServerLoad | None = None
        self._stated_at = float("-inf")
        self._slowdown = slowdowns.Slowdown()
        self._times: run_times.SteadyRunTimes | None = None

    @property
    def tells_slowdown(self) -> bool:
        """Whether the server has told how much slower it is."""
        return self._times is not None

    @property
    def newest_slowdown(self) -> float | None:
        """Newest slowdown that the server told; None if it tells none."""
        return self._slowdown.newest if self.tells_slowdown else None

    def record(
        self,
        load: server_load.ServerLoad,
        times: run_times.RunTimes,
        now: float,
    ) -> run_times.RunTimes:
        """Records the load of an answer that has just come.

        Args:
          load: The load.
          times: Run times that the owner has recorded.
          now: Monotonic time in seconds.

        Returns:
          The run times to use from now on.
        """
        if load.slowdown is None:
            return times
        if self._times is None:
            self._times = run_times.SteadyRunTimes(times)
        self._load = load
        self._stated_at = now
        self._slowdown.record(load.slowdown, now)
        return self._times

    def compute_slots(self, limit: int, now: float) -> int:
        """Returns how many requests may run at a time now; at least 1.

        Also sets the slowdown by which the run times are estimated.

        Args:
          limit: Number that may run as far as the owner itself knows.
          now: Monotonic time in seconds.
        """
        if self._load is None or self._times is None:
            return limit
        self._times.slowdown = self._slowdown.estimate(now)
        freshness = max(0.0, 1 - (now - self._stated_at) / WAITING_FADE_S)
        held_back = round(self._load.waiting * freshness)
        return max(1, min(limit, self._load.slots) - held_back)

    def estimate_slowdown(self, now: float) -> float | msgspec.UnsetType:
        """Returns the expected slowdown; unset if the server tells none."""
        if self._times is None:
            return msgspec.UNSET
        return self._slowdown.estimate(now)

    def average_slowdown(self, run: running_requests.Run, now: float) -> float:
        """Returns the mean slowdown during a run; 1 if it isn't told."""
        if self._times is None:
            return 1.0
        return (run.slowdown + self._slowdown.estimate(now)) / 2

    def find_usual_run(self, kind: str) -> float | msgspec.UnsetType:
        """Returns the usual run time of a kind, in seconds; unset if unknown.

        Args:
          kind: The kind; empty for none.
        """
        if self._times is None:
            return msgspec.UNSET
        return self._times.find_usual(kind) or msgspec.UNSET
