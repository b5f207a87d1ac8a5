"""Waits for the signals that stop a process."""

import os
import signal
import types
from typing import Self

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
READ_BYTES = 64


class StopSignals:
    """Lets the main thread wait until the process is asked to stop.

    The system may deliver a signal to any thread, which does not wake a main
    thread that waits for a lock. So each signal also writes its number into a
    pipe, and the main thread waits for that.
    """

    def __init__(self) -> None:
        self._reader = -1
        self._writer = -1
        self._previous = -1

    def __enter__(self) -> Self:
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._writer, False)
        self._previous = signal.set_wakeup_fd(
            self._writer, warn_on_full_buffer=False
        )
        for number in STOP_SIGNALS:
            # The default action would end the process.
            signal.signal(number, _pass_over)
        return self

    def __exit__(self, *_: object) -> None:
        signal.set_wakeup_fd(self._previous)
        os.close(self._writer)
        os.close(self._reader)

    def wait(self) -> None:
        """Returns once the process was asked to stop."""
        while STOP_SIGNALS.isdisjoint(os.read(self._reader, READ_BYTES)):
            pass


def _pass_over(number: int, frame: types.FrameType | None) -> None:
    del number, frame
