"""A program whose main thread receives no signal itself."""

import signal
import threading

from lovagesaddle import stop_signals


def main() -> None:
    """Waits until it is asked to stop."""
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
