"""Repeats some work on a thread of its own."""

from collections.abc import Callable
import threading
from typing import Self


class Ticker:
    """Calls a function at intervals, as a context manager.

    Leaving waits for a call in progress.

    Args:
      name: Of the thread.
      interval_s: Seconds between the end of a call and the next one.
      work: What to do.
    """

    def __init__(
        self, *, name: str, interval_s: float, work: Callable[[], None]
    ) -> None:
        self._interval_s = interval_s
        self._work = work
        self._is_stopped = False
        self._roused = threading.Event()
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
        """Has the next call made at once."""
        self._roused.set()

    def stop(self) -> None:
        """Makes no further call; may be used by the work itself."""
        self._is_stopped = True
        self._roused.set()

    def _run(self) -> None:
        while True:
            self._roused.wait(self._interval_s)
            self._roused.clear()
            if self._is_stopped:
                return
            self._work()
