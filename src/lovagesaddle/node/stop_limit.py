"""Refuses requests that a stopping node could not answer before its end."""

from collections.abc import Callable, Iterator
import contextlib
import threading
import time

from lovagesaddle.core.routing import graceful_shutdown
from lovagesaddle.core.routing import run_bounds
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

MS_PER_S = 1000
_log = logs.get_logger("shutdown")


class StopLimit:
    """Applies the schedule of a shutdown to new requests and attempts.

    The entry and the owner of a node share it. Without a shutdown it refuses
    nothing.

    Args:
      metrics: Metrics of this process.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._refusals = metrics.get_counter(
            "stopping_refusals_total",
            "Requests refused since the node stops before they would end",
        )
        self._schedule: graceful_shutdown.Schedule | None = None
        self._bounds = run_bounds.RunBounds()
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def track(self, kind: str) -> Iterator[None]:
        """Measures a run of a kind while the context is open."""
        run = object()
        with self._lock:
            self._bounds.start(kind, run, time.monotonic())
        try:
            yield
        finally:
            with self._lock:
                self._bounds.end(kind, run, time.monotonic())

    def begin(self, schedule: graceful_shutdown.Schedule) -> None:
        """Refuses what the schedule does not allow, from now on."""
        self._schedule = schedule

    def refuses(
        self,
        *,
        deadline: float,
        kind: str,
        estimate_run_time: Callable[[], float],
        **ids: str,
    ) -> bool:
        """Returns whether the node stops before a request would end.

        Args:
          deadline: When its requester gets an answer at the latest, in
            monotonic seconds.
          kind: Kind of its run; see `track`.
          estimate_run_time: Returns the mean time of such a run, in seconds;
            0 if unknown. Called only during a shutdown.
          **ids: ID of the request or the attempt, for the log.
        """
        schedule = self._schedule
        if schedule is None:
            return False
        now = time.monotonic()
        mean_s = estimate_run_time()
        with self._lock:
            run_s = self._bounds.estimate(kind, mean_s, now)
        if schedule.allows(now=now, deadline=deadline, run_s=run_s):
            return False
        self._refusals.add()
        if logs.allows_request_line(failed=True):
            _log.info(
                "refused_while_stopping",
                **ids,
                deadline_ms=int((deadline - now) * MS_PER_S),
                run_ms=int(run_s * MS_PER_S),
                left_ms=int((schedule.requests_end_at - now) * MS_PER_S),
            )
        return True


def name_calls(service: str) -> str:
    """Returns the kind of an entry's calls of a service, for `track`."""
    return f"calls of {service}"
