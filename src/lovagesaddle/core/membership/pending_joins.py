"""Joins that reach a replica before a leader is known."""

from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages

# Shorter than the restart of a process, so that a join is never kept beyond
# the life that sent it; about as long as an election.
MAX_AGE_S = 0.4
MAX_JOINS = 4096

Pending = tuple[events.FrameReceived, messages.Join]


class PendingJoins:
    """Keeps the newest join of each node until a leader is known.

    It answers the loss of every process at once: the nodes are back before a
    leader is, and without it each would wait for its own next try.
    """

    def __init__(self) -> None:
        self._kept: dict[str, tuple[float, Pending]] = {}

    def add(
        self, received: events.FrameReceived, join: messages.Join, now: float
    ) -> bool:
        """Keeps a join; returns False where there is no room for it."""
        sender_id = received.sender_id
        if len(self._kept) >= MAX_JOINS and sender_id not in self._kept:
            return False
        self._kept[sender_id] = (now, (received, join))
        return True

    def pop_recent(self, now: float) -> tuple[Pending, ...]:
        """Removes all joins; returns those that are recent enough."""
        kept, self._kept = self._kept, {}
        return tuple(
            pending for at, pending in kept.values() if now - at <= MAX_AGE_S
        )
