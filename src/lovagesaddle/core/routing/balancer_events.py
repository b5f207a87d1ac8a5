"""Events and decisions of the load balancer of an entry node."""

import dataclasses
import enum

from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import table


class PickReason(enum.Enum):
    """Reasons for which a backend server was picked, or none was."""

    OWN_NODE = "own-node"
    OWN_DOMAIN = "own-domain"
    OTHER_DOMAIN = "other-domain"
    ANY_DOMAIN = "any-domain"
    HINTED_UNHEALTHY = "hinted-unhealthy"
    NO_ROOM = "no-room"
    RATE_LIMITED = "rate-limited"
    NO_SERVER = "no-server"
    ALL_TRIED = "all-tried"


class AttemptResult(enum.Enum):
    """Results of an attempt, as far as they concern its backend server.

    ANSWERED: a complete answer that reports no failure of the server.
    REFUSED: the owner refused the request for lack of room.
    DRAINING: the owner refused it because the server is leaving.
    UNREACHABLE: the connection to the owner failed.
    FAILED: the request was sent to the server and the server failed it.
    ABANDONED: the entry node gave up for a reason that is no fault of the
      server.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """Asks for a server; a picked server has one more request outstanding.

    Attributes:
      service: Name of the service, for the log.
      version: Version of the table that the candidates come from.
      candidates: The serving servers of the service.
      tried: Server IDs that earlier attempts of the call used.
      body_bytes: Size of the request body, in bytes.
      needs_room: Whether to pick no server if all seem to be full.
      skips_rate_limited: Whether to pick no server if the stated rates of all
        seem to be used up.
      kind: Kind of the request: name of its route.
      target_s: Time left of its target latency, in seconds; None without one.
    """

    service: str
    version: int
    candidates: tuple[table.Candidate, ...]
    tried: frozenset[str] = frozenset()
    body_bytes: int = 0
    needs_room: bool = False
    skips_rate_limited: bool = False
    kind: str = ""
    target_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """Reports the end of the attempt on a picked server, once per pick.

    Attributes:
      server_id: The picked server.
      incarnation: Its incarnation when it was picked.
      result: Result of the attempt.
      load_report: Load report of the owner, if one arrived.
      waited_s: Time that an abandoned attempt waited for an answer, in seconds.
      kind: Kind of the request: name of its route.
    """

    server_id: str
    incarnation: int
    result: AttemptResult
    load_report: load_reports.LoadReport | None = None
    waited_s: float = 0.0
    kind: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthHinted:
    """Reports the state of a health endpoint.

    It may be late or wrong, so an unhealthy server is only picked last.
    """

    server_id: str
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableInstalled:
    """Reports that a new routing table is in force.

    Attributes:
      candidates: All serving servers of the table.
    """

    candidates: tuple[table.Candidate, ...]


Event = Pick | Finished | HealthHinted | TableInstalled


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Result of a Pick, for the call and for the log line.

    Attributes:
      server: The picked server, or None.
      reason: Reason of the pick.
      service: Name of the service.
      version: Version of the table.
      candidates: Number of candidates of the pick.
      eligible: Number of candidates that are not tried, draining or ejected.
      may_move: Whether the owner may refuse the request if it would miss its
        target there, as another server may answer in time.
    """

    server: table.Candidate | None
    reason: PickReason
    service: str
    version: int
    candidates: int
    eligible: int
    may_move: bool = False
