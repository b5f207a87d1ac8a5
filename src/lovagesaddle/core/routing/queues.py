"""Queue of the requests that wait for a slot, and its orders."""

import abc
import bisect
from collections.abc import Callable, Sequence
import dataclasses
import functools

from lovagesaddle.core.routing import account_shares
from lovagesaddle.core.routing import run_times
from lovagesaddle.core.routing import served_shares

# Fair served share of a priority, relative to the served share of priority 0; a
# kind whose share is below its fair share is served first. Calls that servers
# make for requests in progress have priority 0, whatever the priority of those
# requests, so the fair share of priority 1 is close to that of priority 0 and
# the fair shares of later priorities are lower.
PRIORITY_1_SHARE = 0.7
NEXT_PRIORITY_FACTOR = 0.5
# Granularity at which served shares are compared.
SHARE_STEP = 0.05
# An account with less than the first of these parts of its usual room is served
# first, one with more than the others later. They are far apart, so that
# the chance of a few arrivals does not outweigh the priorities of routes.
ACCOUNT_PARTS = (0.5, 1.75, 3.0)
USUAL_LEVEL = 1
# Before every account: calls that servers make for requests in progress.
NO_ACCOUNT_RANK = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A request that waits for a slot.

    Attributes:
      request_id: Unique among the requests of the owner.
      priority: Priority of its route; 0 is the most urgent.
      deadline: Monotonic time by which its answer must arrive, in seconds.
      arrived_at: Monotonic time of its arrival, in seconds.
      number: Position in the order of arrival.
      target: Monotonic time of the target latency of its route, in seconds;
        the deadline if the route states no target.
      kind: Name of its route; runs of one kind take similar times.
      suspect: Whether the request may crash the server.
      has_reservation: Whether a place in the queue was reserved for the request
        before its body was sent.
      account: Client account that sent it; empty for calls of servers and
        where there are no accounts.
      account_rank: Priority of that account, which goes before the route's.
    """

    request_id: str
    priority: int
    deadline: float
    target: float
    arrived_at: float
    number: int
    kind: str = ""
    suspect: bool = False
    has_reservation: bool = False
    account: str = ""
    account_rank: int = NO_ACCOUNT_RANK


SortKey = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindStats:
    """Statistics of one kind of request at an owner.

    Attributes:
      run_s: Expected run time, in seconds.
      served_share: Share of its recent requests that got a slot, 0 to 1.
      account_part: What was served to the request's account lately, relative
        to what is usual for it; None without an account.
    """

    run_s: float
    served_share: float = 1.0
    account_part: float | None = None


class QueueOrder(abc.ABC):
    """Decides which request is served next and which is evicted when full."""

    @abc.abstractmethod
    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the sort key of a request; the lowest is served first.

        Args:
          waiting: The request.
          stats: Statistics of its kind.
          now: Monotonic time in seconds.
        """

    @abc.abstractmethod
    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns whether a request can't meet its deadline any more.

        Args:
          waiting: The request.
          run_s: Expected run time, in seconds.
          now: Monotonic time in seconds.
        """


class ArrivalOrder(QueueOrder):
    """Serves first in, first out, and refuses no request for its deadline."""

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the number of the arrival."""
        del stats, now
        return (waiting.number,)

    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns False, since this order ignores deadlines."""
        del waiting, run_s, now
        return False


class DeadlineOrder(QueueOrder):
    """Serves by priority, then by the earliest deadline it can meet."""

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the priority, deadline and number of the arrival."""
        del stats, now
        return waiting.priority, waiting.deadline, waiting.number

    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns whether a run that starts now would end too late."""
        return now + run_s > waiting.deadline


class TargetOrder(DeadlineOrder):
    """Serves requests that can meet their target first, by priority.

    Requests of one priority are served by the earliest target. This order is
    for sustained overload: there the earliest deadline belongs to the request
    that waited longest, so in deadline order almost every answer misses its
    target. A request that can't meet its target any more is served after all
    that still can, while a slot is free.
    """

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the lateness, priority, target and number of the arrival."""
        is_late = now + stats.run_s > waiting.target
        return is_late, waiting.priority, waiting.target, waiting.number


