"""Requests that run on a backend server."""

import dataclasses

from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import run_times


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that holds a slot.

    Attributes:
      waiting: The request as it was queued.
      started_at: Monotonic time at which it got its slot, in seconds.
      slowdown: Factor by which work took longer than usual then.
    """

    waiting: queues.Waiting
    started_at: float
    slowdown: float = 1.0


class RunningRequests:
    """Holds the running requests, at most one of them a suspect."""

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}
        self._suspect_id = ""

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._runs

    @property
    def has_suspect(self) -> bool:
        """Whether a suspect is running."""
        return self._suspect_id in self._runs

    def start(
        self, waiting: queues.Waiting, now: float, slowdown: float = 1.0
    ) -> None:
        """Gives a slot to a request.

        Args:
          waiting: The request.
          now: Monotonic time in seconds.
          slowdown: Factor by which work takes longer than usual now.
        """
        if waiting.suspect:
            self._suspect_id = waiting.request_id
        run = Run(waiting=waiting, started_at=now, slowdown=slowdown)
        self._runs[waiting.request_id] = run

    def list_remaining_times(
        self, times: run_times.RunTimes, now: float
    ) -> tuple[float, ...]:
        """Returns the expected times until the runs end, ascending, in seconds.

        Args:
          times: Expected run times.
          now: Monotonic time in seconds.
        """
        remaining = (
            run.started_at + times.estimate(run.waiting.kind) - now
            for run in self._runs.values()
        )
        return tuple(sorted(max(0.0, each) for each in remaining))

    def find_start(self, request_id: str) -> float:
        """Returns when a request got its slot; -inf if it has none."""
        run = self._runs.get(request_id)
        return float("-inf") if run is None else run.started_at

    def end(self, request_id: str) -> Run | None:
        """Frees the slot of a request; returns its run, or None without one."""
        return self._runs.pop(request_id, None)
