"""Tells the holders of a claim how its request ended."""

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull

WAIT_S = 0.25
GIVE_UP_S = 5.0


class Settlement:
    """Repeats the end of a request until every holder acknowledged it.

    Args:
      end: A StoreRequest or a ReleaseRequest.
      shard: The shard of the claim.
      started_at: Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        end: messages.ClaimMessage,
        shard: snapshots.Shard,
        started_at: float,
    ) -> None:
        self._end = end
        self._started_at = started_at
        self._answered = False
        self._missing = {holder.node_id for holder in shard.holders}
        self._holders = len(self._missing)

    def send(self, now: float) -> tuple[events.Action, ...]:
        """Returns the messages to the holders that are missing."""
        return (
            *(
                events.Send(node_id=node_id, message=self._end)
                for node_id in sorted(self._missing)
            ),
            events.SetTimer(at=now + WAIT_S),
        )

    def restart(
        self, shard: snapshots.Shard, now: float
    ) -> tuple[events.Action, ...]:
        """Starts again with the holders of another epoch."""
        self._missing = {holder.node_id for holder in shard.holders}
        self._holders = len(self._missing)
        return self.send(now)

    def count_acknowledgement(
        self, sender_id: str
    ) -> tuple[events.Action, ...]:
        """Counts an acknowledgement."""
        self._missing.discard(sender_id)
        actions: list[events.Action] = []
        settled = self._holders - len(self._missing)
        majority = claim_pull.count_majority(self._holders)
        if settled >= majority and not self._answered:
            self._answered = True
            actions.append(events.Settled(acknowledged=True))
        if not self._missing:
            actions.append(events.Finish())
        return tuple(actions)

    def resend(self, now: float) -> tuple[events.Action, ...]:
        """Sends again; after the first wait the caller waits no more."""
        actions: list[events.Action] = []
        if not self._answered:
            self._answered = True
            actions.append(events.Settled(acknowledged=False))
        if now - self._started_at >= GIVE_UP_S:
            return (*actions, events.Finish())
        return (*actions, *self.send(now))
