"""Owner side of a node: admits attempts and runs them on the local server."""

import collections
from collections.abc import Callable
import dataclasses
import threading
import time

from returns import result

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import limits
from lovagesaddle.core.routing import queues
from lovagesaddle.http import client
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.observability import logs

SEEN_ATTEMPTS = 65_536
REFUSED_UNKNOWN = "server-unknown"
SHEDDING_STATUSES = frozenset({429, 503})
_OUTCOMES = {
    client.FailureKind.CLOSED: hop.RunOutcome.CRASHED,
    client.FailureKind.TRUNCATED: hop.RunOutcome.BROKEN,
    client.FailureKind.MALFORMED: hop.RunOutcome.BROKEN,
    client.FailureKind.TOO_LARGE: hop.RunOutcome.BROKEN,
    client.FailureKind.TIMEOUT: hop.RunOutcome.TIMEOUT,
    client.FailureKind.CANCELLED: hop.RunOutcome.CANCELLED,
}
_log = logs.get_logger("owner")

LimitFactory = Callable[[int], limits.LimitPolicy]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerOptions:
    """Policies of an owner.

    Attributes:
      make_limit: Makes the limit of a server from its slots.
      order: Order of the queue.
      queue_share: Length of the queue, in shares of the limit.
    """

    make_limit: LimitFactory = limits.FixedLimit
    order: queues.QueueOrder = dataclasses.field(
        default_factory=queues.DeadlineOrder
    )
    queue_share: float = admission.QUEUE_SHARE


class _Waiter:
    """Holds the verdict on one attempt."""

    __slots__ = ("action", "decided")

    def __init__(self) -> None:
        self.action: admission.Admitted | admission.Refused | None = None
        self.decided: threading.Event | None = None

    def decide(self, action: admission.Admitted | admission.Refused) -> None:
        """Sets the verdict and wakes the thread that waits for it."""
        self.action = action
        if self.decided is not None:
            self.decided.set()


class _Slots:
    """One local server's admission, shared by the owner's threads."""

    def __init__(
        self,
        server: snapshots.BackendServer,
        address: str,
        options: OwnerOptions,
    ) -> None:
        self.server = server
        self.address = address
        self.admission = admission.Admission(
            limit=options.make_limit(server.slots),
            order=options.order,
            queue_share=options.queue_share,
        )
        self.lock = threading.Lock()
        self.idle = threading.Condition(self.lock)
        self.down = False
        self.draining = False
        self._waiters: dict[str, _Waiter] = {}

    def step(self, event: admission.Event) -> None:
        """Hands an event to the admission and its verdicts to the waiters."""
        with self.lock:
            self._step(event)

    def admit(
        self, event: admission.Arrived, guard: watchdog.Guard
    ) -> admission.Admitted | admission.Refused:
        """Waits for the verdict on an attempt."""
        waiter = _Waiter()
        with self.lock:
            if event.request_id in self._waiters:
                return _refuse(event, admission.RefusalReason.DUPLICATE)
            self._waiters[event.request_id] = waiter
            self._step(event)
            if waiter.action is not None:
                return waiter.action
            waiter.decided = threading.Event()
        with guard.ending(waiter.decided.set):
            waiter.decided.wait(guard.remaining_s)
        with self.lock:
            if waiter.action is not None:
                return waiter.action
            self._waiters.pop(event.request_id, None)
            self._step(admission.Cancelled(request_id=event.request_id))
        reason = admission.RefusalReason.DEADLINE
        if guard.reason is watchdog.EndReason.CANCELLED:
            reason = admission.RefusalReason.CANCELLED
        return _refuse(event, reason)

    def wait_until_idle(self, deadline: float) -> bool:
        """Waits until nothing runs or waits; False at the deadline."""
        with self.idle:
            return self.idle.wait_for(
                self._is_idle, max(0.0, deadline - time.monotonic())
            )

    def _is_idle(self) -> bool:
        return not (self.admission.running or self.admission.waiting)

    def _step(self, event: admission.Event) -> None:
        for action in self.admission.step(event, time.monotonic()):
            if isinstance(action, admission.Drained):
                continue
            waiter = self._waiters.pop(action.request_id, None)
            if waiter is not None:
                waiter.decide(action)
        if self._is_idle():
            self.idle.notify_all()


