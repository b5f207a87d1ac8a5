"""Waits for the slots of attempts at the owner of their server."""

import time

from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner_answers
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics

MS_PER_S = 1000
_log = logs.get_logger("owner")


class AttemptAdmitter:
    """Asks the admission of a server, and the quarantine before and after.

    Args:
      shared_quarantine: Quarantine of requests that crash servers.
    """

    def __init__(
        self, shared_quarantine: shared_quarantine_lib.SharedQuarantine
    ) -> None:
        self._shared_quarantine = shared_quarantine
        self._expected_late = metrics.Counter()

    @property
    def expected_late(self) -> int:
        """Attempts handed back since they would have missed their target."""
        return self._expected_late.value

    def admit(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
    ) -> quarantine.RunningRequest | hop.RunAnswer:
        """Waits for a slot; returns the admitted request or a refusal."""
        classification = self._classify(request)
        if classification is quarantine.Verdict.REFUSED:
            return owner_answers.make_refusal(request, hop.QUARANTINED, owned)
        suspect = classification is quarantine.Verdict.SUSPECT
        arrived = admission_events.Arrived(
            request_id=request.attempt_id,
            priority=request.priority,
            deadline=guard.deadline,
            kind=request.route,
            target=_compute_target_time(request, time.monotonic()),
            suspect=suspect,
            has_reservation=bool(request.offset),
            may_move=request.may_move is True,
            account=request.account or "",
            account_rank=request.account_rank or 0,
        )
        decision = owned.admit(arrived, guard)
        if isinstance(decision, admission_events.Refused):
            late = admission_events.RefusalReason.EXPECTED_LATE
            if decision.reason is late:
                self._expected_late.add()
            if logs.allows_request_line(failed=True):
                _log.info(
                    "refused",
                    attempt=request.attempt_id,
                    server=request.server_id,
                    reason=decision.reason.value,
                    running=owned.admission.running,
                    waiting=owned.admission.waiting,
                    rate_limit=owned.admission.rate_limit,
                    slowdown=owned.admission.stated_slowdown,
                )
            return owner_answers.make_refusal(
                request, decision.reason.value, owned, decision.retry_after_s
            )
        if self._classify(request) is quarantine.Verdict.REFUSED:
            # The request was quarantined while it waited, because of crash
            # marks from other nodes or another crash on this node.
            owned.step(
                admission_events.Cancelled(request_id=request.attempt_id)
            )
            return owner_answers.make_refusal(request, hop.QUARANTINED, owned)
        return quarantine.RunningRequest(
            fingerprint=request.fingerprint, suspected=suspect
        )

    def _classify(self, request: hop.RunRequest) -> quarantine.Verdict:
        return self._shared_quarantine.classify(
            request.fingerprint, hinted=request.suspect
        )


def _compute_target_time(request: hop.RunRequest, now: float) -> float | None:
    if request.target_ms is None:
        return None
    return now + request.target_ms / MS_PER_S
