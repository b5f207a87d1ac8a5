"""Buffer for joins that reach a replica before a leader is known."""

from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages

# Shorter than the restart of a process, so that the process that sent a join
# still runs when the join is handled; about as long as an election.
MAX_AGE_S = 0.4
MAX_JOINS = 4096

Pending = tuple[events.FrameReceived, messages.Join]


class PendingJoins:
    """Holds the newest join of each node until a leader is known.

    After a failure of all processes at once, the nodes restart before a leader
    is elected; without this buffer each would join only with its next retry.
    """

    def __init__(self) -> None:
        self._joins: dict[str, tuple[float, Pending]] = {}

    def add(
        self, received: events.FrameReceived, join: messages.Join, now: float
    ) -> bool:
        """Adds a join; returns False if the buffer is full."""
        sender_id = received.sender_id
        if len(self._joins) >= MAX_JOINS and sender_id not in self._joins:
            return False
        self._joins[sender_id] = (now, (received, join))
        return True

    def pop_recent(self, now: float) -> tuple[Pending, ...]:
        """Removes all joins; returns those not older than `MAX_AGE_S`."""
        joins, self._joins = self._joins, {}
        return tuple(
            pending for at, pending in joins.values() if now - at <= MAX_AGE_S
        )
