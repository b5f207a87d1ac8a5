"""Runs a process whose main thread blocks the stop signals."""

import signal
import threading

from lovagesaddle import stop_signals


def main() -> None:
    """Waits for a stop signal, which only the other thread can receive."""
    ended = threading.Event()
    thread = threading.Thread(target=ended.wait)
    thread.start()
    with stop_signals.StopSignals() as signals:
        signal.pthread_sigmask(signal.SIG_BLOCK, stop_signals.STOP_SIGNALS)
        print("ready", flush=True)
        signals.wait()
    ended.set()
    thread.join()


if __name__ == "__main__":
    main()
