"""Load, failures and ejections of a server, as an entry node sees them."""

import dataclasses

from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import table

# The weight of a reported value falls linearly to 0 over its ..._FADE_S.
REPORT_FADE_S = 1.0
LATENCY_FADE_S = 10.0
# Time over which the share of requests for a new server grows to 1.
SLOW_START_S = 5.0
SLOW_START_SHARE = 0.1
MIN_LATENCY_S = 0.001
# Share of the slots in use above which a server counts as full.
ROOM_SHARE = 0.8
# The same share for requests with large bodies, which may queue: the wait in a
# queue of a quarter of the slots is short compared to a run.
LARGE_BODY_ROOM_SHARE = 1.25
# A call that was given up without an answer counts against the server only if
# it waited longer than this number of mean run times: callers also disconnect
# for reasons that have nothing to do with the server.
NO_ANSWER_RUNS = 2.0
# Bodies that wait for a link have left the queue of that link after about this
# time, so a reported wait no longer holds.
LINK_WAIT_FADE_S = 2.0
# A large body that would wait longer for the link goes to another failure
# domain. Traffic between domains is expensive, so the body leaves its domain
# only if it would otherwise be late: the latency targets of uploads (2.0 to 2.2
# s) leave about 1 s for the wait, beside the transfer and the run.
MAX_LINK_WAIT_S = 1.0

