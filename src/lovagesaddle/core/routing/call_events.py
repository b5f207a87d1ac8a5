"""Events and actions of the state machine of a call at an entry node."""

import dataclasses
import enum

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import balancer_events
from lovagesaddle.core.routing import call_chain as chain_lib
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import table


class Ending(enum.Enum):
    """How an attempt ended, as seen by the entry node.

    The first nine prove that the request did not run in this attempt.

    UNREACHABLE: no connection to the owner, so not a byte was sent.
    REFUSED: the owner refused the request for lack of room or time.
    EXPECTED_LATE: the owner refused the request because it would miss its
      target there, while another server may answer in time.
    RATE_LIMITED: the owner refused the request because its server has stated
      how many requests a second it takes.
    DRAINING: the owner refused the request because its server is draining.
    SERVER_DOWN: the owner refused the request because its server is down.
    QUARANTINED: the owner refused the request because it crashes servers.
    ROUTE_OUTDATED: the owner refused the request because a newer publication
      does not route it to the server's service.
    SHED: the backend server answered that it did not run the request.
    ANSWERED: the backend server's complete answer arrived.
    LOST: the connection broke, or the answer was truncated or malformed.
    CRASHED: the owner reported that its server died during the request.
    TIMED_OUT: the owner timed out while waiting for its server.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    EXPECTED_LATE = "expected-late"
    RATE_LIMITED = "rate-limited"
    DRAINING = "draining"
    SERVER_DOWN = "server-down"
    QUARANTINED = "quarantined"
    ROUTE_OUTDATED = "route-outdated"
    SHED = "shed"
    ANSWERED = "answered"
    LOST = "lost"
    CRASHED = "crashed"
    TIMED_OUT = "timed-out"


class FailureReason(enum.Enum):
    """Why the entry node answers a call with a failure of its own."""

    DEADLINE = "deadline"
    DEPTH = "depth"
    NO_SERVER = "no-server"
    REFUSED = "refused"
    QUARANTINED = "quarantined"
    ROUTE_OUTDATED = "route-outdated"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """The request that a call has to run.

    Attributes:
      request_id: Unique; attempt IDs are derived from it.
      service: Name of the service.
      route: The matched route.
      version: Version of the table that matched it.
      chain: Chain that the request's headers carried.
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
    """The request is complete, matched, authorised and not quarantined."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Picked:
    """Answers a PickServer.

    Attributes:
      decision: The balancer's decision, made with the requested table.
    """

    decision: balancer_events.Decision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
      number: Number of the attempt.
      ending: How it ended.
      status: HTTP status of an ANSWERED attempt, else 0.
      load_report: The owner's load report; None without one.
      retry_after_s: Time until the owner expects room, in seconds.
    """

    number: int
    ending: Ending
    status: int = 0
    load_report: load_reports.LoadReport | None = None
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time of the last SetTimer has been reached."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller closed its connection."""


Event = Started | Picked | AttemptEnded | TimerFired | CallerGone


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PickServer:
    """Asks the balancer for a server; to be answered at once with Picked.

    Attributes:
      service: Name of the service.
      newest: True for the newest table, False for the one that the call
        started with.
      tried: Server IDs of earlier attempts.
      needs_room: Whether to pick only a server that seems to have room.
      skips_rate_limited: Whether to pick only a server whose stated rate seems
        to allow another request now.
    """

    service: str
    newest: bool
    tried: frozenset[str]
    needs_room: bool = False
    skips_rate_limited: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Sends the request to the owner of a server.

    Attributes:
      number: Number of the attempt, counted from 1.
      attempt_id: Unique among all attempts of all calls.
      server: Server whose owner gets the request.
      chain: Chain to pass on to the owner and the backend server.
      deadline: Monotonic time by which the owner has to answer, in seconds.
    """

    number: int
    attempt_id: str
    server: table.Candidate
    chain: chain_lib.Chain
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Closes the connection of an attempt; no AttemptEnded follows."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseServer:
    """Reports the result of a picked server to the balancer."""

    finished: balancer_events.Finished


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetTimer:
    """Requests a TimerFired at a monotonic time; replaces the last one."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Forwards the answer of an attempt to the caller; the call is over.

    Attributes:
      number: Number of the attempt.
      outcome: Value of the Request-Outcome header; None if the answer is not
        a failure.
    """

    number: int
    outcome: outcomes.RequestOutcome | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailCaller:
    """Answers the caller with a failure of the mesh; the call is over.

    Attributes:
      status: HTTP status.
      outcome: Value of the Request-Outcome header.
      reason: Why it failed, for the body and the log line.
      retry_after_s: Value of the Retry-After header; 0 for none.
    """

    status: int
    outcome: outcomes.RequestOutcome
    reason: FailureReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndCall:
    """Ends the call without an answer, since the caller is gone."""

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