class FairShareOrder(TargetOrder):
    """Serves in the target order, but starves no kind of request.

    This order is for the overload of a service that several kinds of callers
    share: many urgent calls, such as those that servers make for requests in
    progress, beside callers' requests of the next priority. By priority alone
    the latter get only the slots that are left over, which may be none. Here a
    kind whose served share falls below its fair share, relative to priority 0,
    is served first, and kinds of one priority get equal shares.

    Client accounts that compete for the room come before that: one that was
    given much less than its usual is served first and one that has had a
    multiple of it last, whatever they send. Among the others the account's
    rank decides, then the route.
    """

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns lateness, account, level of the share and target order."""
        share = stats.served_share / compute_due_share(waiting.priority)
        if stats.account_part is None:
            account_level = USUAL_LEVEL - (share < ACCOUNT_PARTS[0])
        else:
            due_share = compute_due_share(waiting.account_rank)
            part = stats.account_part / due_share
            account_level = bisect.bisect_right(ACCOUNT_PARTS, part)
        return (
            now + stats.run_s > waiting.target,
            account_level,
            waiting.account_rank,
            int(share / SHARE_STEP),
            waiting.priority,
            waiting.target,
            waiting.number,
        )


@functools.lru_cache(maxsize=64)
def compute_due_share(priority: int) -> float:
    """Returns the fair served share of a priority relative to priority 0."""
    if priority <= 0:
        return 1.0
    return PRIORITY_1_SHARE * NEXT_PRIORITY_FACTOR ** (priority - 1)


class Queue:
    """Holds waiting requests, each at most once.

    The queue is about as long as the number of slots, so it is searched
    linearly and not kept sorted.

    Args:
      order: Decides which request is served next and which is evicted.
      shares: Served share of each kind; the owner updates it.
      accounts: Room of each client account; the owner updates it.
    """

    def __init__(
        self,
        order: QueueOrder,
        shares: served_shares.ServedShares | None = None,
        accounts: account_shares.AccountShares | None = None,
    ) -> None:
        self._accounts = accounts or account_shares.AccountShares()
        self._order = order
        self._shares = shares or served_shares.ServedShares()
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def add(self, waiting: Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting.request_id] = waiting

    @property
    def reserved(self) -> int:
        """Number of requests that have a reservation."""
        return sum(each.has_reservation for each in self._waiting.values())

    def remove(self, request_id: str) -> None:
        """Removes a request if it is in the queue."""
        self._waiting.pop(request_id, None)

    def pop_next(
        self, times: run_times.RunTimes, now: float, *, allow_suspects: bool
    ) -> Waiting | None:
        """Removes and returns the request to serve next, or None.

        Args:
          times: Expected run times.
          now: Monotonic time in seconds.
          allow_suspects: Whether a suspect may be served.
        """
        servable = [
            waiting
            for waiting in self._waiting.values()
            if allow_suspects or not waiting.suspect
        ]
        if not servable:
            return None
        first = min(servable, key=self._make_sort_key(times, now))
        return self._waiting.pop(first.request_id)

    def pop_last(self, times: run_times.RunTimes, now: float) -> Waiting:
        """Removes and returns the request to evict from a full queue.

        A request with a reservation is evicted only if all have one.
        """
        sort_key = self._make_sort_key(times, now)
        last = max(
            self._waiting.values(),
            key=lambda waiting: (
                not waiting.has_reservation,
                sort_key(waiting),
            ),
        )
        return self._waiting.pop(last.request_id)

    def pop_unmeetable(
        self,
        times: run_times.RunTimes,
        now: float,
        slot_waits: Sequence[float] = (),
    ) -> tuple[Waiting, ...]:
        """Removes and returns the requests that can't meet their deadlines.

        Args:
          times: Expected run times.
          now: Monotonic time in seconds.
          slot_waits: Expected times until each slot is free, in seconds and
            ascending; empty while a slot is free.
        """
        unmeetable: list[Waiting] = []
        kept = 0
        for waiting in sorted(
            self._waiting.values(), key=self._make_sort_key(times, now)
        ):
            run_s = times.estimate(waiting.kind)
            slot_wait_s = (
                slot_waits[min(kept, len(slot_waits) - 1)]
                if slot_waits
                else 0.0
            )
            if self._order.will_miss_deadline(
                waiting, run_s, now + slot_wait_s
            ):
                unmeetable.append(waiting)
            else:
                kept += 1
        for waiting in unmeetable:
            del self._waiting[waiting.request_id]
        return tuple(unmeetable)

    def _make_sort_key(
        self, times: run_times.RunTimes, now: float
    ) -> Callable[[Waiting], SortKey]:
        # Looks the statistics up once per kind: requests are many, kinds few.
        stats_of: dict[str, KindStats] = {}
        part_of = self._compute_account_parts(now)

        def sort_key(waiting: Waiting) -> SortKey:
            stats = stats_of.get(waiting.kind)
            if stats is None:
                stats = stats_of[waiting.kind] = KindStats(
                    run_s=times.estimate(waiting.kind),
                    served_share=self._shares.get_share(waiting.kind),
                )
            if waiting.account:
                part = part_of.get(waiting.request_id, 0.0)
                stats = dataclasses.replace(stats, account_part=part)
            return self._order.make_sort_key(waiting, stats, now)

        return sort_key

    def _compute_account_parts(self, now: float) -> dict[str, float]:
        """Returns the part of its account that each request would reach."""
        ahead_of: dict[str, int] = {}
        parts: dict[str, float] = {}
        for waiting in self._waiting.values():
            if not waiting.account:
                continue
            ahead = ahead_of.get(waiting.account, 0)
            ahead_of[waiting.account] = ahead + 1
            parts[waiting.request_id] = self._accounts.compute_part(
                waiting.account, now, ahead=ahead
            )
        return parts

    def pop_all(self) -> tuple[Waiting, ...]:
        """Removes and returns every request, in the order of arrival."""
        requests = tuple(self._waiting.values())
        self._waiting.clear()
        return requests
