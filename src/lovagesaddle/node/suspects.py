"""This node's knowledge of requests that crash backend servers."""

import threading
import time

from lovagesaddle.core.routing import quarantine
from lovagesaddle.node import ports
from lovagesaddle.observability import logs

_log = logs.get_logger("suspects")


class Suspects:
    """Shares one quarantine among the node's threads."""

    def __init__(self) -> None:
        self._quarantine = quarantine.Quarantine()
        self._lock = threading.Lock()
        self._control: ports.ControlPort | None = None

    def connect(self, control: ports.ControlPort) -> None:
        """Spreads marks through the control thread from now on."""
        self._control = control

    def judge(
        self, fingerprint: bytes, *, hinted: bool = False
    ) -> quarantine.Verdict:
        """Returns how to treat a request; see `Quarantine.classify`."""
        with self._lock:
            return self._quarantine.classify(
                fingerprint, time.monotonic(), hinted=hinted
            )

    def clear(self, fingerprint: bytes) -> None:
        """Notes that a request was answered as a whole."""
        with self._lock:
            self._quarantine.step(
                quarantine.Answered(fingerprint=fingerprint), time.monotonic()
            )

    def take_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Takes marks of other nodes."""
        with self._lock:
            self._quarantine.step(
                quarantine.MarksReceived(marks=marks), time.monotonic()
            )

    def report_death(self, died: quarantine.ServerDied) -> None:
        """Marks what a server ran when it died, and spreads the marks."""
        with self._lock:
            actions = self._quarantine.step(died, time.monotonic())
        _log.warning(
            "server_died",
            server=died.server_id,
            incarnation=died.incarnation,
            running=len(died.running),
        )
        for action in actions:
            if self._control is not None:
                self._control.spread_marks(action.marks)
