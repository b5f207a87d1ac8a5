"""Reports to the holders of a claim how its request ended."""

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull

RESEND_INTERVAL_S = 0.25
GIVE_UP_AFTER_S = 5.0


class Settlement:
    """Resends the end of a request until every holder acknowledged it.

    Args:
      end: A StoreRequest or a ReleaseRequest.
      shard: The shard of the claim.
      started_at: Monotonic time at which the request ended, in seconds.
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
        self._is_settled = False
        self._unacknowledged = {holder.node_id for holder in shard.holders}
        self._holder_count = len(self._unacknowledged)

    def send(self, now: float) -> tuple[events.Action, ...]:
        """Sends to all holders that did not acknowledge, and sets a timer."""
        return (
            *(
                events.Send(node_id=node_id, message=self._end)
                for node_id in sorted(self._unacknowledged)
            ),
            events.SetTimer(at=now + RESEND_INTERVAL_S),
        )

    def restart(
        self, shard: snapshots.Shard, now: float
    ) -> tuple[events.Action, ...]:
        """Starts over with the holders of another epoch."""
        self._unacknowledged = {holder.node_id for holder in shard.holders}
        self._holder_count = len(self._unacknowledged)
        return self.send(now)

    def count_acknowledgement(
        self, sender_id: str
    ) -> tuple[events.Action, ...]:
        """Counts an acknowledgement; a majority settles the claim."""
        self._unacknowledged.discard(sender_id)
        actions: list[events.Action] = []
        acknowledged_count = self._holder_count - len(self._unacknowledged)
        majority = claim_pull.count_majority(self._holder_count)
        if acknowledged_count >= majority and not self._is_settled:
            self._is_settled = True
            actions.append(events.Settled(acknowledged=True))
        if not self._unacknowledged:
            actions.append(events.Finish())
        return tuple(actions)

    def resend(self, now: float) -> tuple[events.Action, ...]:
        """Sends again to the holders that have not acknowledged.

        The first resend ends the caller's wait if no majority acknowledged
        by then. After `GIVE_UP_AFTER_S` the claim is finished without the
        missing acknowledgements.
        """
        actions: list[events.Action] = []
        if not self._is_settled:
            self._is_settled = True
            actions.append(events.Settled(acknowledged=False))
        if now - self._started_at >= GIVE_UP_AFTER_S:
            return (*actions, events.Finish())
        return (*actions, *self.send(now))
