"""Messages about claims on Idempotency-Keys, on `Channel.CLAIMS`.

Each may be lost, doubled or late; none relies on the order of arrival.
"""

import dataclasses
import enum

from lovagesaddle.core import codec


class ClaimState(enum.Enum):
    """What a holder knows of the request behind a claim.

    CLAIMED: it may be running, or its entry died with it.
    ANSWERED: it ran, and its whole answer is kept if it was small enough.
    UNKNOWN: its entry could not learn whether it ran.
    """

    CLAIMED = 1
    ANSWERED = 2
    UNKNOWN = 3


class Vote(enum.Enum):
    """A holder's answer to a claim.

    GRANTED: the holder knows of no other claim and keeps this one.
    HELD: the holder keeps another claim, or this one's end.
    WRONG_EPOCH: the holder does not vote in the epoch of the claim.
    NOT_READY: the holder does not know all claims of the shard yet.
    FULL: the holder has no memory for one more claim.
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
    """A whole answer of a backend server.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: The body; empty when `kept` is False.
      kept: False when the body was too large to keep.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    kept: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One claim on a key, as a holder keeps it.

    Attributes:
      claim_id: Digest of service, client and Idempotency-Key.
      token: Unique for the request that claims.
      round: Number of the claimant's try, counted from 1.
      body_digest: Digest of method, target and body.
      state: What is known of the request.
      age_s: Seconds since the claim.
      expires_s: Age at which a CLAIMED request can't be running any more.
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
      shard: Of the request.
      epoch: Of the request.
      token: Of the request.
      round: Of the request.
      vote: The answer.
      held: What the holder keeps for the key when the vote is HELD.
    """

    shard: int
    epoch: int
    token: str
    round: int
    vote: Vote
    held: tuple[Record, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreRequest:
    """Tells a holder how the request of a claim ended."""

    shard: int
    record: Record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseRequest:
    """Tells a holder that the request of a claim did not run and won't.

    Attributes:
      shard: Of the claim.
      claim_id: Of the claim.
      token: Of the claim.
      round: Last round that is given up; an older or equal one that comes
        later is ignored.
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
    """Asks a holder of the epoch before for its claims, page by page.

    Receiving it ends the receiver's votes in every epoch before `epoch`.

    Attributes:
      shard: Number of the shard.
      epoch: Epoch of the asking holder.
      incarnation: Incarnation of the asked node when it was assigned.
      cursor: Claim ID to go on after; empty for the first page.
    """

    shard: int
    epoch: int
    incarnation: int
    cursor: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullAnswer:
    """One page of claims.

    Attributes:
      shard: Of the request.
      epoch: Of the request.
      cursor: Of the request.
      lost: True when the asked node has no memory of that epoch, and so
        never votes in it again.
      next_cursor: Where the next page begins; empty on the last one.
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
