"""Ends waits whose deadline passed or whose requester hung up."""

from collections.abc import Callable, Iterator
import contextlib
import enum
import socket
import threading
import time
from typing import Self

SCAN_S = 0.02
IDLE_SCANS = 50


class EndReason(enum.Enum):
    """Why a watched wait was ended."""

    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Guard:
    """Watches over one wait; its thread ends the wait through `on_end`.

    Args:
      deadline: Monotonic time, in seconds.
      is_gone: Whether the requester hung up.
      is_watched: Whether a watchdog checks it, so that what waits under it
        needs no time limit of its own.
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
        """Seconds to the deadline; 0 when the wait was ended."""
        if self.reason is not None:
            return 0.0
        return max(0.0, self.deadline - time.monotonic())

    @contextlib.contextmanager
    def on_end(self, callback: Callable[[], None]) -> Iterator[None]:
        """Calls `on_end` if the wait ends while the context is open."""
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

    def check(self, now: float) -> None:
        """Ends the wait when its time is over or its requester is gone."""
        if self.reason is not None:
            return
        if now >= self.deadline:
            self.end(EndReason.DEADLINE)
        elif self._is_gone():
            self.end(EndReason.CANCELLED)

    def end(self, reason: EndReason) -> None:
        """Ends the wait, once."""
        with self._lock:
            if self.reason is not None:
                return
            self.reason = reason
            if self._callback is not None:
                self._callback()


def limit_wait(sock: socket.socket, guard: Guard) -> None:
    """Bounds the next wait on a socket where no watchdog ends it.

    Bytes one by one must not prolong the whole, so it is called before each
    wait. Only without a watchdog it costs one more system call.

    Raises:
      TimeoutError: The wait is over.
    """
    limit_s = None if guard.is_watched else guard.remaining_s
    if guard.reason is not None or limit_s == 0:
        raise TimeoutError("the wait is over")
    if sock.gettimeout() != limit_s:
        sock.settimeout(limit_s)


class Watchdog:
    """Scans the open guards on a thread of its own, as a context manager.

    The thread sleeps while no guard was open for a time, so that an idle
    node costs nothing.
    """

    def __init__(self) -> None:
        self._guards: dict[int, Guard] = {}
        self._stopped = False
        self._asleep = False
        self._roused = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="watchdog", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped = True
        self._roused.set()
        self._thread.join()

    @contextlib.contextmanager
    def watch(
        self, *, deadline: float, is_gone: Callable[[], bool]
    ) -> Iterator[Guard]:
        """Opens a guard for the length of the context.

        Args:
          deadline: Monotonic time, in seconds.
          is_gone: Called on the watchdog's thread; must not block.
        """
        guard = Guard(deadline, is_gone, is_watched=True)
        self._guards[id(guard)] = guard
        if self._asleep:
            self._roused.set()
        try:
            yield guard
        finally:
            del self._guards[id(guard)]

    def _run(self) -> None:
        idle_scans = 0
        while not self._stopped:
            guards = tuple(self._guards.values())
            idle_scans = 0 if guards else idle_scans + 1
            now = time.monotonic()
            for guard in guards:
                guard.check(now)
            if idle_scans > IDLE_SCANS:
                self._sleep()
                idle_scans = 0
            else:
                time.sleep(SCAN_S)

    def _sleep(self) -> None:
        """Waits for a guard; one opened meanwhile is seen after the flag."""
        self._roused.clear()
        self._asleep = True
        if not self._guards and not self._stopped:
            self._roused.wait()
        self._asleep = False
