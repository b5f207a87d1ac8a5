"""Counts the votes of holders in one round of a claim."""

import dataclasses
import enum

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull
from lovagesaddle.core.routing import claim_records

# Holders may remove the same claim at different times: one holder may remove it
# this long before its retention ends at another.
RETENTION_MARGIN_S = 60.0


class ResultKind(enum.Enum):
    """What the votes of a round prove.

    OPEN: too few votes arrived to prove anything.
    GRANTED: a majority granted the claim.
    ANSWERED: the request ran before and was answered.
    OTHER_BODY: the key was used for another request.
    ENDED_UNKNOWN: an attempt ended or expired with an unknown outcome.
    IN_PROGRESS: another attempt may be running.
    SPLIT: no majority granted the claim, and no other claim is known.
    """

    OPEN = "open"
    GRANTED = "granted"
    ANSWERED = "answered"
    OTHER_BODY = "other-body"
    ENDED_UNKNOWN = "ended-unknown"
    IN_PROGRESS = "in-progress"
    SPLIT = "split"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoundResult:
    """Result of a round.

    Attributes:
      kind: What the votes prove.
      answer: The stored answer when the kind is ANSWERED.
    """

    kind: ResultKind
    answer: messages.StoredAnswer | None = None


class VoteTally:
    """Counts the votes on one round by the holders of one epoch.

    Args:
      shard: The shard in the epoch of the round.
      round_: Number of the round.
      body_digest: Digest of the claimant's request.
    """

    def __init__(
        self, *, shard: snapshots.Shard, round_: int, body_digest: bytes
    ) -> None:
        self._shard = shard
        self._round = round_
        self._body_digest = body_digest
        self._holders = {holder.node_id for holder in shard.holders}
        self._votes: dict[str, messages.ClaimVote] = {}

    def add_vote(self, sender_id: str, vote: messages.ClaimVote) -> None:
        """Counts one vote; ignores votes of other rounds, epochs and nodes."""
        same_epoch = vote.epoch == self._shard.epoch
        same_round = vote.round == self._round
        if same_epoch and same_round and sender_id in self._holders:
            self._votes.setdefault(sender_id, vote)

    def evaluate(self, *, final: bool) -> RoundResult:
        """Returns the result of the votes counted so far.

        Args:
          final: Whether the wait for more votes is over.
        """
        votes = self._votes.values()
        granted = sum(vote.vote is messages.Vote.GRANTED for vote in votes)
        majority = claim_pull.count_majority(len(self._holders))
        if granted >= majority:
            return RoundResult(kind=ResultKind.GRANTED)
        claims = [record for vote in votes for record in vote.held]
        same_request = [
            each for each in claims if each.body_digest == self._body_digest
        ]
        for record in same_request:
            if record.state is messages.ClaimState.ANSWERED:
                return RoundResult(
                    kind=ResultKind.ANSWERED, answer=record.answer
                )
        if not final and len(votes) < len(self._holders):
            return RoundResult(kind=ResultKind.OPEN)
        return RoundResult(kind=self._evaluate_claims(claims, same_request))

    def _evaluate_claims(
        self, claims: list[messages.Record], same_request: list[messages.Record]
    ) -> ResultKind:
        if not claims:
            return ResultKind.SPLIT
        if not all(_is_ended(record) for record in claims):
            return ResultKind.IN_PROGRESS
        if not same_request and any(_has_started(record) for record in claims):
            return ResultKind.OTHER_BODY
        return ResultKind.ENDED_UNKNOWN


def _has_started(record: messages.Record) -> bool:
    """Returns whether the request of a claim is known to have started.

    If so, no other request with the key ran or will run. A claim that only
    expired may still be released, and one that is nearly as old as the
    retention may be forgotten by other holders.
    """
    if record.state is messages.ClaimState.CLAIMED:
        return False
    return record.age_s < claim_records.RETENTION_S - RETENTION_MARGIN_S


def _is_ended(record: messages.Record) -> bool:
    if record.state is not messages.ClaimState.CLAIMED:
        return True
    return record.age_s > record.expires_s
