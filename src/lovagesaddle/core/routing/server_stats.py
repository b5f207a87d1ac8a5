"""What an entry knows about the load and the faults of one backend server."""

import dataclasses

from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import table

REPORT_FADE_S = 1.0
LATENCY_FADE_S = 10.0
SLOW_START_S = 5.0
SLOW_START_SHARE = 0.1
MIN_LATENCY_S = 0.001
ROOM_SHARE = 0.8
# A quarter of the slots as a queue is a short wait beside the run itself.
LARGE_BODY_ROOM_SHARE = 1.25
# A wait without an answer says something of the server only where it is longer
# than so many of its runs; callers also leave for reasons of their own.
NO_ANSWER_RUNS = 2.0
# Bodies that wait at a link are gone from there about as long after.
LINK_WAIT_FADE_S = 2.0
# A body that would wait longer for its turn goes to another failure domain.
# Its bytes are dear there, so it goes only if it would else come late: targets
# of uploads (2.0 to 2.2 s) leave about so much beside the way and the run.
MAX_LINK_WAIT_S = 1.0

FAILURES_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
DRAINING_S = 30.0
MAX_TRIALS = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerStats:
    """Mutable record of one incarnation of a backend server.

    Attributes:
      incarnation: Life of the server that the record is about.
      slots: Its slots by the table.
      seen_at: When this entry first saw it, in seconds.
      warm: Whether it was there when the entry started, or is known to have
        run for a while.
      outstanding: Requests this entry has there now.
      report: Newest report of its owner.
      reported_at: When that report arrived.
      outstanding_at_report: `outstanding` when the report arrived.
      failures: Failures in a row.
      ejections: Ejections in a row.
      ejected_at: When the current ejection began.
      ejected_until: When it ends; 0 when the server is not ejected.
      draining_until: Until when a refusal as draining is believed.
      hinted_unhealthy: Whether its health endpoint says it is not well.
      unanswered_s: How long a call waited in vain for an answer, in seconds.
      unanswered_at: When that call was given up.
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

    def record_report(
        self, report: load_reports.LoadReport, now: float
    ) -> None:
        """Keeps the newest report of the owner."""
        self.report = report
        self.reported_at = now
        self.outstanding_at_report = self.outstanding
        if report.draining:
            self.draining_until = now + DRAINING_S

    def record_failure(self, now: float) -> None:
        """Counts a failure; enough of them in a row eject the server."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT or self.ejections:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Passes the server over for a time, longer with each time in a row."""
        length_s = min(EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejected_at = now
        self.ejected_until = now + length_s
        self.ejections = min(self.ejections + 1, 16)

    def record_no_answer(self, waited_s: float, now: float) -> None:
        """Takes a call that was given up without an answer.

        It reports nothing and holds no place any more, so a server that
        answers nobody would else look idle, and draw ever more calls.
        """
        run_s = 0.0 if self.report is None else self.report.latency_s
        if waited_s > NO_ANSWER_RUNS * run_s:
            self.unanswered_s = max(
                waited_s, self._estimate_unanswered_wait(now)
            )
            self.unanswered_at = now

    def record_success(self) -> None:
        """Forgets failures, ejections and hints: the server answered."""
        self.unanswered_s /= 2
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.hinted_unhealthy = False

    def is_ejected(self, now: float) -> bool:
        """Returns whether an ejection holds, or its one trial is running."""
        if now < self.ejected_until:
            return True
        return bool(self.ejections) and self.outstanding >= MAX_TRIALS

    def estimate_load(self, now: float) -> float:
        """Returns the requests expected at the server, of every entry."""
        if self.report is None:
            return float(self.outstanding)
        total = self.report.running + self.report.queued
        others = max(0, total - self.outstanding_at_report)
        freshness = max(0.0, 1 - (now - self.reported_at) / REPORT_FADE_S)
        return self.outstanding + others * freshness

    def estimate_limit(self, now: float) -> float:
        """Returns the requests to send at a time; less while it is cold."""
        limit = self.slots
        if self.report is not None:
            limit = min(limit, self.report.limit)
        return max(1, limit) * self._compute_warm_share(now)

    def estimate_cost(self, now: float) -> float:
        """Returns the expected time of one more request, in seconds."""
        latency_s = 0.0
        if self.report is not None:
            age_s = now - self.reported_at
            freshness = max(0.0, 1 - age_s / LATENCY_FADE_S)
            latency_s = self.report.latency_s * freshness
        queue = (self.estimate_load(now) + 1) / self.estimate_limit(now)
        cost_s = queue * max(latency_s, MIN_LATENCY_S)
        return max(cost_s, self._estimate_unanswered_wait(now))

    def _estimate_unanswered_wait(self, now: float) -> float:
        age_share = (now - self.unanswered_at) / LATENCY_FADE_S
        return self.unanswered_s * max(0.0, 1 - age_share)

    def estimate_link_wait(self, now: float) -> float:
        """Returns how long a large body would wait for its turn, in seconds."""
        if self.report is None:
            return 0.0
        age_s = now - self.reported_at
        return self.report.link_wait_s * max(0.0, 1 - age_s / LINK_WAIT_FADE_S)

    def has_link_room(self, now: float) -> bool:
        """Returns whether a large body would have its turn soon."""
        return self.estimate_link_wait(now) < MAX_LINK_WAIT_S

    def has_room(self, now: float, share: float | None = None) -> bool:
        """Returns whether one more request would find room.

        Args:
          now: Monotonic time in seconds.
          share: Of the server's slots that may be in use; above 1 for
            requests that had better wait there than go far.
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
    """Returns the record of a server that this entry sees first."""
    return ServerStats(
        incarnation=candidate.incarnation,
        slots=candidate.slots,
        seen_at=now,
        warm=warm,
    )
