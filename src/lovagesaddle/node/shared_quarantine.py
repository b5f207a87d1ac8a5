"""Shares one quarantine between the threads of a node."""

import threading
import time

from lovagesaddle.core.routing import quarantine
from lovagesaddle.node import ports
from lovagesaddle.observability import logs

_log = logs.get_logger("suspects")


class SharedQuarantine:
    """Guards one quarantine with a lock and spreads its crash marks."""

    def __init__(self) -> None:
        self._quarantine = quarantine.Quarantine()
        self._lock = threading.Lock()
        self._control: ports.ControlPort | None = None

    def connect(self, control: ports.ControlPort) -> None:
        """Starts to spread crash marks through the control thread."""
        self._control = control

    def classify(
        self, fingerprint: bytes, *, hinted: bool = False
    ) -> quarantine.Verdict:
        """Returns how to treat a request; see `Quarantine.classify`."""
        with self._lock:
            return self._quarantine.classify(
                fingerprint, time.monotonic(), hinted=hinted
            )

    def clear(self, fingerprint: bytes) -> None:
        """Clears a request of suspicion, as it was answered completely."""
        with self._lock:
            self._quarantine.step(
                quarantine.Answered(fingerprint=fingerprint), time.monotonic()
            )

    def add_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Adds crash marks from other nodes or from the owner of an attempt."""
        with self._lock:
            self._quarantine.step(
                quarantine.MarksReceived(marks=marks), time.monotonic()
            )

    def record_crash(self, event: quarantine.ServerDied) -> None:
        """Marks the requests that a crashed server ran; spreads the marks."""
        with self._lock:
            actions = self._quarantine.step(event, time.monotonic())
        _log.warning(
            "server_died",
            server=event.server_id,
            incarnation=event.incarnation,
            running=len(event.running),
        )
        for action in actions:
            if self._control is not None:
                self._control.spread_marks(action.marks)
