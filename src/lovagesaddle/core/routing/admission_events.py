"""Events and actions of an owner's admission control."""

import dataclasses
import enum

from lovagesaddle.core.routing import server_load


class RefusalReason(enum.Enum):
    """Reasons for which an owner refuses a request.

    Each reason proves that the request did not run, except DUPLICATE: the
    first copy of the attempt may be running.
    """

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    SERVER_DOWN = "server-down"
    DUPLICATE = "duplicate"
    CANCELLED = "cancelled"
    RATE_LIMIT = "rate-limit"
    EXPECTED_LATE = "expected-late"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """Reports that a request has arrived and needs a slot.

    Attributes:
      request_id: Unique among the attempts that this owner holds.
      priority: Priority of its route; 0 is the most urgent.
      deadline: Monotonic time by which its answer must arrive, in seconds.
      target: Monotonic time of the target latency of its route, in seconds;
        None if the route states no target.
      kind: Name of its route; runs of one kind take similar times.
      suspect: Whether the request may crash the server; one suspect runs at a
        time.
      has_reservation: Whether the owner granted the transfer of its body
        beforehand; such a request is queued even if the queue is full.
      may_move: Whether the entry knows another server that may answer within
        the target, so that the request is refused if this one can't.
      account: Client account that sent it; empty without one.
      account_rank: Priority of that account; 0 is the most urgent.
    """

    request_id: str
    priority: int
    deadline: float
    target: float | None = None
    kind: str = ""
    suspect: bool = False
    has_reservation: bool = False
    may_move: bool = False
    account: str = ""
    account_rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """Reports that a run ended, for whatever reason; this frees its slot.

    Attributes:
      request_id: ID of the request.
      failed: Whether the backend server shed or failed it.
    """

    request_id: str
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """Reports that the entry node cancelled a request, queued or running.

    The slot is freed at once, since the shell closes the connection to the
    backend server before it sends this event.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Reports that the backend server is leaving: admits nothing new."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDown:
    """Reports that the server is unreachable: refuses the queue."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerUp:
    """Reports that the backend server announced itself, possibly cold.

    Attributes:
      slots: Number of requests that it runs at a time.
    """

    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateStated:
    """Reports whether an answer of the server states a limit of its rate.

    It comes before the request's Ended.

    Attributes:
      request_id: ID of the answered request.
      rate: Requests a second; None if the answer states no limit.
    """

    request_id: str
    rate: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateKnown:
    """Reports a limit that the server stated before this owner started.

    Attributes:
      rate: Requests a second.
    """

    rate: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadStated:
    """Reports what an answer of the server tells of its load.

    It comes before the request's Ended.

    Attributes:
      load: The load.
    """

    load: server_load.ServerLoad


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Reports that time has passed."""


Event = (
    Arrived
    | Ended
    | Cancelled
    | Drain
    | ServerDown
    | ServerUp
    | RateStated
    | RateKnown
    | LoadStated
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """Gives the request a slot: the shell sends it to the server now.

    Attributes:
      request_id: ID of the request.
      waited_s: Time that it spent in the queue, in seconds.
    """

    request_id: str
    waited_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Refuses this copy of the request, which did not and will not run.

    Attributes:
      request_id: ID of the request.
      reason: Reason of the refusal.
      retry_after_s: Time until a slot is expected to be free, in seconds.
    """

    request_id: str
    reason: RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """Reports that no request is queued or running after a Drain."""


Action = Admitted | Refused | Drained
