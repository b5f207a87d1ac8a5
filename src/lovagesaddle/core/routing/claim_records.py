"""In-memory store of the claims of one shard at one holder."""

import collections
import dataclasses
import heapq

from lovagesaddle.core.routing import claim_messages as messages

# Age at which a claim is removed, whatever its state.
RETENTION_S = 600.0
# Longest time after which a claim may expire.
MAX_CLAIM_S = 120.0
# Time for which a released round is remembered, to ignore its delayed claims.
TOMBSTONE_S = 240.0
# Largest number of keys with a claim, in one shard.
MAX_CLAIMS = 50_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_SHARD_ANSWER_BYTES = 8 * 1024 * 1024
# Number of keys whose claims make up a page.
PAGE_RECORDS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class _StoredRecord:
    record: messages.Record
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """A page of claims, sorted by claim ID.

    Attributes:
      records: The claims.
      next_cursor: Last claim ID of the page; empty if no page follows.
    """

    records: tuple[messages.Record, ...]
    next_cursor: bytes


class Records:
    """Stores claims by key; removes each of them after `RETENTION_S`."""

    def __init__(self) -> None:
        self._claims: dict[bytes, dict[str, _StoredRecord]] = {}
        self._ages: list[tuple[float, bytes, str]] = []
        self._released: collections.OrderedDict[str, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._claims)

    def list_claims(
        self, claim_id: bytes, now: float
    ) -> tuple[messages.Record, ...]:
        """Returns all claims on a key, with their current age."""
        stored = self._claims.get(claim_id, {})
        return tuple(_with_current_age(each, now) for each in stored.values())

    def is_released(self, token: str, round_: int) -> bool:
        """Returns whether a claimant released a round or a later one."""
        _, released = self._released.get(token, (0.0, 0))
        return round_ <= released

    def store(self, record: messages.Record, now: float) -> None:
        """Stores a claim, unless more is known of it already.

        A CLAIMED record of a released round is ignored. A record in state
        UNKNOWN or ANSWERED is never replaced by one that knows less of the
        request's end.
        """
        claimed = record.state is messages.ClaimState.CLAIMED
        if claimed and self.is_released(record.token, record.round):
            return
        held = self._claims.get(record.claim_id, {}).get(record.token)
        if held is None:
            self._add(record, now)
            return
        old = held.record
        if _get_precedence(record) > _get_precedence(old):
            self._answer_bytes -= _count_bytes(old)
            held.record = self._drop_large_answer(record)
            self._answer_bytes += _count_bytes(held.record)

    def release(
        self, claim_id: bytes, token: str, round_: int, now: float
    ) -> None:
        """Removes a claim that did not run, and records the released round."""
        self._released[token] = (
            now,
            max(round_, self._get_released_round(token)),
        )
        self._released.move_to_end(token)
        held = self._claims.get(claim_id, {}).get(token)
        if held is None or held.record.round > round_:
            return
        if held.record.state is messages.ClaimState.CLAIMED:
            self._remove(claim_id, token)

    def expire(self, now: float) -> None:
        """Removes claims and releases that are past their retention."""
        while self._ages and now - self._ages[0][0] > RETENTION_S:
            _, claim_id, token = heapq.heappop(self._ages)
            held = self._claims.get(claim_id, {}).get(token)
            if held is not None and now - held.claimed_at > RETENTION_S:
                self._remove(claim_id, token)
        while self._released:
            token, (released_at, _) = next(iter(self._released.items()))
            if now - released_at <= TOMBSTONE_S:
                break
            del self._released[token]

    def read_page(self, cursor: bytes, now: float) -> Page:
        """Returns the claims on up to `PAGE_RECORDS` keys after `cursor`."""
        keys = sorted(key for key in self._claims if key > cursor)
        page_keys = keys[:PAGE_RECORDS]
        records = tuple(
            record for key in page_keys for record in self.list_claims(key, now)
        )
        last = page_keys[-1] if len(keys) > PAGE_RECORDS else b""
        return Page(records=records, next_cursor=last)

    def _add(self, record: messages.Record, now: float) -> None:
        record = self._drop_large_answer(record)
        claimed_at = now - record.age_s
        stored = _StoredRecord(record=record, claimed_at=claimed_at)
        self._claims.setdefault(record.claim_id, {})[record.token] = stored
        age = (claimed_at, record.claim_id, record.token)
        heapq.heappush(self._ages, age)
        self._answer_bytes += _count_bytes(record)

    def _remove(self, claim_id: bytes, token: str) -> None:
        stored = self._claims[claim_id].pop(token)
        self._answer_bytes -= _count_bytes(stored.record)
        if not self._claims[claim_id]:
            del self._claims[claim_id]

    def _drop_large_answer(self, record: messages.Record) -> messages.Record:
        size = _count_bytes(record)
        fits = self._answer_bytes + size <= MAX_SHARD_ANSWER_BYTES
        if record.answer is None or (size <= MAX_ANSWER_BYTES and fits):
            return record
        answer = messages.StoredAnswer(status=record.answer.status, kept=False)
        return dataclasses.replace(record, answer=answer)

    def _get_released_round(self, token: str) -> int:
        return self._released.get(token, (0.0, 0))[1]


def _with_current_age(stored: _StoredRecord, now: float) -> messages.Record:
    return dataclasses.replace(stored.record, age_s=now - stored.claimed_at)


def _get_precedence(record: messages.Record) -> tuple[int, int]:
    order = {
        messages.ClaimState.CLAIMED: 0,
        messages.ClaimState.UNKNOWN: 1,
        messages.ClaimState.ANSWERED: 2,
    }
    return order[record.state], record.round


def _count_bytes(record: messages.Record) -> int:
    if record.answer is None:
        return 0
    headers = record.answer.headers
    return len(record.answer.body) + sum(
        len(header.name) + len(header.value) for header in headers
    )
