"""Orders in which an owner serves the requests that wait for a slot."""

import abc
from collections.abc import Callable, Sequence
import dataclasses

from lovagesaddle.core.routing import run_times
from lovagesaddle.core.routing import served_shares

# Served share of each rank beside that of rank 0, below which it goes first.
# The calls that servers make for requests in progress have rank 0, whatever
# the rank of those requests, so rank 1 stays near; later ranks give way.
FIRST_RANK_SHARE = 0.7
NEXT_RANK_SHARE = 0.5
# Shares nearer to one another than this count as equal.
SHARE_STEP = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A request that waits for a slot.

    Attributes:
      request_id: Unique among the requests of the owner.
      priority: Of its route.
      deadline: Monotonic time by which its answer must be there, in seconds.
      arrived_at: Monotonic time of its arrival, in seconds.
      number: Position in the order of arrival.
      target: Monotonic time by which its answer is worth most, in seconds;
        the deadline where the route states no target.
      kind: Name of its route; runs of one kind take similar times.
      suspect: Whether it may crash the server.
      has_reservation: Whether a place was promised before its body travelled.
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


SortKey = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindStats:
    """What the owner has learned of a kind of request.

    Attributes:
      run_s: Expected time of a run, in seconds.
      served_share: Share of its requests that got a slot of late.
    """

    run_s: float
    served_share: float = 1.0


class QueueOrder(abc.ABC):
    """Decides who is served next and who gives way in a full queue."""

    @abc.abstractmethod
    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the sort key; the least is served first.

        Args:
          waiting: The request.
          stats: Of its kind.
          now: Monotonic time in seconds.
        """

    @abc.abstractmethod
    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns whether a request can't meet its deadline any more.

        Args:
          waiting: The request.
          run_s: Expected time of its run, in seconds.
          now: Monotonic time in seconds.
        """


class ArrivalOrder(QueueOrder):
    """First in, first out; nothing is given up before its turn."""

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns the order of arrival."""
        del stats, now
        return (waiting.number,)

    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns False: arrival order knows no deadlines."""
        del waiting, run_s, now
        return False


class DeadlineOrder(QueueOrder):
    """Urgent first, then the nearest deadline that can still be met."""

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns priority, deadline, arrival."""
        del stats, now
        return waiting.priority, waiting.deadline, waiting.number

    def will_miss_deadline(
        self, waiting: Waiting, run_s: float, now: float
    ) -> bool:
        """Returns whether a run that starts now would end too late."""
        return now + run_s > waiting.deadline


class TargetOrder(DeadlineOrder):
    """In-time requests first, by rank, then by the nearest target.

    It answers sustained overload. There, the nearest deadline is that of the
    request that waited longest, so in deadline order each answer comes just
    after its target. What can't meet its target any more gives way to all that
    still can, and is served while a slot is left over.
    """

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns lateness, priority, target, arrival."""
        is_late = now + stats.run_s > waiting.target
        return is_late, waiting.priority, waiting.target, waiting.number


class FairShareOrder(TargetOrder):
    """In-time requests first, by rank as long as no kind is starved.

    It answers the overload of a service that several kinds of callers share:
    many calls of an urgent rank, as those that servers make for requests in
    progress, beside clients' requests of the next rank. By rank alone the
    latter get what is left over, which may be nothing. Here a kind whose
    served share falls too far behind that of the ranks before it goes first,
    and kinds of one rank are served in like shares.
    """

    def make_sort_key(
        self, waiting: Waiting, stats: KindStats, now: float
    ) -> SortKey:
        """Returns lateness, level of the share, priority, target, arrival."""
        is_late, *rest = super().make_sort_key(waiting, stats, now)
        due_share = compute_due_share(waiting.priority)
        level = int(stats.served_share / due_share / SHARE_STEP)
        return is_late, level, *rest


def compute_due_share(priority: int) -> float:
    """Returns the served share of a rank beside that of rank 0."""
    if priority <= 0:
        return 1.0
    return FIRST_RANK_SHARE * NEXT_RANK_SHARE ** (priority - 1)


class Queue:
    """Requests that wait, each at most once.

    It is as short as the slots are few, so it is searched and not sorted.

    Args:
      order: Who is served next and who gives way.
      shares: Of each kind that the owner served; kept up by the owner.
    """

    def __init__(
        self,
        order: QueueOrder,
        shares: served_shares.ServedShares | None = None,
    ) -> None:
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
        """Requests whose place was promised."""
        return sum(each.has_reservation for each in self._waiting.values())

    def remove(self, request_id: str) -> None:
        """Removes a request, if it waits."""
        self._waiting.pop(request_id, None)

    def pop_next(
        self, times: run_times.RunTimes, now: float, *, allow_suspects: bool
    ) -> Waiting | None:
        """Removes and returns the request to serve next, if there is one.

        Args:
          times: Expected times of runs.
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
        """Removes and returns the request that gives way.

        One whose place was promised does so only among its like.
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
        """Removes and returns what can't meet its deadline any more.

        Args:
          times: Expected times of runs.
          now: Monotonic time in seconds.
          slot_waits: Expected times until the slots are free, soonest first, in
            seconds; empty while one is.
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
        # Looked up once for each kind: many requests wait of few kinds.
        stats_of: dict[str, KindStats] = {}

        def sort_key(waiting: Waiting) -> SortKey:
            stats = stats_of.get(waiting.kind)
            if stats is None:
                stats = stats_of[waiting.kind] = KindStats(
                    run_s=times.estimate(waiting.kind),
                    served_share=self._shares.get_share(waiting.kind),
                )
            return self._order.make_sort_key(waiting, stats, now)

        return sort_key

    def pop_all(self) -> tuple[Waiting, ...]:
        """Removes and returns every request, in the order of arrival."""
        requests = tuple(self._waiting.values())
        self._waiting.clear()
        return requests
