"""One holder's taking over of the claims of the epoch before."""

import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_records

ASK_AGAIN_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PageRequest:
    """A page to ask a former holder for."""

    node_id: str
    message: messages.PullRequest


@dataclasses.dataclass(slots=True, kw_only=True)
class _Source:
    holder: snapshots.Holder
    cursor: bytes = b""
    complete: bool = False
    lost: bool = False
    asked_at: float = float("-inf")


class Pull:
    """Claims of the former holders, until enough of them were heard.

    Enough means that every majority of the former holders has one among
    those heard. A former holder that lost its memory can't tell its claims
    but votes no more; then the pull waits until all of them have lapsed.

    Args:
      shard: The shard in the epoch of the asking holder.
    """

    def __init__(self, *, shard: snapshots.Shard) -> None:
        self._shard = shard
        self._sources = {
            holder.node_id: _Source(holder=holder) for holder in shard.previous
        }
        self._sealed_at: float | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the asking holder."""
        return self._shard.epoch

    def list_due_requests(self, now: float) -> tuple[PageRequest, ...]:
        """Returns what to ask for now, and counts it as asked."""
        requests: list[PageRequest] = []
        for source in self._sources.values():
            due = now - source.asked_at >= ASK_AGAIN_S
            if source.complete or source.lost or not due:
                continue
            source.asked_at = now
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
        """Takes one page; returns the request for the next one, if any."""
        source = self._sources.get(sender_id)
        if source is None or source.complete or answer.cursor != source.cursor:
            return None
        if answer.lost:
            source.lost = True
        elif answer.next_cursor:
            source.cursor = answer.next_cursor
            source.asked_at = now
            return self._make_request(source)
        else:
            source.complete = True
        self._note_sealed(now)
        return None

    def is_complete(self, now: float) -> bool:
        """Returns whether the asking holder may vote."""
        needed = count_blocking(len(self._sources))
        known = sum(source.complete for source in self._sources.values())
        if known >= needed:
            return bool(self._sources)
        if self._sealed_at is None:
            return False
        return now - self._sealed_at > claim_records.RETENTION_S

    def _note_sealed(self, now: float) -> None:
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
    """Returns how many of some holders have to agree."""
    return holders // 2 + 1


def count_blocking(holders: int) -> int:
    """Returns the least number of holders that every majority meets."""
    return holders - count_majority(holders) + 1
