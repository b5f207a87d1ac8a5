"""Events and actions of one call at its entry."""

import dataclasses
import enum

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import balancer
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import feedback as feedback_lib
from lovagesaddle.core.routing import table


class Ending(enum.Enum):
    """How an attempt ended, as the entry saw it.

    The first six are proof that the request did not run in this attempt.

    UNREACHABLE: no connection to the owner, so not a byte was sent.
    REFUSED: the owner refused it for want of room or time.
    DRAINING: the owner refused it because its server is leaving.
    SERVER_DOWN: the owner refused it because its server is gone.
    QUARANTINED: the owner refused it because it crashes servers.
    SHED: the server itself says that it did not run it.
    ANSWERED: a whole answer of the backend server came.
    LOST: the connection broke, or the answer was cut or malformed.
    CRASHED: the owner says that its server died while it ran.
    TIMED_OUT: the owner gave up waiting for its server.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    DRAINING = "draining"
    SERVER_DOWN = "server-down"
    QUARANTINED = "quarantined"
    SHED = "shed"
    ANSWERED = "answered"
    LOST = "lost"
    CRASHED = "crashed"
    TIMED_OUT = "timed-out"


class FailureReason(enum.Enum):
    """Why the entry answers a call itself."""

    DEADLINE = "deadline"
    DEPTH = "depth"
    NO_SERVER = "no-server"
    REFUSED = "refused"
    QUARANTINED = "quarantined"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """What a call has to do.

    Attributes:
      request_id: Unique; attempts derive theirs from it.
      service: Name of the service.
      route: The matched route.
      version: Version of the table that matched it.
      chain: What came with the request.
      arrived_at: Monotonic time of its arrival, in seconds.
    """

    request_id: str
    service: str
    route: services.Route
    version: int
    chain: chain_lib.Chain
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """The request is whole, matched, authorised and not quarantined."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Picked:
    """Answers a PickServer.

    Attributes:
      decision: What the balancer decided, from the table asked for.
    """

    decision: balancer.Decision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """An attempt is over.

    Attributes:
      number: Of the attempt.
      ending: How it ended.
      status: HTTP status of an ANSWERED attempt, else 0.
      feedback: Report of the owner, when one came.
      retry_after_s: When the owner expects room, in seconds.
    """

    number: int
    ending: Ending
    status: int = 0
    feedback: feedback_lib.Feedback | None = None
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the last SetTimer is reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller hung up."""


Event = Started | Picked | AttemptEnded | TimerFired | CallerGone


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PickServer:
    """Asks the balancer for a server; answer at once with Picked.

    Attributes:
      service: Name of the service.
      newest: False for the table the call started with, True for the newest.
      tried: Server IDs of earlier attempts.
      needs_room: Whether only a server that seems to have room will do.
    """

    service: str
    newest: bool
    tried: frozenset[str]
    needs_room: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Hands the request to the owner of a server.

    Attributes:
      number: Of the attempt, counted from 1.
      attempt_id: Unique among all attempts of all calls.
      server: Where to.
      chain: What the owner and the backend server have to see.
      deadline: Monotonic time by which the owner has to answer, in seconds.
    """

    number: int
    attempt_id: str
    server: table.Candidate
    chain: chain_lib.Chain
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Closes the connection of an attempt; its end is not reported back."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseServer:
    """Tells the balancer how a picked server did."""

    finished: balancer.Finished


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Asks for a TimerFired; replaces the timer before it."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Passes the answer of an attempt on; the call is over.

    Attributes:
      number: Of the attempt.
      outcome: Header to add; None on an answer that is no failure.
    """

    number: int
    outcome: outcomes.RequestOutcome | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailCaller:
    """Answers the caller with a failure of the mesh; the call is over.

    Attributes:
      status: HTTP status.
      outcome: Value of the Request-Outcome header.
      reason: Why, for the body and the log line.
      retry_after_s: Value of the Retry-After header; 0 for none.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: FailureReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndCall:
    """The caller is gone; nobody is answered."""

    outcome: outcomes.RequestOutcome


Action = (
    PickServer
    | SendAttempt
    | CancelAttempt
    | ReleaseServer
    | SetTimer
    | AnswerCaller
    | FailCaller
    | EndCall
)
