"""Owner side: turns of the parts of large answers on the outbound link."""

import threading
import time

from lovagesaddle.core.routing import answer_scheduler
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog


class AnswerTurns:
    """Lets parts of large answers wait until the link may carry them.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second.
    """

    def __init__(self, link_bytes_s: float) -> None:
        self._scheduler = answer_scheduler.AnswerScheduler(link_bytes_s)
        self._lock = threading.Lock()
        self._waiters: dict[str, threading.Event] = {}

    @property
    def wait_s(self) -> float:
        """Time that the link needs for the answers that are ready now."""
        with self._lock:
            return self._scheduler.wait_s

    def compute_delay(self, run_s: float, guard: watchdog.Guard) -> float:
        """Returns how late a new request's answer would be, in seconds."""
        with self._lock:
            return self._scheduler.compute_delay(
                time.monotonic(), run_s=run_s, by=guard.deadline
            )

    def send_first(
        self,
        request: hop.RunRequest,
        answer: hop.RunAnswer,
        guard: watchdog.Guard,
    ) -> bool:
        """Waits until the first part of an answer may be sent; see `_wait`."""
        rest_bytes = max(0, answer.rest_bytes or 0)
        return self._wait(
            answer_scheduler.Asked(
                attempt_id=request.attempt_id,
                part_bytes=len(answer.body),
                left_bytes=len(answer.body) + rest_bytes,
                priority=request.priority,
                is_first=True,
            ),
            guard,
        )

    def send_next(
        self, pull: hop.AnswerPull, part: hop.AnswerPart, guard: watchdog.Guard
    ) -> bool:
        """Waits until a later part of an answer may be sent; see `_wait`."""
        return self._wait(
            answer_scheduler.Asked(
                attempt_id=pull.attempt_id,
                part_bytes=len(part.data),
                left_bytes=max(pull.left_bytes, len(part.data)),
                priority=pull.priority,
                is_last=part.is_last,
            ),
            guard,
        )

    def _wait(
        self, asked: answer_scheduler.Asked, guard: watchdog.Guard
    ) -> bool:
        """Waits for the turn of a part; returns whether it may be sent."""
        turn = threading.Event()
        with self._lock:
            self._waiters[asked.attempt_id] = turn
            self._step(asked)
        with guard.on_end(turn.set):
            while not turn.is_set() and guard.remaining_s:
                turn.wait(self._tick(guard.remaining_s))
        with self._lock:
            if self._waiters.pop(asked.attempt_id, None) is None:
                return True
            self._step(answer_scheduler.Withdrawn(attempt_id=asked.attempt_id))
        return False

    def record_arrival(self, attempt_id: str) -> None:
        """Records that an entry has the last part, or needs no more."""
        with self._lock:
            self._step(answer_scheduler.Arrived(attempt_id=attempt_id))

    def _tick(self, limit_s: float) -> float:
        """Returns how long to wait until the next part may have arrived."""
        with self._lock:
            self._step(answer_scheduler.Tick())
            tick_at = self._scheduler.tick_at
        if tick_at is None:
            return limit_s
        return min(limit_s, max(0.0, tick_at - time.monotonic()))

    def _step(self, event: answer_scheduler.Event) -> None:
        for granted in self._scheduler.step(event, time.monotonic()):
            turn = self._waiters.pop(granted.attempt_id, None)
            if turn is not None:
                turn.set()
