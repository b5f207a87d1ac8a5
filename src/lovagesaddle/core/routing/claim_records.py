"""Memory of one holder for the claims of one shard."""

import collections
import dataclasses
import heapq

from lovagesaddle.core.routing import claim_messages as messages

RETENTION_S = 600.0
MAX_CLAIM_S = 120.0
TOMBSTONE_S = 240.0
MAX_CLAIMS = 50_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_SHARD_ANSWER_BYTES = 8 * 1024 * 1024
PAGE_RECORDS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class _Kept:
    record: messages.Record
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Some claims in the order of their IDs.

    Attributes:
      records: The claims.
      next_cursor: Claim ID to go on after; empty when none is left.
    """

    records: tuple[messages.Record, ...]
    next_cursor: bytes


class Records:
    """Claims by key; a claim is forgotten after `RETENTION_S`."""

    def __init__(self) -> None:
        self._claims: dict[bytes, dict[str, _Kept]] = {}
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
        """Returns every claim on a key, with its present age."""
        kept = self._claims.get(claim_id, {})
        return tuple(_age(each, now) for each in kept.values())

    def is_released(self, token: str, round_: int) -> bool:
        """Returns whether a round of a claimant was given up."""
        _, released = self._released.get(token, (0.0, 0))
        return round_ <= released

    def store(self, record: messages.Record, now: float) -> None:
        """Keeps a claim; what is known of its end is never unlearnt."""
        claimed = record.state is messages.ClaimState.CLAIMED
        if claimed and self.is_released(record.token, record.round):
            return
        held = self._claims.get(record.claim_id, {}).get(record.token)
        if held is None:
            self._add(record, now)
            return
        old = held.record
        if _rank(record) > _rank(old):
            self._answer_bytes -= _count_bytes(old)
            held.record = self._trim(record)
            self._answer_bytes += _count_bytes(held.record)

    def release(
        self, claim_id: bytes, token: str, round_: int, now: float
    ) -> None:
        """Forgets a claim that did not run, and its rounds that are late."""
        self._released[token] = (now, max(round_, self._find_round(token)))
        self._released.move_to_end(token)
        held = self._claims.get(claim_id, {}).get(token)
        if held is None or held.record.round > round_:
            return
        if held.record.state is messages.ClaimState.CLAIMED:
            self._drop(claim_id, token)

    def expire(self, now: float) -> None:
        """Forgets what is older than it has to be."""
        while self._ages and now - self._ages[0][0] > RETENTION_S:
            _, claim_id, token = heapq.heappop(self._ages)
            held = self._claims.get(claim_id, {}).get(token)
            if held is not None and now - held.claimed_at > RETENTION_S:
                self._drop(claim_id, token)
        while self._released:
            token, (released_at, _) = next(iter(self._released.items()))
            if now - released_at <= TOMBSTONE_S:
                break
            del self._released[token]

    def read_page(self, cursor: bytes, now: float) -> Page:
        """Returns the claims after `cursor`, at most `PAGE_RECORDS` keys."""
        keys = sorted(key for key in self._claims if key > cursor)
        taken = keys[:PAGE_RECORDS]
        records = tuple(
            record for key in taken for record in self.list_claims(key, now)
        )
        last = taken[-1] if len(keys) > PAGE_RECORDS else b""
        return Page(records=records, next_cursor=last)

    def _add(self, record: messages.Record, now: float) -> None:
        record = self._trim(record)
        claimed_at = now - record.age_s
        kept = _Kept(record=record, claimed_at=claimed_at)
        self._claims.setdefault(record.claim_id, {})[record.token] = kept
        age = (claimed_at, record.claim_id, record.token)
        heapq.heappush(self._ages, age)
        self._answer_bytes += _count_bytes(record)

    def _drop(self, claim_id: bytes, token: str) -> None:
        kept = self._claims[claim_id].pop(token)
        self._answer_bytes -= _count_bytes(kept.record)
        if not self._claims[claim_id]:
            del self._claims[claim_id]

    def _trim(self, record: messages.Record) -> messages.Record:
        size = _count_bytes(record)
        fits = self._answer_bytes + size <= MAX_SHARD_ANSWER_BYTES
        if record.answer is None or (size <= MAX_ANSWER_BYTES and fits):
            return record
        answer = messages.StoredAnswer(status=record.answer.status, kept=False)
        return dataclasses.replace(record, answer=answer)

    def _find_round(self, token: str) -> int:
        return self._released.get(token, (0.0, 0))[1]


def _age(kept: _Kept, now: float) -> messages.Record:
    return dataclasses.replace(kept.record, age_s=now - kept.claimed_at)


def _rank(record: messages.Record) -> tuple[int, int]:
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
