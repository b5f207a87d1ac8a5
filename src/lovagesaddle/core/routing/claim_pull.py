"""Transfer of claims from the holders of the previous epoch to one holder."""

import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_records

RESEND_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PageRequest:
    """A request for one page, and the former holder to send it to."""

    node_id: str
    message: messages.PullRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class _Source:
    holder: snapshots.Holder
    cursor: bytes = b""
    complete: bool = False
    lost: bool = False
    requested_at: float = float("-inf")


class Pull:
    """Requests the claims of the former holders until enough have sent them.

    Enough means that every majority of the former holders includes one that
    has sent its claims. A former holder that lost its memory can't send its
    claims, but no longer votes in the former epoch. If that holder is needed,
    the pull is complete `RETENTION_S` later, when all claims of that holder
    have expired.

    Args:
      shard: The shard in the epoch of the requesting holder.
    """

    def __init__(self, *, shard: snapshots.Shard) -> None:
        self._shard = shard
        self._sources = {
            holder.node_id: _Source(holder=holder) for holder in shard.previous
        }
        self._sealed_at: float | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the requesting holder."""
        return self._shard.epoch

    def list_due_requests(self, now: float) -> tuple[PageRequest, ...]:
        """Returns the requests that are due, and records them as sent."""
        requests: list[PageRequest] = []
        for source in self._sources.values():
            due = now - source.requested_at >= RESEND_INTERVAL_S
            if source.complete or source.lost or not due:
                continue
            source.requested_at = now
            requests.append(
                PageRequest(
                    node_id=source.holder.node_id,
                    message=self._make_request(source),
                )
            )
        return tuple(requests)

    def receive_page(
        self, sender_id: str, answer: messages.PullAnswer, now: float
    ) -> messages.PullRequest | None:
        """Records one page; returns the request for the next one, if any."""
        source = self._sources.get(sender_id)
        if source is None or source.complete or answer.cursor != source.cursor:
            return None
        if answer.lost:
            source.lost = True
        elif answer.next_cursor:
            source.cursor = answer.next_cursor
            source.requested_at = now
            return self._make_request(source)
        else:
            source.complete = True
        self._update_sealed_at(now)
        return None

    def is_complete(self, now: float) -> bool:
        """Returns whether the requesting holder may vote."""
        needed = count_blocking(len(self._sources))
        known = sum(source.complete for source in self._sources.values())
        if known >= needed:
            return bool(self._sources)
        if self._sealed_at is None:
            return False
        return now - self._sealed_at > claim_records.RETENTION_S

    def _update_sealed_at(self, now: float) -> None:
        sealed = sum(
            source.complete or source.lost for source in self._sources.values()
        )
        enough = sealed >= count_blocking(len(self._sources))
        if enough and self._sealed_at is None:
            self._sealed_at = now

    def _make_request(self, source: _Source) -> messages.PullRequest:
        return messages.PullRequest(
            shard=self._shard.number,
            epoch=self._shard.epoch,
            incarnation=source.holder.incarnation,
            cursor=source.cursor,
        )


def count_majority(holders: int) -> int:
    """Returns the least number of holders that form a majority."""
    return holders // 2 + 1


def count_blocking(holders: int) -> int:
    """Returns the least size of a set with a member in every majority."""
    return holders - count_majority(holders) + 1
