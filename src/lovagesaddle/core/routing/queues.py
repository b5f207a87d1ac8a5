"""Orders in which an owner serves the requests that wait for a slot."""

import abc
import dataclasses

from lovagesaddle.core.model import services

RANKS = {
    services.Priority.URGENT: 0,
    services.Priority.NORMAL: 1,
    services.Priority.BULK: 2,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A request that waits for a slot.

    Attributes:
      request_id: Unique among the requests of the owner.
      priority: Of its route.
      deadline: Monotonic time by which its answer must be there, in seconds.
      arrived_at: Monotonic time of its arrival, in seconds.
      number: Position in the order of arrival.
    """

    request_id: str
    priority: services.Priority
    deadline: float
    arrived_at: float
    number: int


SortKey = tuple[float, ...]


class QueueOrder(abc.ABC):
    """Decides who is served next and who gives way in a full queue."""

    @abc.abstractmethod
    def rank(self, waiting: Waiting) -> SortKey:
        """Returns the sort key; the least is served first."""

    @abc.abstractmethod
    def is_hopeless(self, waiting: Waiting, run_s: float, now: float) -> bool:
        """Returns whether a request can't meet its deadline any more.

        Args:
          waiting: The request.
          run_s: Expected time of its run, in seconds.
          now: Monotonic time in seconds.
        """


class ArrivalOrder(QueueOrder):
    """First in, first out; nothing is given up before its turn."""

    def rank(self, waiting: Waiting) -> SortKey:
        """Returns the order of arrival."""
        return (waiting.number,)

    def is_hopeless(self, waiting: Waiting, run_s: float, now: float) -> bool:
        """Returns False: arrival order knows no deadlines."""
        del waiting, run_s, now
        return False


class DeadlineOrder(QueueOrder):
    """Urgent first, then the nearest deadline that can still be met."""

    def rank(self, waiting: Waiting) -> SortKey:
        """Returns priority, deadline, arrival."""
        return RANKS[waiting.priority], waiting.deadline, waiting.number

    def is_hopeless(self, waiting: Waiting, run_s: float, now: float) -> bool:
        """Returns whether a run that starts now would end too late."""
        return now + run_s > waiting.deadline
