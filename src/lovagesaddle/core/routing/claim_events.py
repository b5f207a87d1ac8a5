"""Events and actions of a claim at its entry."""

import dataclasses
import enum

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages


class RefusalReason(enum.Enum):
    """Why a request with an Idempotency-Key does not run now."""

    OTHER_BODY = "other-body"
    DEADLINE = "deadline"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    NO_MAJORITY = "no-majority"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """Begins the claim."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A holder answered.

    Attributes:
      sender_id: The holder's node.
      message: A ClaimVote or a Settled; others are ignored.
    """

    sender_id: str
    message: messages.ClaimMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the last SetTimer is reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardChanged:
    """A newer snapshot assigns the shard to other holders."""

    shard: snapshots.Shard


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The request ended after a Run.

    Attributes:
      outcome: None when a whole answer came, else what is known.
      answer: The whole answer, if one came.
    """

    outcome: outcomes.RequestOutcome | None
    answer: messages.StoredAnswer | None = None


Event = Started | Received | TimerFired | ShardChanged | Ended


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message to a holder, which may be this node."""

    node_id: str
    message: messages.ClaimMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """The claim is granted: start the call, and report its end by Ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Answer the caller with the stored answer."""

    answer: messages.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Answer the caller with a failure.

    Attributes:
      status: HTTP status.
      outcome: Value of the Request-Outcome header.
      reason: Why.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The caller may be answered: a majority keeps the end of the call.

    Attributes:
      acknowledged: False when that could not be shown in time.
    """

    acknowledged: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Asks for a TimerFired; replaces the timer before it."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Nothing more will be sent; the claim can be dropped."""


Action = Send | Run | Replay | Refuse | Settled | SetTimer | Finish
