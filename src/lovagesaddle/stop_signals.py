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
    pipe that the main thread reads.
    """

    def __init__(self) -> None:
        self._reader = -1
        self._writer = -1
        self._previous_wakeup_fd = -1

    def __enter__(self) -> Self:
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._writer, False)
        self._previous_wakeup_fd = signal.set_wakeup_fd(
            self._writer, warn_on_full_buffer=False
        )
        for number in STOP_SIGNALS:
            # The wakeup descriptor needs a handler for the signal, and the
            # default action would end the process at once.
            signal.signal(number, _ignore)
        return self

    def __exit__(self, *_: object) -> None:
        signal.set_wakeup_fd(self._previous_wakeup_fd)
        os.close(self._writer)
        os.close(self._reader)

    def wait(self) -> None:
        """Blocks until the process receives a stop signal."""
        while STOP_SIGNALS.isdisjoint(os.read(self._reader, READ_BYTES)):
            pass


def _ignore(number: int, frame: types.FrameType | None) -> None:
    del number, frame
