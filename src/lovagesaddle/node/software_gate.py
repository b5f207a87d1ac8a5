"""Lets servers of allowed versions run requests and reports their answers."""

from collections.abc import Callable
import threading
import time
from typing import Self

from lovagesaddle import clocks
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence as evidence_lib
from lovagesaddle.core.rollouts import owner_counts
from lovagesaddle.http import hop
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib

# A bad version is found within a few reports; each takes some hundred bytes.
REPORT_INTERVAL_S = 0.4
# Part of the bound on a roll-back for which a node that hears nothing goes on;
# the rest is for the leader's decision.
LEASE_SHARE = 0.6
FIRST_FAILURE_STATUS = 500
STOP_TIMEOUT_S = 2.0
Reports = tuple[evidence_lib.Evidence, ...]
_log = logs.get_logger("rollouts")
_FAILED_OUTCOMES = frozenset({hop.RunOutcome.CRASHED, hop.RunOutcome.BROKEN})
_UNSENT_OUTCOMES = frozenset({hop.RunOutcome.REFUSED, hop.RunOutcome.SHED})


class SoftwareGate:
    """Shares `owner_counts.OwnerCounts` between the threads of an owner.

    It is a context manager, which runs the thread that reports.

    Args:
      rollback_s: Time within which every node has to stop sending to a bad
        version, in seconds; 0 if versions are not rolled out.
      read_age: Returns the proved age of the table, in seconds.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        rollback_s: float,
        read_age: Callable[[], float | None],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._is_enabled = rollback_s > 0
        self._read_age = read_age
        self._counts = owner_counts.OwnerCounts(rollback_s * LEASE_SHARE)
        self._barred = metrics.get_counter(
            "version_refusals_total",
            "Requests refused since a server's version may not run them",
        )
        self._lock = threading.Lock()
        self._send: Callable[[Reports], None] = _drop
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="rollout-reports", daemon=True
        )

    def __enter__(self) -> Self:
        if self._is_enabled:
            self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)

    def connect(self, send: Callable[[Reports], None]) -> None:
        """Sets what sends reports to the leader."""
        self._send = send

    def install(self, snapshot: snapshots.Snapshot) -> None:
        """Puts the roll-outs of a snapshot in force."""
        if not self._is_enabled:
            return
        with self._lock:
            self._counts.install(
                snapshot.rollouts or (), snapshot.version, clocks.read_uptime()
            )
            is_reporting = self._counts.is_reporting
        if is_reporting:
            self._wake.set()

    def add_server(self, server: snapshots.BackendServer) -> None:
        """Adds a local server or its new incarnation."""
        with self._lock:
            self._counts.add_server(server)
        self._wake.set()

    def remove_server(self, server_id: str) -> None:
        """Removes a local server."""
        with self._lock:
            self._counts.remove_server(server_id)

    def enter(self, server: snapshots.BackendServer) -> bool:
        """Returns whether a request may be accepted for a server.

        If so, the caller calls `leave` once it has ended.
        """
        if not self._is_enabled:
            return True
        age_s = self._read_age()
        with self._lock:
            is_allowed = self._counts.enter(server, age_s)
        if not is_allowed:
            self._barred.add()
        return is_allowed

    def leave(self, server: snapshots.BackendServer) -> None:
        """Records that a request that entered has ended."""
        if self._is_enabled:
            with self._lock:
                self._counts.leave(server)

    def may_send(self, server: snapshots.BackendServer) -> bool:
        """Returns whether a request that has waited may still be sent."""
        if not self._is_enabled:
            return True
        age_s = self._read_age()
        with self._lock:
            is_allowed = self._counts.may_run(server, age_s)
            if is_allowed:
                self._counts.count_sent(server)
        if not is_allowed:
            self._barred.add()
        return is_allowed

    def count_answer(
        self,
        server: snapshots.BackendServer,
        route: str,
        sent_at: float,
        answer: hop.RunAnswer,
    ) -> None:
        """Counts an answer; one that states that nothing ran tells nothing."""
        if not self._is_enabled or answer.outcome in _UNSENT_OUTCOMES:
            return
        failed = (
            answer.outcome in _FAILED_OUTCOMES
            or answer.status >= FIRST_FAILURE_STATUS
        )
        run_s = time.monotonic() - sent_at
        with self._lock:
            self._counts.count_answer(server, route, run_s, failed=failed)

    def _run(self) -> None:
        while not self._stopping:
            with self._lock:
                reports = self._counts.make_reports(clocks.read_uptime())
            if not reports:
                self._wake.wait()
                self._wake.clear()
                continue
            try:
                self._send(reports)
            except Exception as error:
                _log.error("report_failed", cause=repr(error))
            self._wake.clear()
            self._wake.wait(REPORT_INTERVAL_S)


def _drop(reports: Reports) -> None:
    del reports