FAILURES_TO_EJECT = 3
# Duration of the first ejection; it doubles with each consecutive one.
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# Time for which a server that was reported as draining isn't picked.
DRAINING_S = 30.0
# Requests at a time that probe a server after its ejection.
MAX_TRIALS = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerStats:
    """Mutable statistics of one incarnation of a backend server.

    All times ..._at and ..._until are monotonic, in seconds.

    Attributes:
      incarnation: Incarnation of the server.
      slots: Number of its slots in the routing table.
      seen_at: When this entry node first saw the server.
      warm: Whether the server was there when the entry node started, or is
        known to have run for a while.
      outstanding: Requests that this entry node has at the server now.
      report: Newest load report of its owner.
      reported_at: When that report arrived.
      outstanding_at_report: `outstanding` when the report arrived.
      failures: Consecutive failures.
      ejections: Consecutive ejections.
      ejected_at: When the current ejection began.
      ejected_until: When the current ejection ends; 0 when the server is not
        ejected.
      draining_until: Until when the server counts as draining.
      hinted_unhealthy: Whether its health endpoint reports it as unhealthy.
      unanswered_s: How long a call waited without an answer, in seconds; each
        answer halves it.
      unanswered_at: When that call was given up.
      others_at_report: Requests of other entries in the newest report.
      slowness: Its usual run times relative to those of the servers that this
        entry node uses; 0 when unknown.
      tells_slowdown: Whether its reports tell how much slower it is now.
    """

    incarnation: int
    slots: int
    seen_at: float
    warm: bool
    outstanding: int = 0
    report: load_reports.LoadReport | None = None
    reported_at: float = 0.0
    outstanding_at_report: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    hinted_unhealthy: bool = False
    unanswered_s: float = 0.0
    unanswered_at: float = 0.0
    others_at_report: int = 0
    slowness: float = 0.0
    tells_slowdown: bool = False

    def record_report(
        self, report: load_reports.LoadReport, now: float
    ) -> None:
        """Records the newest load report of the owner."""
        self.report = report
        self.reported_at = now
        self.outstanding_at_report = self.outstanding
        if report.draining:
            self.draining_until = now + DRAINING_S

    def record_failure(self, now: float) -> None:
        """Records a failure; ejects the server after several in a row."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT or self.ejections:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Ejects the server, twice as long with each consecutive ejection."""
        duration_s = min(EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejected_at = now
        self.ejected_until = now + duration_s
        self.ejections = min(self.ejections + 1, 16)

    def record_no_answer(self, waited_s: float, now: float) -> None:
        """Records a call that was given up without an answer.

        Such a call brings no load report and is no longer outstanding. If it
        weren't recorded, a server that answers no call would look idle and
        attract ever more calls.

        Args:
          waited_s: Time that the call waited, in seconds.
          now: Monotonic time in seconds.
        """
        run_s = 0.0 if self.report is None else self.report.latency_s
        if waited_s > NO_ANSWER_RUNS * run_s:
            self.unanswered_s = max(
                waited_s, self.estimate_unanswered_wait(now)
            )
            self.unanswered_at = now

    def record_success(self) -> None:
        """Records an answer: resets failures, ejections and health hints."""
        self.unanswered_s /= 2
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.hinted_unhealthy = False

    def is_ejected(self, now: float) -> bool:
        """Returns whether the server is ejected, or its trial is running."""
        if now < self.ejected_until:
            return True
        return bool(self.ejections) and self.outstanding >= MAX_TRIALS

    def estimate_load(self, now: float) -> float:
        """Returns the estimated number of requests there, of all entries."""
        if self.report is None:
            return float(self.outstanding)
        total = self.report.running + self.report.queued
        others = max(0, total - self.outstanding_at_report)
        freshness = max(0.0, 1 - (now - self.reported_at) / REPORT_FADE_S)
        return self.outstanding + others * freshness

    def estimate_limit(self, now: float) -> float:
        """Returns the requests to send at a time; fewer while it is cold."""
        limit = self.slots
        if self.report is not None:
            limit = min(limit, self.report.limit)
        return max(1, limit) * self._compute_warm_share(now)

    def estimate_cost(self, now: float) -> float:
        """Returns the expected latency of one more request, in seconds."""
        latency_s = 0.0
        if self.report is not None:
            age_s = now - self.reported_at
            freshness = max(0.0, 1 - age_s / LATENCY_FADE_S)
            latency_s = self.report.latency_s * freshness
        queue = (self.estimate_load(now) + 1) / self.estimate_limit(now)
        cost_s = queue * max(latency_s, MIN_LATENCY_S)
        wait_s = self.estimate_start_wait(now)
        return max(cost_s, self.estimate_unanswered_wait(now)) + wait_s

    def estimate_unanswered_wait(self, now: float) -> float:
        """Returns how long calls wait there without an answer, in seconds."""
        age_share = (now - self.unanswered_at) / LATENCY_FADE_S
        return self.unanswered_s * max(0.0, 1 - age_share)

    def estimate_start_wait(self, now: float) -> float:
        """Returns how long the stated rate allows no request, in seconds."""
        if self.report is None:
            return 0.0
        return max(0.0, self.reported_at + self.report.start_wait_s - now)

    def estimate_link_wait(self, now: float) -> float:
        """Returns how long a large body would wait for the link, in seconds."""
        if self.report is None:
            return 0.0
        age_s = now - self.reported_at
        return self.report.link_wait_s * max(0.0, 1 - age_s / LINK_WAIT_FADE_S)

    def has_link_room(self, now: float) -> bool:
        """Returns whether a large body would wait only briefly for the link."""
        return self.estimate_link_wait(now) < MAX_LINK_WAIT_S

    def has_room(self, now: float, share: float | None = None) -> bool:
        """Returns whether the server has room for one more request.

        Args:
          now: Monotonic time in seconds.
          share: Share of the server's slots that may be in use, ROOM_SHARE by
            default; above 1 for requests that should rather queue there than
            go to another failure domain.
        """
        limit = self.estimate_limit(now)
        room = limit * (ROOM_SHARE if share is None else share)
        return self.estimate_load(now) + 1 <= max(1.0, room)

    def _compute_warm_share(self, now: float) -> float:
        if self.warm:
            return 1.0
        age_share = (now - self.seen_at) / SLOW_START_S
        return min(1.0, max(SLOW_START_SHARE, age_share))


def create_stats(
    candidate: table.Candidate, now: float, *, warm: bool
) -> ServerStats:
    """Returns the statistics of a server that this entry node hasn't seen."""
    return ServerStats(
        incarnation=candidate.incarnation,
        slots=candidate.slots,
        seen_at=now,
        warm=warm,
    )
