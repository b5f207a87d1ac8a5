"""What a stand-in backend server does, and its record of every run."""

import dataclasses
import enum
import json
import os
import random
import threading
import time
from typing import Any

MS_PER_S = 1000
KEPT_LOADS = 1000


class Act(enum.Enum):
    """Fault that a request asks for."""

    NONE = ""
    CRASH_BEFORE = "crash-before"
    CRASH_DURING = "crash-during"
    CRASH_AFTER = "crash-after"
    LOSE_ANSWER = "lose-answer"
    TRUNCATE = "truncate"
    CROSS = "cross"
    TRAIL = "trail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendOptions:
    """How a stand-in behaves.

    Attributes:
      slots: Requests that it runs at a time; more wait.
      run_s: Time of a run, in seconds, unless the request says otherwise.
      cold_s: Time after the start in which runs take longer.
      cold_factor: How much longer at the start.
      shed: Whether it answers 503 when every slot is in use.
      health: "honest", "up" or "down", whatever the truth.
      load_lag_s: Age of the load that it reports, in seconds.
      record: File that runs are appended to.
      seed: Of the random number behind the spread of run times.
      spread: Largest deviation of a run's time, as a share.
      heed_deadline: Whether it stops at the deadline that it is told.
      exits: Whether a crash ends the process or, in a test's own process,
        only closes the listener and every connection.
    """

    slots: int = 20
    run_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    shed: bool = False
    health: str = "honest"
    load_lag_s: float = 0.0
    record: str = ""
    seed: int = 1
    spread: float = 0.0
    heed_deadline: bool = True
    exits: bool = False


class State:
    """Slots, load and record of one stand-in.

    Args:
      options: How it behaves.
    """

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.slots = threading.Semaphore(options.slots)
        self.running = 0
        self.most_running = 0
        self.draining = False
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._random = random.Random(options.seed)
        self._loads: list[tuple[float, int]] = []
        self._record = (
            os.open(options.record, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
            if options.record
            else -1
        )

    def record(self, event: str, request_id: str, attempt: str) -> None:
        """Appends one line to the record."""
        if self._record >= 0:
            line = {
                "event": event,
                "id": request_id,
                "attempt": attempt,
                "pid": os.getpid(),
                "at": time.time(),
            }
            os.write(self._record, json.dumps(line).encode() + b"\n")

    def draw_run_s(self, stated_ms: str) -> float:
        """Returns the time of the next run, in seconds."""
        base_s = (
            float(stated_ms) / MS_PER_S if stated_ms else self.options.run_s
        )
        with self._lock:
            deviation = self._random.uniform(-1, 1) * self.options.spread
        age_s = time.monotonic() - self._started_at
        cold = 1.0
        if age_s < self.options.cold_s:
            left = 1 - age_s / self.options.cold_s
            cold = 1 + (self.options.cold_factor - 1) * left
        return base_s * (1 + deviation) * cold

    def count(self, change: int) -> None:
        """Counts a run that starts or ends."""
        with self._lock:
            self.running += change
            self.most_running = max(self.most_running, self.running)
            if self.options.load_lag_s:
                self._loads.append((time.monotonic(), self.running))
                del self._loads[:-KEPT_LOADS]

    def describe_load(self) -> dict[str, Any]:
        """Returns what the load endpoint says, as old as the options say."""
        if not self.options.load_lag_s:
            return {"running": self.running}
        limit = time.monotonic() - self.options.load_lag_s
        with self._lock:
            old = [count for at, count in self._loads if at <= limit]
        return {"running": old[-1] if old else 0}
