"""Plays overlapping faults on real processes and checks what callers see.

`python -m bench.soak --seed 1 --seconds 60` runs the programs as on the users'
platform. Callers keep their connections open, an operator publishes, and a
schedule drawn from the seed kills, stops, pauses, empties and replaces
processes. Each finding names the promise that was broken.
"""

import argparse
import collections
from collections.abc import Callable, Iterator
from concurrent import futures
import contextlib
import http.client
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Self

from tests import nodes
from tests import platform_stand_in as platform_lib

from bench import soak_load
from bench import soak_verdicts

NODES = 4
SLOTS = 8
# Serial number of the first document.
FIRST = 3
CALLERS = 8
# Runs beside each other have addresses of their own, as some ports are fixed.
MAX_NETS = 250
CATCH_UP_S = 4.0
# Time within which a mesh serves again after all processes are back.
RECOVERY_S = 15.0
MAX_FAULTS = 3
# Weights of the kinds of faults, and the time between two of them.
WEIGHTS = (3, 3, 2, 4, 1, 1)
PAUSE_S = (0.3, 2.5)
# 1 tells that requests were cut.
EXPECTED_EXITS = (0, 1)
# A process that has just started may not have installed its handler yet.
STARTING_S = 2.0


class Soak:
    """One run; a context manager that owns all processes.

    Args:
      seed: Seed of the schedule.
      seconds: Length of the schedule.

    Attributes:
      findings: What broke a promise, one line each.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._platform = self._stack.enter_context(
            platform_lib.Platform(
                self._folder,
                NODES,
                soak_verdicts.GRACE_S,
                net=f"127.{1 + seed % MAX_NETS}",
            )
        )
        self._servers = [
            self._platform.open_server(ip, f"i-{number}", SLOTS)
            for number, ip in enumerate(self._platform.nodes)
        ]
        self._is_over = threading.Event()
        self._callers = soak_load.Callers(self._platform, self._is_over)
        self._operator = soak_load.Operator(
            self._platform, self._is_over, FIRST
        )
        self._faults: list[soak_verdicts.Fault] = []
        self._taken: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._lock = threading.Lock()
        self._control_lock = threading.Lock()
        self.findings: list[str] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def run(self) -> None:
        """Plays the schedule, waits for the recovery and judges all calls."""
        first = platform_lib.make_document(f"{FIRST:08x}")
        assert self._platform.publish(first, "00000000") == soak_load.OK
        self._wait_until_served(nodes.WAIT_S, "the start")
        time.sleep(soak_verdicts.CALM_S)
        with futures.ThreadPoolExecutor(CALLERS + 1) as pool:
            work = [
                pool.submit(self._callers.run, number)
                for number in range(CALLERS)
            ]
            work.append(pool.submit(self._operator.run))
            try:
                self._play_schedule()
                self._wait_until_served(RECOVERY_S, "the recovery")
            finally:
                self._is_over.set()
                for each in work:
                    each.result()
        self._operator.check_read_back(RECOVERY_S)
        runs = collections.Counter(
            key for server in self._servers for _, key in server.arrived
        )
        self.findings += self._operator.findings
        self.findings += soak_verdicts.judge_calls(
            self._callers.calls, self._faults, runs
        )
        self.findings += soak_verdicts.judge_logs(self._folder)

    def describe(self, seed: int) -> str:
        """Returns a line on what was played."""
        kinds = collections.Counter(f.kind for f in self._faults if f.ip)
        statuses = collections.Counter(
            call.status for call in self._callers.calls
        )
        return (
            f"seed {seed}: {len(self.findings)} findings,"
            f" faults {dict(sorted(kinds.items()))},"
            f" answers {dict(sorted(statuses.items()))},"
            f" document {self._operator.acknowledged[0]}"
        )

    def _play_schedule(self) -> None:
        ends_at = time.monotonic() + self._seconds
        kinds: dict[str, Callable[[random.Random], None]] = {
            "kill": self._kill_node,
            "term": self._stop_node,
            "pause": self._pause_node,
            "control": self._disturb_control,
            "replace": self._replace_control,
            "all": self._kill_controls,
        }
        with futures.ThreadPoolExecutor(MAX_FAULTS) as pool:
            running: set[futures.Future[None]] = set()
            while time.monotonic() < ends_at:
                (kind,) = self._random.choices(tuple(kinds), WEIGHTS)
                own = random.Random(self._random.random())
                running = {each for each in running if not each.done()}
                if len(running) < MAX_FAULTS:
                    running.add(pool.submit(kinds[kind], own))
                time.sleep(self._random.uniform(*PAUSE_S))
            for each in running:
                each.result()

    @contextlib.contextmanager
    def _take_node(self, source: random.Random) -> Iterator[str]:
        """Takes a node that nothing else disturbs; "" if there is none."""
        with self._lock:
            free = [ip for ip in self._platform.nodes if ip not in self._taken]
            # Callers and the mesh need some that run.
            ip = source.choice(free) if len(free) > NODES // 2 else ""
            self._taken.add(ip)
        try:
            yield ip
        finally:
            with self._lock:
                self._taken.discard(ip)

    @contextlib.contextmanager
    def _record(self, kind: str, ip: str) -> Iterator[None]:
        fault = soak_verdicts.Fault(kind=kind, ip=ip, began_at=time.monotonic())
        self._faults.append(fault)
        yield
        fault.ended_at = time.monotonic()

    def _restart(self, role: str, ip: str) -> None:
        self._started_at[ip] = time.monotonic()
        self._platform.start(role, ip, is_first=False)

    def _kill_node(self, source: random.Random) -> None:
        with self._take_node(source) as ip, self._record("kill", ip):
            if ip:
                self._platform.programs[ip].kill()
                time.sleep(source.uniform(0.1, 1.5))
                self._restart("node", ip)

    def _stop_node(self, source: random.Random) -> None:
        with (
            self._take_node(source) as ip,
            self._record(soak_verdicts.PLANNED, ip),
        ):
            if ip:
                self._terminate(ip)
                time.sleep(source.uniform(0.1, 1.0))
                self._restart("node", ip)

    def _pause_node(self, source: random.Random) -> None:
        with self._take_node(source) as ip, self._record("pause", ip):
            if ip:
                pid = self._platform.programs[ip].pid
                os.kill(pid, signal.SIGSTOP)
                time.sleep(source.uniform(0.3, 4.0))
                os.kill(pid, signal.SIGCONT)

    def _terminate(self, ip: str) -> None:
        """Sends SIGTERM, and SIGKILL at the end of the grace period."""
        program = self._platform.programs[ip]
        stopped_at = time.monotonic()
        program.terminate()
        try:
            status = program.wait(soak_verdicts.GRACE_S)
        except subprocess.TimeoutExpired:
            program.kill()
            self._note(f"{ip} was killed at the end of its grace period")
            return
        is_starting = stopped_at - self._started_at.get(ip, 0.0) < STARTING_S
        if status == -signal.SIGTERM and is_starting:
            return
        if status not in EXPECTED_EXITS:
            self.findings.append(f"{ip} ended with {status} after SIGTERM")

    def _disturb_control(self, source: random.Random) -> None:
        """Kills, stops or empties one control VM; at most one at a time."""
        with self._control_lock:
            ip = source.choice(self._platform.controls)
            kind = source.choice(
                ("kill", soak_verdicts.PLANNED, "wipe", "wipe")
            )
            with self._record(f"control-{kind}", ip):
                if kind == soak_verdicts.PLANNED:
                    self._terminate(ip)
                else:
                    self._platform.programs[ip].kill()
                if kind == "wipe":
                    shutil.rmtree(self._folder / f"data-{ip}")
                time.sleep(source.uniform(0.05, 1.0))
                self._restart("control", ip)
            time.sleep(CATCH_UP_S)

    def _replace_control(self, source: random.Random) -> None:
        """Adds a control VM, then stops another one for good."""
        with self._control_lock:
            old = source.choice(self._platform.controls)
            new = self._platform.make_control_address()
            with self._record("replace", old):
                self._restart("control", new)
                time.sleep(CATCH_UP_S + 1.0)
                self._terminate(old)
                self._platform.controls.remove(old)
                self._platform.controls.append(new)
            # The successor has had its time: another loss may follow at once.

    def _kill_controls(self, source: random.Random) -> None:
        """Kills all control VMs at once; their disks stay."""
        with self._control_lock, self._record("all", "controls"):
            for ip in self._platform.controls:
                self._platform.programs[ip].kill()
            time.sleep(source.uniform(0.1, 0.8))
            for ip in self._platform.controls:
                self._restart("control", ip)
            time.sleep(CATCH_UP_S)

    def _wait_until_served(self, limit_s: float, what: str) -> None:
        ends_at = time.monotonic() + limit_s
        waiting = list(self._platform.nodes)
        while waiting and time.monotonic() < ends_at:
            waiting = [ip for ip in waiting if not self._is_served(ip)]
            time.sleep(0.05)
        if waiting:
            self.findings.append(f"RECOVER: {waiting} not serving after {what}")

    def _is_served(self, ip: str) -> bool:
        try:
            reply = platform_lib.ask(self._platform.get_outbound(ip), "probe")
        except (OSError, http.client.HTTPException):
            return False
        return self._platform.is_ready(ip) and reply.status == soak_load.OK

    def _note(self, text: str) -> None:
        print(f"  note: {text}", flush=True)


def main() -> None:
    """Plays runs and prints what they found; exits with 1 on a finding."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    has_findings = False
    for seed in range(options.seed, options.seed + options.runs):
        with Soak(seed, options.seconds) as soak:
            soak.run()
            print(soak.describe(seed), flush=True)
            for finding in soak.findings:
                print(f"  {finding}", flush=True)
            has_findings |= bool(soak.findings)
    sys.exit(has_findings)


if __name__ == "__main__":
    main()
