"""Ends waits whose deadline has passed or whose requester disconnected."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import enum
import math
import socket
import threading
import time
from typing import Self

from lovagesaddle.observability import logs

# A requester that disconnects is noticed within this time at each node of a
# call, so that an abandoned request frees its slot within half a second.
SCAN_INTERVAL_S = 0.05
IDLE_SCANS = 20
_log = logs.get_logger("watchdog")


class EndReason(enum.Enum):
    """Reasons for which a wait is ended."""

    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Guard:
    """Ends one wait at its deadline or when its requester disconnects.

    Args:
      deadline: Monotonic time, in seconds.
      is_gone: Returns whether the requester has disconnected.
      is_watched: Whether a watchdog checks the guard, so that waits bounded by
        it need no time limit of their own.
    """

    def __init__(
        self,
        deadline: float,
        is_gone: Callable[[], bool],
        *,
        is_watched: bool = False,
    ) -> None:
        self.is_watched = is_watched
        self.deadline = deadline
        self._is_gone = is_gone
        self._callback: Callable[[], None] | None = None
        self._lock = threading.Lock()
        self.reason: EndReason | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds to the deadline; 0 once the wait has ended."""
        if self.reason is not None:
            return 0.0
        return max(0.0, self.deadline - time.monotonic())

    @contextlib.contextmanager
    def on_end(self, callback: Callable[[], None]) -> Iterator[None]:
        """Calls `callback` if the wait ends while the context is open."""
        with self._lock:
            self._callback = callback
            ended = self.reason is not None
        try:
            if ended:
                callback()
            yield
        finally:
            with self._lock:
                self._callback = None

    def call_on_end(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when the wait ends, instead of any earlier one."""
        with self._lock:
            self._callback = callback

    def check(self, now: float) -> None:
        """Ends the wait at its deadline or when the requester is gone."""
        if self.reason is not None:
            return
        if now >= self.deadline:
            self.end(EndReason.DEADLINE)
        elif self._is_gone():
            self.end(EndReason.CANCELLED)

    def ignore_requester(self) -> None:
        """Leaves only the deadline to end the wait."""
        self._is_gone = _is_never_gone

    def end(self, reason: EndReason) -> None:
        """Ends the wait; later calls have no effect."""
        with self._lock:
            if self.reason is not None:
                return
            self.reason = reason
            if self._callback is not None:
                self._callback()


def _is_never_gone() -> bool:
    return False


def limit_wait(sock: socket.socket, guard: Guard) -> None:
    """Sets the timeout for the next wait on a socket that no watchdog ends.

    A peer that sends single bytes must not extend the deadline, so this is
    called before each wait. It costs a system call only without a watchdog.

    Raises:
      TimeoutError: The wait has ended.
    """
    limit_s = None if guard.is_watched else guard.remaining_s
    if guard.reason is not None or limit_s == 0:
        raise TimeoutError("the wait has ended")
    if sock.gettimeout() != limit_s:
        sock.settimeout(limit_s)


class Watchdog:
    """Ends the waits of open guards in time; a context manager.

    A guard bounds one wait by a deadline and the requester's connection. While
    the context is open, a separate thread ends each wait at its deadline, and
    checks the requesters of all open guards regularly. The thread sleeps after
    IDLE_SCANS scans without an open guard, so that an idle node uses no CPU.
    """

    def __init__(self) -> None:
        self._guards: dict[int, Guard] = {}
        self._stopped = False
        self._latest = math.inf
        # Monotonic time up to which the thread sleeps, in seconds.
        self._next_scan_at = math.inf
        self._wakeup = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="watchdog", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped = True
        self._wakeup.set()
        self._thread.join()

    def end_waits_at(self, at: float) -> None:
        """Ends all waits, open and later ones, at a monotonic time."""
        self._latest = at
        for guard in tuple(self._guards.values()):
            guard.deadline = min(guard.deadline, at)
        self._wakeup.set()

    @contextlib.contextmanager
    def watch(
        self, *, deadline: float, is_gone: Callable[[], bool]
    ) -> Iterator[Guard]:
        """Opens a guard for the duration of the context.

        Args:
          deadline: Monotonic time, in seconds.
          is_gone: Called on the watchdog's thread; must not block.
        """
        guard = Guard(deadline, is_gone, is_watched=True)
        self._guards[id(guard)] = guard
        # Read after the guard was added, so that it is limited in any case.
        guard.deadline = min(guard.deadline, self._latest)
        if guard.deadline < self._next_scan_at:
            self._wakeup.set()
        try:
            yield guard
        finally:
            del self._guards[id(guard)]

    def call_at(
        self, deadline: float, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Calls `callback` at a deadline, on the watchdog's thread.

        Args:
          deadline: Monotonic time, in seconds; earlier if all waits end before.
          callback: Must not block.

        Returns:
          Cancels the call; may be called from `callback` too.
        """
        guard = Guard(min(deadline, self._latest), _is_never_gone)
        guard.call_on_end(callback)
        self._guards[id(guard)] = guard
        guard.deadline = min(guard.deadline, self._latest)
        if guard.deadline < self._next_scan_at:
            self._wakeup.set()

        def cancel() -> None:
            self._guards.pop(id(guard), None)

        return cancel

    def _run(self) -> None:
        idle_scans = 0
        while not self._stopped:
            # A guard that is opened during the scan may be missed by it. Each
            # guard is therefore made to set the event, which ends the wait
            # below at once.
            self._wakeup.clear()
            self._next_scan_at = math.inf
            guards = tuple(self._guards.values())
            now = time.monotonic()
            for guard in guards:
                _check(guard, now)
            idle_scans = 0 if guards else idle_scans + 1
            if self._stopped:
                return
            if idle_scans > IDLE_SCANS:
                self._wakeup.wait()
                idle_scans = 0
                continue
            next_scan_at = plan_next_scan(
                now, (g.deadline for g in guards if g.reason is None)
            )
            self._next_scan_at = next_scan_at
            self._wakeup.wait(max(0.0, next_scan_at - time.monotonic()))


def _check(guard: Guard, now: float) -> None:
    """Checks a guard; an unexpected error must not end the watchdog's thread.

    Without the thread no request of the process would meet its deadline.
    """
    try:
        guard.check(now)
    except Exception as error:
        _log.error("watch_failed", cause=repr(error))
        guard.ignore_requester()


def plan_next_scan(now: float, deadlines: Iterable[float]) -> float:
    """Returns the monotonic time of the next scan, in seconds.

    Args:
      now: Monotonic time of the last scan, in seconds.
      deadlines: Deadlines of the waits that have not ended.
    """
    return min((now + SCAN_INTERVAL_S, *deadlines))