class Owner:
    """Runs attempts on the local servers.

    Args:
      pool: Connections to the servers.
      options: Policies.
    """

    def __init__(
        self, *, pool: client.Pool, options: OwnerOptions | None = None
    ) -> None:
        self._pool = pool
        self._options = options or OwnerOptions()
        self._slots: dict[str, _Slots] = {}
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._seen_lock = threading.Lock()

    def open(self, server: snapshots.BackendServer, address: str) -> None:
        """Admits work to a server from now on."""
        self._slots[server.server_id] = _Slots(server, address, self._options)
        _log.info(
            "server_opened",
            server=server.server_id,
            incarnation=server.incarnation,
            slots=server.slots,
            address=address,
        )

    def close(self, server_id: str, reason: str) -> None:
        """Refuses everything for a server that is gone."""
        slots = self._slots.pop(server_id, None)
        if slots is not None:
            slots.step(admission.ServerDown())
        _log.info("server_closed", server=server_id, reason=reason)

    def drain(self, server_id: str) -> None:
        """Refuses new work for a server; what it holds is finished."""
        slots = self._slots.get(server_id)
        if slots is not None:
            slots.draining = True
            slots.step(admission.Drain())
            _log.info("server_draining", server=server_id)

    def mark_down(self, server_id: str) -> None:
        """Refuses work for a server that can't be connected to."""
        slots = self._slots.get(server_id)
        if slots is not None and not slots.down:
            slots.down = True
            slots.step(admission.ServerDown())
            _log.warning("server_down", server=server_id)

    def revive(self, server_id: str) -> None:
        """Admits work again to a server that can be connected to."""
        slots = self._slots.get(server_id)
        if slots is not None and slots.down and not slots.draining:
            slots.down = False
            slots.step(admission.ServerUp(slots=slots.server.slots))
            _log.info("server_up", server=server_id)

    def wait_until_idle(self, deadline: float) -> bool:
        """Waits until no server runs anything; False at the deadline."""
        return all(
            slots.wait_until_idle(deadline)
            for slots in tuple(self._slots.values())
        )

    def run(
        self, request: hop.RunRequest, guard: watchdog.Guard
    ) -> hop.RunAnswer:
        """Admits and runs one attempt, or refuses it.

        Args:
          request: The attempt.
          guard: Ends the attempt at its deadline or when the entry hung up.
        """
        slots = self._slots.get(request.server_id)
        if slots is None:
            return _refuse_run(request, REFUSED_UNKNOWN, 0.0, None)
        if not self._claim(request.attempt_id):
            reason = admission.RefusalReason.DUPLICATE.value
            return _refuse_run(request, reason, 0.0, slots)
        arrived = admission.Arrived(
            request_id=request.attempt_id,
            priority=request.priority,
            deadline=guard.deadline,
        )
        verdict = slots.admit(arrived, guard)
        if isinstance(verdict, admission.Refused):
            _log.info(
                "refused",
                attempt=request.attempt_id,
                server=request.server_id,
                reason=verdict.reason.value,
            )
            return _refuse_run(
                request, verdict.reason.value, verdict.retry_after_s, slots
            )
        return self._hand_over(request, slots, guard)

    def _hand_over(
        self, request: hop.RunRequest, slots: _Slots, guard: watchdog.Guard
    ) -> hop.RunAnswer:
        failed = True
        try:
            outcome = self._pool.exchange(
                slots.address, _format_request(request), guard
            )
            answer = self._describe(request, outcome, slots, guard)
            failed = _has_failed(answer)
        finally:
            slots.step(
                admission.Ended(request_id=request.attempt_id, failed=failed)
            )
        return answer

    def _describe(
        self,
        request: hop.RunRequest,
        outcome: client.ExchangeResult,
        slots: _Slots,
        guard: watchdog.Guard,
    ) -> hop.RunAnswer:
        match outcome:
            case result.Success(reply):
                return hop.RunAnswer(
                    attempt_id=request.attempt_id,
                    outcome=hop.RunOutcome.ANSWERED,
                    status=reply.status,
                    headers=headers_lib.filter_answer(
                        reply.headers, bodyless=request.method == "HEAD"
                    ),
                    body=reply.body,
                    load=slots.admission.report(),
                )
            case result.Failure(error):
                return self._describe_failure(request, error, slots, guard)
        raise AssertionError("unreachable")

    def _describe_failure(
        self,
        request: hop.RunRequest,
        error: client.ExchangeError,
        slots: _Slots,
        guard: watchdog.Guard,
    ) -> hop.RunAnswer:
        _log.warning(
            "run_failed",
            attempt=request.attempt_id,
            server=request.server_id,
            step=error.step,
            kind=error.kind.value,
            cause=error.cause,
        )
        if error.kind is client.FailureKind.NOT_SENT:
            if guard.remaining_s:
                self.mark_down(request.server_id)
            reason = admission.RefusalReason.SERVER_DOWN.value
            return _refuse_run(request, reason, 0.0, slots)
        return hop.RunAnswer(
            attempt_id=request.attempt_id,
            outcome=_OUTCOMES[error.kind],
            cause=error.kind.value,
            load=slots.admission.report(),
        )

    def _claim(self, attempt_id: str) -> bool:
        """Returns whether this is the first time an attempt is seen."""
        with self._seen_lock:
            if attempt_id in self._seen:
                return False
            self._seen[attempt_id] = None
            if len(self._seen) > SEEN_ATTEMPTS:
                self._seen.popitem(last=False)
            return True


def _format_request(request: hop.RunRequest) -> client.Request:
    return client.Request(
        method=request.method,
        target=request.target,
        headers=dict(request.headers),
        body=request.body,
    )


def _has_failed(answer: hop.RunAnswer) -> bool:
    if answer.outcome is not hop.RunOutcome.ANSWERED:
        return True
    return answer.status in SHEDDING_STATUSES


def _refuse(
    event: admission.Arrived, reason: admission.RefusalReason
) -> admission.Refused:
    return admission.Refused(
        request_id=event.request_id, reason=reason, retry_after_s=0.0
    )


def _refuse_run(
    request: hop.RunRequest,
    reason: str,
    retry_after_s: float,
    slots: _Slots | None,
) -> hop.RunAnswer:
    return hop.RunAnswer(
        attempt_id=request.attempt_id,
        outcome=hop.RunOutcome.REFUSED,
        cause=reason,
        retry_after_s=retry_after_s,
        load=slots.admission.report() if slots is not None else None,
    )
