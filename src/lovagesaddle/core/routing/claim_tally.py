"""Counts the votes of one round of a claim."""

import dataclasses
import enum

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull
from lovagesaddle.core.routing import claim_records

RETENTION_MARGIN_S = 60.0


class ResultKind(enum.Enum):
    """What the votes of a round say.

    OPEN: too few votes to say anything.
    GRANTED: a majority granted the claim.
    ANSWERED: the request ran before and was answered.
    OTHER_BODY: the key was used for another request.
    ENDED_UNKNOWN: an attempt ended or died with its outcome unknown.
    IN_PROGRESS: another attempt may be running.
    SPLIT: nobody can be shown to hold the key.
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
      kind: What the votes say.
      answer: The stored answer when the kind is ANSWERED.
    """

    kind: ResultKind
    answer: messages.StoredAnswer | None = None


class VoteTally:
    """Votes of the holders of one epoch on one round.

    Args:
      shard: The shard in the epoch that is asked.
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
        """Counts one vote; votes of other rounds and epochs are ignored."""
        same_epoch = vote.epoch == self._shard.epoch
        same_round = vote.round == self._round
        if same_epoch and same_round and sender_id in self._holders:
            self._votes.setdefault(sender_id, vote)

    def evaluate(self, *, final: bool) -> RoundResult:
        """Returns what the votes say so far.

        Args:
          final: Whether no more votes are waited for.
        """
        votes = self._votes.values()
        granted = sum(vote.vote is messages.Vote.GRANTED for vote in votes)
        majority = claim_pull.count_majority(len(self._holders))
        if granted >= majority:
            return RoundResult(kind=ResultKind.GRANTED)
        held = [record for vote in votes for record in vote.held]
        same = [each for each in held if each.body_digest == self._body_digest]
        for record in same:
            if record.state is messages.ClaimState.ANSWERED:
                return RoundResult(
                    kind=ResultKind.ANSWERED, answer=record.answer
                )
        if not final and len(votes) < len(self._holders):
            return RoundResult(kind=ResultKind.OPEN)
        return RoundResult(kind=self._evaluate_claims(held, same))

    def _evaluate_claims(
        self, held: list[messages.Record], same: list[messages.Record]
    ) -> ResultKind:
        if not held:
            return ResultKind.SPLIT
        if not all(_is_ended(record) for record in held):
            return ResultKind.IN_PROGRESS
        if not same and any(_has_run(record) for record in held):
            return ResultKind.OTHER_BODY
        return ResultKind.ENDED_UNKNOWN


def _has_run(record: messages.Record) -> bool:
    """Returns whether the request of a claim was started for certain.

    Then no other request with the key ran or will. A claim that only lapsed
    may still be released, and one that is old may be forgotten elsewhere.
    """
    if record.state is messages.ClaimState.CLAIMED:
        return False
    return record.age_s < claim_records.RETENTION_S - RETENTION_MARGIN_S


def _is_ended(record: messages.Record) -> bool:
    if record.state is not messages.ClaimState.CLAIMED:
        return True
    return record.age_s > record.expires_s
