"""Admission control of an owner: runs, queues or refuses requests.

An owner refuses a request before it sends a byte of it to the local backend
server, so a refusal proves that the request did not run.
"""

import dataclasses

from lovagesaddle.core import state_machine
from lovagesaddle.core.routing import account_shares
from lovagesaddle.core.routing import admission_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import request_rates
from lovagesaddle.core.routing import run_times
from lovagesaddle.core.routing import running_requests
from lovagesaddle.core.routing import served_shares
from lovagesaddle.core.routing import stated_load

# Length of the queue as a share of the concurrency limit.
QUEUE_SHARE = 1.0
MIN_RETRY_AFTER_S = 0.05


class Admission(state_machine.StateMachine[events.Event, events.Action]):
    """Assigns the slots of one backend server and keeps a short queue.

    Args:
      limit: Policy for the number of requests that run at a time.
      order: Order of the queue.
      queue_share: Length of the queue as a share of the limit.
    """

    def __init__(
        self,
        *,
        limit: concurrency_limits.LimitPolicy,
        order: queues.QueueOrder,
        queue_share: float = QUEUE_SHARE,
    ) -> None:
        self._limit = limit
        self._slots = limit.limit
        self._held_back = 0
        self._shares = served_shares.ServedShares()
        self._accounts = account_shares.AccountShares()
        self._queue = queues.Queue(order, self._shares, self._accounts)
        self._queue_share = queue_share
        self._running = running_requests.RunningRequests()
        self._rate = request_rates.RequestRate()
        self._arrivals = 0
        self._times = run_times.RunTimes()
        self._stated = stated_load.StatedLoad()
        self._draining = False
        self._drained = False
        self._down = False

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def rate_limit(self) -> float | None:
        """Requests a second that the server takes; None without a limit."""
        return self._rate.rate

    @property
    def has_stated_rate(self) -> bool:
        """Whether an answer has shown if the server states a limit."""
        return self._rate.is_stated

    def check_capacity(self, now: float) -> events.RefusalReason | None:
        """Returns why a new request would be refused now, or None."""
        if self._draining:
            return events.RefusalReason.DRAINING
        if self._down:
            return events.RefusalReason.SERVER_DOWN
        if len(self._queue) >= self._compute_queue_capacity():
            return events.RefusalReason.QUEUE_FULL
        if self._rate.compute_wait(now):
            return events.RefusalReason.RATE_LIMIT
        return None

    def estimate_run_time(self, kind: str) -> float:
        """Returns the expected run time of a kind, in seconds."""
        return self._times.estimate(kind)

    @property
    def stated_slowdown(self) -> float | None:
        """Newest slowdown that the server told; None if it tells none."""
        return self._stated.newest_slowdown

    @property
    def held_back(self) -> int:
        """Slots left free as the server makes requests wait, at last."""
        return self._held_back

    def report(self, now: float, kind: str = "") -> load_reports.LoadReport:
        """Returns the load report sent with each answer to an entry node.

        Args:
          now: Monotonic time in seconds.
          kind: Kind of the request that is answered, if any.
        """
        self._apply_stated(now)
        usual_run_s = self._stated.find_usual_run(kind)
        return load_reports.LoadReport(
            slowdown=self._stated.estimate_slowdown(now),
            usual_run_s=usual_run_s,
            running=len(self._running),
            queued=len(self._queue),
            limit=self._estimate_concurrency(),
            latency_s=self._times.mean_s,
            draining=self._draining,
            start_wait_s=self._rate.compute_wait(now),
        )

    def _estimate_concurrency(self) -> int:
        """Returns how many requests run at a time, at a stated rate too.

        By Little's law, a rate bounds the mean number of requests in progress.
        Without it, a limited server looks idle and attracts what it refuses.
        """
        limit = self._slots
        rate = self._rate.rate
        if rate is None or not self._times.mean_s:
            return limit
        return min(limit, max(1, round(rate * self._times.mean_s)))

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event."""
        actions: list[events.Action] = []
        self._apply_stated(now)
        match event:
            case events.Arrived():
                self._arrive(event, now, actions)
            case events.Ended():
                self._end(event, now)
            case events.Cancelled():
                self._queue.remove(event.request_id)
                self._running.end(event.request_id)
            case events.Drain():
                self._draining = True
                waiting = self._queue.pop_all()
                actions += self._refuse_all(
                    waiting, events.RefusalReason.DRAINING, now
                )
            case events.ServerDown():
                self._down = True
                waiting = self._queue.pop_all()
                actions += self._refuse_all(
                    waiting, events.RefusalReason.SERVER_DOWN, now
                )
            case events.ServerUp():
                self._down = False
                self._draining = False
                self._drained = False
            case events.RateStated() | events.RateKnown() | events.LoadStated():
                self._record_statement(event, now)
            case events.Tick():
                pass
        self._admit_waiting(now, actions)
        return tuple(actions)

    def _record_statement(
        self,
        event: events.RateStated | events.RateKnown | events.LoadStated,
        now: float,
    ) -> None:
        match event:
            case events.RateStated():
                sent_at = self._running.find_start(event.request_id)
                self._rate.state(event.rate, sent_at=sent_at, now=now)
            case events.RateKnown():
                self._rate.adopt(event.rate, now)
            case events.LoadStated():
                self._times = self._stated.record(event.load, self._times, now)
                self._apply_stated(now)

    def _arrive(
        self,
        event: events.Arrived,
        now: float,
        actions: list[events.Action],
    ) -> None:
        reason = self._find_refusal(event)
        if reason is not None:
            actions.append(self._refuse(event, reason, now))
            return
        self._arrivals += 1
        waiting = queues.Waiting(
            request_id=event.request_id,
            priority=event.priority,
            deadline=event.deadline,
            target=event.deadline if event.target is None else event.target,
            arrived_at=now,
            number=self._arrivals,
            kind=event.kind,
            suspect=event.suspect,
            has_reservation=event.has_reservation,
            account=event.account,
            account_rank=(
                event.account_rank if event.account else queues.NO_ACCOUNT_RANK
            ),
        )
        if event.account:
            self._accounts.record_asked(event.account, now)
        if event.may_move and self._is_expected_late(waiting, now):
            actions.append(
                self._refuse(event, events.RefusalReason.EXPECTED_LATE, now)
            )
            return
        self._queue.add(waiting)
        self._refuse_unmeetable(now, actions)
        if (
            len(self._queue)
            > self._compute_queue_capacity() + self._queue.reserved
        ):
            last = self._queue.pop_last(self._times, now)
            self._shares.record_refused(last.kind, now)
            actions.append(
                self._refuse(last, events.RefusalReason.QUEUE_FULL, now)
            )

    def _compute_queue_capacity(self) -> int:
        """Returns the free slots and the queue length, as one number."""
        free = self._slots - len(self._running)
        return max(0, free) + int(self._slots * self._queue_share)

    def _apply_stated(self, now: float) -> None:
        """Applies what the server has told, as far as it still holds."""
        limit = self._limit.limit
        self._slots = self._stated.compute_slots(limit, now)
        self._held_back = limit - self._slots

    def _is_expected_late(self, waiting: queues.Waiting, now: float) -> bool:
        """Returns whether a request would miss its target here.

        An idle server takes any request: only a run corrects the estimate.
        """
        run_s = self._times.estimate(waiting.kind)
        if not (self._stated.tells_slowdown and self._running and run_s):
            return False
        return now + self._estimate_slot_wait(now) + run_s > waiting.target

    def _estimate_slot_wait(self, now: float) -> float:
        """Returns when a slot is free after those in the queue, in seconds."""
        ahead = len(self._queue) + len(self._running) - self._slots
        if ahead < 0:
            return 0.0
        waits = self._running.list_remaining_times(self._times, now)
        rounds, position = divmod(ahead, max(1, len(waits)))
        return waits[position] + rounds * self._times.mean_s

    def _find_refusal(
        self, event: events.Arrived
    ) -> events.RefusalReason | None:
        if self._draining:
            return events.RefusalReason.DRAINING
        if self._down:
            return events.RefusalReason.SERVER_DOWN
        if event.request_id in self._running or event.request_id in self._queue:
            return events.RefusalReason.DUPLICATE
        return None

    def _end(self, event: events.Ended, now: float) -> None:
        ended = self._running.end(event.request_id)
        if ended is None:
            return
        run_s = now - ended.started_at
        if not event.failed:
            usual_s = run_s / self._stated.average_slowdown(ended, now)
            self._times.record(ended.waiting.kind, usual_s)
        self._limit.observe(
            latency_s=run_s,
            running=len(self._running) + 1,
            failed=event.failed,
            now=now,
        )
        self._apply_stated(now)

    def _admit_waiting(self, now: float, actions: list[events.Action]) -> None:
        self._refuse_unmeetable(now, actions)
        while len(self._running) < self._slots:
            allow_suspects = not self._running.has_suspect
            first = self._queue.pop_next(
                self._times, now, allow_suspects=allow_suspects
            )
            if first is None:
                break
            # No event announces the next token, so a request that waited for it
            # could stay in the queue until its deadline.
            if not self._rate.take(now, may_overdraw=first.has_reservation):
                self._shares.record_refused(first.kind, now)
                refusal = self._refuse(
                    first, events.RefusalReason.RATE_LIMIT, now
                )
                wait_s = self._rate.reserve_wait(now)
                actions.append(
                    dataclasses.replace(refusal, retry_after_s=wait_s)
                )
                continue
            slowdown = self._stated.estimate_slowdown(now) or 1.0
            self._running.start(first, now, slowdown)
            self._shares.record_served(first.kind, now)
            if first.account:
                self._accounts.record_served(first.account, now)
            actions.append(
                events.Admitted(
                    request_id=first.request_id,
                    waited_s=now - first.arrived_at,
                )
            )
        is_empty = not self._queue and not self._running
        if self._draining and is_empty and not self._drained:
            self._drained = True
            actions.append(events.Drained())

    def _refuse_unmeetable(
        self, now: float, actions: list[events.Action]
    ) -> None:
        # A single request for a free slot runs whatever the expected run time:
        # only another run can lower that estimate again.
        full = len(self._running) >= self._slots
        contended = full or len(self._queue) > 1
        times = self._times if contended else run_times.RunTimes()
        slot_waits = (
            self._running.list_remaining_times(times, now) if full else ()
        )
        unmeetable = self._queue.pop_unmeetable(times, now, slot_waits)
        for waiting in unmeetable:
            self._shares.record_refused(waiting.kind, now)
        actions += self._refuse_all(
            unmeetable, events.RefusalReason.DEADLINE, now
        )

    def _refuse_all(
        self,
        refused: tuple[queues.Waiting, ...],
        reason: events.RefusalReason,
        now: float,
    ) -> list[events.Refused]:
        return [self._refuse(waiting, reason, now) for waiting in refused]

    def _refuse(
        self,
        refused: queues.Waiting | events.Arrived,
        reason: events.RefusalReason,
        now: float,
    ) -> events.Refused:
        if self._stated.tells_slowdown:
            wait_s = self._estimate_slot_wait(now)
        else:
            rounds = len(self._queue) / self._slots + 1
            wait_s = rounds * self._times.mean_s
        return events.Refused(
            request_id=refused.request_id,
            reason=reason,
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
