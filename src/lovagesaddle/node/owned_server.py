"""State of one local backend server, shared by the threads of its owner."""

from collections.abc import Callable
import dataclasses
import threading
import time

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import known_statements
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import server_load
from lovagesaddle.core.routing import server_statements
from lovagesaddle.http import watchdog
from lovagesaddle.node import answer_turns as answer_turns_lib
from lovagesaddle.node import body_receiver as body_receiver_lib
from lovagesaddle.observability import logs

MAX_LOGGED_CHARS = 64
USUAL_SLOWDOWN = 1.0
_log = logs.get_logger("owner")

LimitFactory = Callable[[int], concurrency_limits.LimitPolicy]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerOptions:
    """Policies of an owner.

    Attributes:
      make_limit: Creates the concurrency limit of a server from its slots.
      order: Order of the queue.
      queue_share: Length of the queue as a share of the concurrency limit.
      assumes_usual_speed: Whether a server that tells its load without its
        slowdown counts as telling that it works as usual, so that entries
        place requests by expected time there too.
    """

    make_limit: LimitFactory = concurrency_limits.FixedLimit
    order: queues.QueueOrder = dataclasses.field(
        default_factory=queues.FairShareOrder
    )
    queue_share: float = admission.QUEUE_SHARE
    assumes_usual_speed: bool = False


class _Waiter:
    """Holds the admission decision on one attempt, once it is made."""

    __slots__ = ("action", "decided")

    def __init__(self) -> None:
        self.action: (
            admission_events.Admitted | admission_events.Refused | None
        ) = None
        self.decided: threading.Event | None = None

    def decide(
        self, action: admission_events.Admitted | admission_events.Refused
    ) -> None:
        """Sets the decision and wakes the thread that waits for it."""
        self.action = action
        if self.decided is not None:
            self.decided.set()


