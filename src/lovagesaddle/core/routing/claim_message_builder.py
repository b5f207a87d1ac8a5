"""Builds the messages from a claimant to the holders of its claim."""

import dataclasses

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_records

# A claim expires this long after the deadline of its request.
CLAIM_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimMessageBuilder:
    """Builds messages from the fields that all messages of a claim share.

    Attributes:
      number: Number of the shard.
      claim_id: Digest of service, client and key.
      body_digest: Digest of method, target and body.
      token: Token of the claimant.
      deadline: Monotonic time by which the caller gets an answer, in seconds.
    """

    number: int
    claim_id: bytes
    body_digest: bytes
    token: str
    deadline: float

    def build_claim(self, round_: int, now: float) -> messages.Record:
        """Returns the record of the claim, for holders to store."""
        expires_s = max(0.0, self.deadline - now) + CLAIM_GRACE_S
        return messages.Record(
            claim_id=self.claim_id,
            token=self.token,
            round=round_,
            body_digest=self.body_digest,
            state=messages.ClaimState.CLAIMED,
            age_s=0.0,
            expires_s=min(expires_s, claim_records.MAX_CLAIM_S),
        )

    def build_release(self, round_: int) -> messages.ReleaseRequest:
        """Returns the release of a round whose request did not run."""
        return messages.ReleaseRequest(
            shard=self.number,
            claim_id=self.claim_id,
            token=self.token,
            round=round_,
        )

    def build_end(
        self, ended: events.Ended, round_: int, now: float
    ) -> messages.StoreRequest | messages.ReleaseRequest:
        """Returns the message that reports how the request ended."""
        if ended.outcome is outcomes.RequestOutcome.NOT_RUN:
            return self.build_release(round_)
        state = messages.ClaimState.UNKNOWN
        if ended.answer is not None:
            state = messages.ClaimState.ANSWERED
        record = dataclasses.replace(
            self.build_claim(round_, now), state=state, answer=ended.answer
        )
        return messages.StoreRequest(shard=self.number, record=record)
