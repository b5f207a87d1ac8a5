"""Program that logs and is interrupted by a signal handler that logs."""

import io
import signal
import types

from lovagesaddle.observability import logs
from lovagesaddle.settings import schema

INTERRUPTIONS = 3000
INTERVAL_S = 0.0002


def main() -> None:
    """Logs until it was interrupted INTERRUPTIONS times."""
    log = logs.get_logger("x")
    handled = 0

    def handle(number: int, frame: types.FrameType | None) -> None:
        nonlocal handled
        del number, frame
        handled += 1
        log.info("interrupted")

    signal.signal(signal.SIGALRM, handle)
    settings = schema.LogSettings(level="info")
    with logs.LogWriter(io.StringIO(), settings, owned=False):
        for turn in range(INTERRUPTIONS):
            # One-shot, since a handler may run longer than the interval.
            signal.setitimer(signal.ITIMER_REAL, INTERVAL_S)
            while handled <= turn:
                log.info("working")
    print("done", flush=True)


if __name__ == "__main__":
    main()
