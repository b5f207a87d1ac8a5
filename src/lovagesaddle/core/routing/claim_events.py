"""Events and actions of the state machine of a claim at an entry node."""

import dataclasses
import enum

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages


class RefusalReason(enum.Enum):
    """Why a request with an Idempotency-Key is refused."""

    OTHER_BODY = "other-body"
    DEADLINE = "deadline"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    NO_MAJORITY = "no-majority"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """Starts the claim."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message from a holder arrived.

    Attributes:
      sender_id: Node ID of the holder.
      message: A ClaimVote or a Settled; others are ignored.
    """

    sender_id: str
    message: messages.ClaimMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the last SetTimer has been reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardChanged:
    """A newer snapshot assigns the shard to other holders."""

    shard: snapshots.Shard


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The request that was started by a Run ended.

    Attributes:
      outcome: None when a complete answer arrived, else what is known.
      answer: The complete answer, if one arrived.
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
    """Starts the call of a granted claim; its end is reported by Ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Answers the caller with the stored answer."""

    answer: messages.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Answers the caller with a failure.

    Attributes:
      status: HTTP status.
      outcome: Value of the Request-Outcome header.
      reason: Why the request is refused.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """Permits the entry node to answer the caller after the call ended.

    Attributes:
      acknowledged: Whether a majority of the holders stored the end; False if
        too few holders acknowledged the end in time.
    """

    acknowledged: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Requests a TimerFired at a monotonic time; replaces the last one."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Ends the claim; nothing more is sent for it."""


Action = Send | Run | Replay | Refuse | Settled | SetTimer | Finish
