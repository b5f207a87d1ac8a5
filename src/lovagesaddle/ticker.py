"""Calls a function at intervals on its own thread."""

from collections.abc import Callable
import threading
from typing import Self

from lovagesaddle.observability import logs

_log = logs.get_logger("ticker")


class Ticker:
    """Calls a function at intervals while its context is open.

    Leaving the context waits for a call in progress. A call that raises an
    exception is logged, and the next one follows as usual.

    Args:
      name: Name of the thread.
      interval_s: Time between the end of a call and the next call, in seconds.
      work: Function to call.
    """

    def __init__(
        self, *, name: str, interval_s: float, work: Callable[[], None]
    ) -> None:
        self._interval_s = interval_s
        self._work = work
        self._is_stopped = False
        self._wake_event = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()
        self._thread.join()

    def wake(self) -> None:
        """Makes the next call at once."""
        self._wake_event.set()

    def stop(self) -> None:
        """Ends the calls; the function itself may call this too."""
        self._is_stopped = True
        self._wake_event.set()

    def _run(self) -> None:
        while True:
            self._wake_event.wait(self._interval_s)
            self._wake_event.clear()
            if self._is_stopped:
                return
            try:
                self._work()
            except Exception as error:
                _log.error(
                    "tick_failed",
                    ticker=self._thread.name,
                    cause=repr(error),
                )