class OwnedServer:
    """Admits and tracks the requests of one incarnation of a local server.

    Args:
      server: The server, as in the snapshot.
      address: `ip:port` at which it serves HTTP.
      options: Policies of the owner.
      instance: Instance ID that the server reported; empty if it has none.
      body_receiver: Receives large bodies in parts; None if every body comes in
        one piece.
      born_ms: Start of the server's process, in milliseconds since 1970; 0 if
        unknown.
      answer_turns: Shares the outbound link among large answers; None if its
        rate is unknown.
    """

    def __init__(
        self,
        server: snapshots.BackendServer,
        address: str,
        options: OwnerOptions,
        instance: str = "",
        body_receiver: body_receiver_lib.BodyReceiver | None = None,
        born_ms: int = 0,
        answer_turns: answer_turns_lib.AnswerTurns | None = None,
    ) -> None:
        self._links = tuple(
            link for link in (body_receiver, answer_turns) if link is not None
        )
        self._assumes_usual_speed = options.assumes_usual_speed
        self.server = server
        self.address = address
        self.instance = instance
        self.born_ms = born_ms
        self.admission = admission.Admission(
            limit=options.make_limit(server.slots),
            order=options.order,
            queue_share=options.queue_share,
        )
        self.lock = threading.Lock()
        self.down = False
        self.draining = False
        self.crashed = False
        self.stated = server_statements.NOTHING
        self._running: dict[str, quarantine.RunningRequest] = {}
        self._waiters: dict[str, _Waiter] = {}

    def report(self, kind: str = "") -> load_reports.LoadReport:
        """Returns the load report that each answer to an entry contains.

        Args:
          kind: Kind of the request that is answered, if any.
        """
        with self.lock:
            report = self.admission.report(time.monotonic(), kind)
        wait_s = max((link.wait_s for link in self._links), default=0.0)
        if not wait_s:
            return report
        return dataclasses.replace(report, link_wait_s=wait_s)

    def step(self, event: admission_events.Event) -> None:
        """Handles an event and passes the decisions to the waiting threads."""
        with self.lock:
            self._step(event)

    def drain(self) -> None:
        """Refuses queued and new requests; running ones are finished."""
        with self.lock:
            if self.draining:
                return
            self.draining = True
            self._step(admission_events.Drain())
        _log.info("server_draining", server=self.server.server_id)

    def mark_down(self) -> None:
        """Refuses requests, as the server accepts no connection."""
        with self.lock:
            if self.down:
                return
            self.down = True
            self._step(admission_events.ServerDown())
        _log.warning("server_down", server=self.server.server_id)

    def admit(
        self, event: admission_events.Arrived, guard: watchdog.Guard
    ) -> admission_events.Admitted | admission_events.Refused:
        """Waits until an attempt is admitted or refused."""
        waiter = _Waiter()
        with self.lock:
            if event.request_id in self._waiters:
                return _refuse(event, admission_events.RefusalReason.DUPLICATE)
            self._waiters[event.request_id] = waiter
            self._step(event)
            if waiter.action is not None:
                return waiter.action
            waiter.decided = threading.Event()
        with guard.on_end(waiter.decided.set):
            waiter.decided.wait(guard.remaining_s)
        with self.lock:
            if waiter.action is not None:
                return waiter.action
            self._waiters.pop(event.request_id, None)
            self._step(admission_events.Cancelled(request_id=event.request_id))
        reason = admission_events.RefusalReason.DEADLINE
        if guard.reason is watchdog.EndReason.CANCELLED:
            reason = admission_events.RefusalReason.CANCELLED
        return _refuse(event, reason)

    def start(
        self, attempt_id: str, running: quarantine.RunningRequest
    ) -> None:
        """Records a request that is about to be sent to the server."""
        with self.lock:
            self._running[attempt_id] = running

    def finish(self, attempt_id: str, *, failed: bool) -> None:
        """Removes a request that ended and frees its slot."""
        with self.lock:
            self._running.pop(attempt_id, None)
            self._step(
                admission_events.Ended(request_id=attempt_id, failed=failed)
            )

    def record_statement(
        self, stated: server_statements.Statement, attempt_id: str
    ) -> None:
        """Records what an answer of the server states, and logs changes.

        Args:
          stated: What the answer states.
          attempt_id: The answered attempt.
        """
        with self.lock:
            before = self.stated
            if before.is_leaving:
                stated = dataclasses.replace(stated, is_leaving=True)
            self.stated = stated
            if not stated.malformed:
                self._step(
                    admission_events.RateStated(
                        request_id=attempt_id, rate=stated.rate_limit
                    )
                )
        if before == stated:
            return
        is_new_value = None not in (before.rate_limit, stated.rate_limit)
        if not is_new_value or logs.allows_request_line(failed=True):
            _log.info(
                "server_stated",
                server=self.server.server_id,
                incarnation=self.server.incarnation,
                instance=self.instance,
                attempt=attempt_id,
                rate_limit=stated.rate_limit,
                rate_limit_before=before.rate_limit,
                leaving=stated.is_leaving,
                malformed=stated.malformed,
                header=stated.header,
            )

    def record_load(self, text: str, attempt_id: str) -> None:
        """Records the load that an answer of the server tells.

        Args:
          text: Value of the header.
          attempt_id: The answered attempt.
        """
        load = server_load.parse_server_load(text)
        if load is None:
            if logs.allows_request_line(failed=True):
                _log.warning(
                    "server_load_malformed",
                    server=self.server.server_id,
                    instance=self.instance,
                    attempt=attempt_id,
                    value=repr(text[:MAX_LOGGED_CHARS]),
                )
            return
        if load.slowdown is None:
            if not self._assumes_usual_speed:
                return
            load = dataclasses.replace(load, slowdown=USUAL_SLOWDOWN)
        is_first = self.admission.stated_slowdown is None
        self.step(admission_events.LoadStated(load=load))
        if is_first:
            _log.info(
                "server_tells_slowdown",
                server=self.server.server_id,
                instance=self.instance,
                slots=load.slots,
                slots_announced=self.server.slots,
            )

    def mark_leaving(self) -> None:
        """Records that the server told an earlier owner that it leaves."""
        with self.lock:
            self.stated = dataclasses.replace(self.stated, is_leaving=True)

    def adopt_rate(self, rate: float | None) -> None:
        """Keeps to an earlier limit until the server itself has answered."""
        if rate is not None and not self.admission.has_stated_rate:
            self.step(admission_events.RateKnown(rate=rate))

    @property
    def has_stated(self) -> bool:
        """Whether the server states a limit or that it leaves."""
        return self.stated.is_leaving or self.admission.rate_limit is not None

    def describe_statement(self) -> known_statements.KnownStatement | None:
        """Returns what the server has stated; None if it has no instance ID.

        Without an instance ID, the statement of an earlier process could be
        taken for that of this one.
        """
        if not self.instance:
            return None
        return known_statements.KnownStatement(
            instance=self.instance,
            born_ms=self.born_ms,
            rate_limit=self.admission.rate_limit,
            is_leaving=self.stated.is_leaving,
        )

    def mark_crashed(self) -> tuple[quarantine.RunningRequest, ...] | None:
        """Records that the server crashed.

        Returns:
          The requests that it ran, to the first thread that detects the crash;
          None to the others, so that the crash is reported once.
        """
        with self.lock:
            if self.crashed:
                return None
            self.crashed = True
            return tuple(self._running.values())

    def estimate_run_time(self, kind: str) -> float:
        """Returns the expected run time of a kind of request, in seconds."""
        with self.lock:
            return self.admission.estimate_run_time(kind)

    def is_idle(self) -> bool:
        """Returns whether no request runs or is queued."""
        return not (self.admission.running or self.admission.waiting)

    def _step(self, event: admission_events.Event) -> None:
        for action in self.admission.step(event, time.monotonic()):
            if isinstance(action, admission_events.Drained):
                continue
            waiter = self._waiters.pop(action.request_id, None)
            if waiter is not None:
                waiter.decide(action)


def _refuse(
    event: admission_events.Arrived, reason: admission_events.RefusalReason
) -> admission_events.Refused:
    return admission_events.Refused(
        request_id=event.request_id, reason=reason, retry_after_s=0.0
    )
