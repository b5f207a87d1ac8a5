"""Owner side: schedules and receives large bodies that come in parts."""

import dataclasses
import threading
import time

from lovagesaddle.core.routing import body_scheduler
from lovagesaddle.http import watchdog
from lovagesaddle.observability import logs

MS_PER_S = 1000
_log = logs.get_logger("inbound")

Decision = body_scheduler.Granted | body_scheduler.Declined


class _Waiter:
    """Holds the decision on one offer, once it is made."""

    __slots__ = ("decided", "decision")

    def __init__(self) -> None:
        self.decision: Decision | None = None
        self.decided = threading.Event()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Body:
    """Holds the parts of one body that have arrived.

    Attributes:
      size: Size of the whole body, in bytes.
      deadline: Monotonic time after which it is dropped, in seconds.
      granted_at: Monotonic time at which its transfer was granted, in seconds.
      data: Parts that have arrived.
    """

    size: int
    deadline: float
    granted_at: float
    data: bytearray = dataclasses.field(default_factory=bytearray)


class BodyReceiver:
    """Receives large bodies and shares the inbound link of this VM among them.

    A body that is incomplete at its deadline is dropped.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second; 0 if unknown.
    """

    def __init__(self, link_bytes_s: float) -> None:
        self._scheduler = body_scheduler.BodyScheduler(link_bytes_s)
        self._lock = threading.Lock()
        self._waiters: dict[str, _Waiter] = {}
        self._offers: dict[str, _Body] = {}
        self._bodies: dict[str, _Body] = {}

    @property
    def wait_s(self) -> float:
        """Expected time until a new offer would be granted, in seconds."""
        with self._lock:
            return self._scheduler.wait_s

    def offer(
        self, offer: body_scheduler.Offered, guard: watchdog.Guard
    ) -> Decision | None:
        """Waits until the transfer of a body is granted or declined.

        Args:
          offer: Describes the body.
          guard: Ends the wait at the deadline or when the entry disconnects.

        Returns:
          The decision; None if the wait ended before it, or if the attempt was
          already offered.
        """
        attempt_id = offer.attempt_id
        waiter = _Waiter()
        now = time.monotonic()
        with self._lock:
            if attempt_id in self._offers or attempt_id in self._bodies:
                return None
            self._drop_overdue(now)
            self._waiters[attempt_id] = waiter
            self._offers[attempt_id] = _Body(
                size=offer.body_bytes, deadline=guard.deadline, granted_at=now
            )
            self._step(offer, now)
        with guard.on_end(waiter.decided.set):
            self._wait(waiter, guard)
        with self._lock:
            self._waiters.pop(attempt_id, None)
            if waiter.decision is not None and guard.reason is None:
                return waiter.decision
            self._drop(attempt_id)
        return None

    def add_part(self, attempt_id: str, offset: int, data: bytes) -> bool:
        """Adds a part; returns False if it does not follow the last one."""
        with self._lock:
            body = self._bodies.get(attempt_id)
            if body is None or not _is_next_part(body, offset, data):
                self._drop(attempt_id)
                return False
            body.data += data
            self._step(
                body_scheduler.PartArrived(
                    attempt_id=attempt_id, part_bytes=len(data)
                ),
                time.monotonic(),
            )
            return True

    def finish(self, attempt_id: str, offset: int, data: bytes) -> bytes | None:
        """Adds the last part; returns the body, or None if it is incomplete."""
        now = time.monotonic()
        with self._lock:
            body = self._bodies.get(attempt_id)
            is_whole = (
                body is not None
                and _is_next_part(body, offset, data)
                and offset + len(data) == body.size
            )
            self._step(
                body_scheduler.PartArrived(
                    attempt_id=attempt_id, part_bytes=len(data)
                ),
                now,
            )
            self._drop(attempt_id)
        if body is None or not is_whole:
            return None
        if logs.allows_request_line(failed=False):
            _log.info(
                "body_arrived",
                attempt=attempt_id,
                body_bytes=body.size,
                body_ms=int((now - body.granted_at) * MS_PER_S),
            )
        return bytes(body.data) + data

    def drop(self, attempt_id: str) -> None:
        """Drops a body and ends its transfer."""
        with self._lock:
            self._drop(attempt_id)

    def _wait(self, waiter: _Waiter, guard: watchdog.Guard) -> None:
        """Waits for a decision; also expires transfers that stay idle."""
        while waiter.decision is None and guard.remaining_s:
            with self._lock:
                now = time.monotonic()
                self._step(body_scheduler.Tick(), now)
                expires_at = self._scheduler.expires_at
            if waiter.decision is not None:
                return
            pause_s = guard.remaining_s
            if expires_at is not None:
                pause_s = min(pause_s, max(0.0, expires_at - now))
            waiter.decided.wait(pause_s)

    def _step(self, event: body_scheduler.Event, now: float) -> None:
        for action in self._scheduler.step(event, now):
            match action:
                case body_scheduler.Granted():
                    body = self._offers.pop(action.attempt_id)
                    body.granted_at = now
                    self._bodies[action.attempt_id] = body
                    self._decide(action)
                case body_scheduler.Declined():
                    self._offers.pop(action.attempt_id, None)
                    self._decide(action)
                case body_scheduler.Expired():
                    _log.info("turn_unused", attempt=action.attempt_id)

    def _decide(self, decision: Decision) -> None:
        waiter = self._waiters.pop(decision.attempt_id, None)
        if waiter is not None:
            waiter.decision = decision
            waiter.decided.set()

    def _drop(self, attempt_id: str) -> None:
        self._offers.pop(attempt_id, None)
        self._bodies.pop(attempt_id, None)
        self._step(
            body_scheduler.Withdrawn(attempt_id=attempt_id), time.monotonic()
        )

    def _drop_overdue(self, now: float) -> None:
        overdue = [
            attempt_id
            for attempt_id, body in self._bodies.items()
            if now > body.deadline
        ]
        for attempt_id in overdue:
            self._drop(attempt_id)


def _is_next_part(body: _Body, offset: int, data: bytes) -> bool:
    return offset == len(body.data) and offset + len(data) <= body.size
