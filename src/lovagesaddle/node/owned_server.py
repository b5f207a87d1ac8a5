"""The slots of one local backend server, shared by the owner's threads."""

from collections.abc import Callable
import dataclasses
import threading
import time

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import queues
from lovagesaddle.http import watchdog
from lovagesaddle.node import body_receiver as body_receiver_lib

LimitFactory = Callable[[int], concurrency_limits.LimitPolicy]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerOptions:
    """Policies of an owner.

    Attributes:
      make_limit: Makes the limit of a server from its slots.
      order: Order of the queue.
      queue_share: Length of the queue, in shares of the limit.
    """

    make_limit: LimitFactory = concurrency_limits.FixedLimit
    order: queues.QueueOrder = dataclasses.field(
        default_factory=queues.FairShareOrder
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


class OwnedServer:
    """One life of a local server: its admission and what it runs.

    Args:
      server: The server.
      address: `ip:port` where it answers HTTP.
      options: Policies.
      instance: The server's own name for itself; empty when it has none.
      body_receiver: Receives large bodies in parts; None to expect whole ones.
    """

    def __init__(
        self,
        server: snapshots.BackendServer,
        address: str,
        options: OwnerOptions,
        instance: str = "",
        body_receiver: body_receiver_lib.BodyReceiver | None = None,
    ) -> None:
        self._body_receiver = body_receiver
        self.server = server
        self.address = address
        self.instance = instance
        self.admission = admission.Admission(
            limit=options.make_limit(server.slots),
            order=options.order,
            queue_share=options.queue_share,
        )
        self.lock = threading.Lock()
        self.down = False
        self.draining = False
        self.crashed = False
        self._running: dict[str, quarantine.RunningRequest] = {}
        self._waiters: dict[str, _Waiter] = {}

    def report(self) -> load_reports.LoadReport:
        """Returns what goes with each answer to an entry."""
        report = self.admission.report()
        wait_s = (
            0.0 if self._body_receiver is None else self._body_receiver.wait_s
        )
        if not wait_s:
            return report
        return dataclasses.replace(report, link_wait_s=wait_s)

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

    def start(
        self, attempt_id: str, running: quarantine.RunningRequest
    ) -> None:
        """Notes what is handed over."""
        with self.lock:
            self._running[attempt_id] = running

    def finish(self, attempt_id: str, *, failed: bool) -> None:
        """Frees the slot of a run."""
        with self.lock:
            self._running.pop(attempt_id, None)
            self._step(admission.Ended(request_id=attempt_id, failed=failed))

    def mark_crashed(self) -> tuple[quarantine.RunningRequest, ...] | None:
        """Ends the life of a server that died.

        Returns:
          What it ran, for the first thread that notices; None for the others.
        """
        with self.lock:
            if self.crashed:
                return None
            self.crashed = True
            return tuple(self._running.values())

    def is_idle(self) -> bool:
        """Returns whether nothing runs or waits."""
        return not (self.admission.running or self.admission.waiting)

    def _step(self, event: admission.Event) -> None:
        for action in self.admission.step(event, time.monotonic()):
            if isinstance(action, admission.Drained):
                continue
            waiter = self._waiters.pop(action.request_id, None)
            if waiter is not None:
                waiter.decide(action)


def _refuse(
    event: admission.Arrived, reason: admission.RefusalReason
) -> admission.Refused:
    return admission.Refused(
        request_id=event.request_id, reason=reason, retry_after_s=0.0
    )
