"""Messages about claims on Idempotency-Keys, on `Channel.CLAIMS`.

Each may be lost, duplicated or delayed; no receiver relies on their order.
"""

import dataclasses
import enum

from lovagesaddle.core import codec


class ClaimState(enum.Enum):
    """What a holder knows of the request of a claim.

    CLAIMED: the request may be running, or its entry node died before the
      request ended.
    ANSWERED: the request ran; its answer is stored if it is small enough.
    UNKNOWN: the entry node could not find out whether the request ran.
    """

    CLAIMED = 1
    ANSWERED = 2
    UNKNOWN = 3


class Vote(enum.Enum):
    """A holder's vote on a claim.

    GRANTED: the holder knows of no other claim on the key and stores the claim.
    HELD: the holder has another claim on the key, or knows that the claim
      voted on has ended or was released.
    WRONG_EPOCH: the holder does not vote in the epoch of the claim.
    NOT_READY: the holder does not know all claims of the shard yet.
    FULL: the holder can store no more claims, or the claim would be valid for
      too long.
    """

    GRANTED = 1
    HELD = 2
    WRONG_EPOCH = 3
    NOT_READY = 4
    FULL = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """A header of a stored answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A complete answer of a backend server.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: The body; empty when `kept` is False.
      kept: False when the answer was too large to store.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    kept: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One claim on a key, as a holder stores it.

    Attributes:
      claim_id: Digest of service, client and Idempotency-Key.
      token: Unique ID of the claiming request.
      round: Number of the claimant's round of votes, counted from 1.
      body_digest: Digest of method, target and body.
      state: What is known of the request.
      age_s: Age of the claim in seconds.
      expires_s: Age in seconds after which a CLAIMED request can no longer be
        running.
      answer: The answer of an ANSWERED request.
    """

    claim_id: bytes
    token: str
    round: int
    body_digest: bytes
    state: ClaimState
    age_s: float
    expires_s: float
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Asks a holder for its vote; `record` is in state CLAIMED."""

    shard: int
    epoch: int
    record: Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimVote:
    """Answers a ClaimRequest.

    Attributes:
      shard: Shard of the ClaimRequest.
      epoch: Epoch of the ClaimRequest.
      token: Token of the ClaimRequest's record.
      round: Round of the ClaimRequest's record.
      vote: The holder's vote.
      held: The holder's claims on the key when the vote is HELD.
    """

    shard: int
    epoch: int
    token: str
    round: int
    vote: Vote
    held: tuple[Record, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRequest:
    """Reports to a holder how the request of a claim ended."""

    shard: int
    record: Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseRequest:
    """Reports to a holder that a claim's request did not and will not run.

    Attributes:
      shard: Shard of the claim.
      claim_id: ID of the claim.
      token: Token of the claim.
      round: Last released round; a claim of this or an earlier round that
        arrives later is ignored.
    """

    shard: int
    claim_id: bytes
    token: str
    round: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """Acknowledges a StoreRequest or a ReleaseRequest, with its round."""

    shard: int
    token: str
    round: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullRequest:
    """Asks a holder of the previous epoch for a page of its claims.

    A node that received it no longer votes in any epoch before `epoch`.

    Attributes:
      shard: Number of the shard.
      epoch: Epoch of the requesting holder.
      incarnation: Incarnation that the receiver had when it was assigned.
      cursor: Last claim ID of the page before; empty for the first page.
    """

    shard: int
    epoch: int
    incarnation: int
    cursor: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullAnswer:
    """One page of claims.

    Attributes:
      shard: Shard of the PullRequest.
      epoch: Epoch of the PullRequest.
      cursor: Cursor of the PullRequest.
      lost: True when the sender has no claims of the previous epoch in
        memory, and so never votes in it again.
      next_cursor: Cursor of the next page; empty on the last one.
      records: The claims of the page.
    """

    shard: int
    epoch: int
    cursor: bytes
    lost: bool
    next_cursor: bytes = b""
    records: tuple[Record, ...] = ()


ClaimMessage = (
    ClaimRequest
    | ClaimVote
    | StoreRequest
    | ReleaseRequest
    | Settled
    | PullRequest
    | PullAnswer
)

CLAIM_MESSAGES: codec.Registry[ClaimMessage] = codec.Registry(
    name="claim message",
    kinds={
        1: ClaimRequest,
        2: ClaimVote,
        3: StoreRequest,
        4: ReleaseRequest,
        5: Settled,
        6: PullRequest,
        7: PullAnswer,
    },
)
