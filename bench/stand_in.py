"""Options, load and run records of a stand-in backend server."""

import dataclasses
import enum
import json
import os
import random
import threading
import time
from typing import Any

MS_PER_S = 1000
MAX_LOAD_SAMPLES = 1000


class Act(enum.Enum):
    """Faults that a request can inject with the header `Act`.

    Attributes:
      NONE: No fault.
      CRASH_BEFORE: Crash before the run.
      CRASH_DURING: Crash once the run has started.
      CRASH_AFTER: Crash after the run, before the answer.
      LOSE_ANSWER: Close the connection after the run, without an answer.
      TRUNCATE: Close the connection after half of the answer.
      CROSS: Answer with the request ID of another request.
      TRAIL: Send a second answer after the first.
    """

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
    """Options of a stand-in.

    Attributes:
      slots: Requests that it runs at a time; further ones wait.
      run_s: Time of a run, in seconds, unless the request states another.
      cold_s: Time after the start in which runs take longer, in seconds.
      cold_factor: Factor on run times at the start; it falls linearly to 1.
      shed: Whether it answers 503 when every slot is in use.
      health: Answer to health checks: "honest", or always "up" or "down".
      load_lag_s: Age of the load that it reports, in seconds.
      record: File to which runs are appended, or empty.
      seed: Seed of the deviations of run times.
      spread: Largest deviation of a run time, as a share of it.
      heed_deadline: Whether a run ends at the deadline in its request.
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
    """The slots, load and run records of one stand-in.

    Args:
      options: Slots, run times and faults.
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
        self._load_samples: list[tuple[float, int]] = []
        self._record = (
            os.open(options.record, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
            if options.record
            else -1
        )

    def record(self, event: str, request_id: str, attempt: str) -> None:
        """Appends one JSON line to the record file, if there is one."""
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

    def change_running(self, change: int) -> None:
        """Adds `change` to the number of runs, for a start or an end."""
        with self._lock:
            self.running += change
            self.most_running = max(self.most_running, self.running)
            if self.options.load_lag_s:
                self._load_samples.append((time.monotonic(), self.running))
                del self._load_samples[:-MAX_LOAD_SAMPLES]

    def describe_load(self) -> dict[str, Any]:
        """Returns the answer of the load endpoint, delayed by `load_lag_s`."""
        if not self.options.load_lag_s:
            return {"running": self.running}
        limit = time.monotonic() - self.options.load_lag_s
        with self._lock:
            delayed = [count for at, count in self._load_samples if at <= limit]
        return {"running": delayed[-1] if delayed else 0}
