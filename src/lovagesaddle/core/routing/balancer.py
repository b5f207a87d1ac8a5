"""Entry side: picks a backend server for each attempt of a call."""

from collections.abc import Sequence
import dataclasses
import enum
import math

from lovagesaddle.core import part
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import server_stats
from lovagesaddle.core.routing import table

MIN_AVAILABLE_SHARE = 0.5
# Above this, a body weighs more on the links between failure domains than
# some dozen other requests, so those go elsewhere first.
LARGE_BODY_BYTES = 64 * 1024


class PickReason(enum.Enum):
    """Why a backend server was picked, or none."""

    OWN_NODE = "own-node"
    OWN_DOMAIN = "own-domain"
    OTHER_DOMAIN = "other-domain"
    ANY_DOMAIN = "any-domain"
    HINTED_UNHEALTHY = "hinted-unhealthy"
    NO_ROOM = "no-room"
    NO_SERVER = "no-server"
    ALL_TRIED = "all-tried"


class AttemptResult(enum.Enum):
    """What an attempt showed about its backend server.

    ANSWERED: a whole answer that is not the server's own failure.
    REFUSED: the owner refused the request for want of room.
    DRAINING: the owner refused it because the server is leaving.
    UNREACHABLE: the owner could not be connected to.
    FAILED: the request was handed over and the server failed it.
    ABANDONED: the entry gave up for a reason that blames nobody.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pick:
    """Asks for a server; a server that is returned counts as in use.

    Attributes:
      service: Name of the service, for the log.
      version: Version of the table that the candidates come from.
      candidates: The serving servers of the service.
      tried: Server IDs that earlier attempts of the call used.
      body_bytes: Size of the request's body.
      needs_room: Whether only a server that seems to have room will do.
    """

    service: str
    version: int
    candidates: tuple[table.Candidate, ...]
    tried: frozenset[str] = frozenset()
    body_bytes: int = 0
    needs_room: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """Ends the use of a picked server; exactly one for each pick.

    Attributes:
      server_id: The picked server.
      incarnation: Its incarnation when it was picked.
      result: What the attempt showed.
      load_report: Report of the owner, when one came.
      waited_s: Time that an abandoned attempt got no answer, in seconds.
    """

    server_id: str
    incarnation: int
    result: AttemptResult
    load_report: load_reports.LoadReport | None = None
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthHinted:
    """A health endpoint spoke; it may lag or lie, so it only ranks."""

    server_id: str
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableInstalled:
    """A new table is in force.

    Attributes:
      candidates: Every serving server of the table.
    """

    candidates: tuple[table.Candidate, ...]


Event = Pick | Finished | HealthHinted | TableInstalled


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Answer to a Pick, for the call and for the log line.

    Attributes:
      server: The picked server, or None.
      reason: Why.
      service: Name of the service.
      version: Version of the table.
      candidates: Servers of the table.
      eligible: Servers left after the tried, draining and ejected ones.
    """

    server: table.Candidate | None
    reason: PickReason
    service: str
    version: int
    candidates: int
    eligible: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalancerOptions:
    """How an entry balances.

    Attributes:
      failure_domain: The entry's own.
      prefer_own_domain: Whether servers of the own failure domain go first
        while they have room.
      min_available_share: Share of a service's servers that stays available
        however many fail.
      node_id: The entry's own; empty for an entry beside no server.
      large_body_bytes: Size from which a body weighs on the links.
    """

    failure_domain: str
    prefer_own_domain: bool = True
    min_available_share: float = MIN_AVAILABLE_SHARE
    node_id: str = ""
    large_body_bytes: int = LARGE_BODY_BYTES


class Balancer(part.Part[Event, Decision]):
    """Picks servers by what this entry and the owners see of them.

    Args:
      options: How to balance.
      policy: Chooses one server out of a pool.
      source: Random numbers.
    """

    def __init__(
        self,
        *,
        options: BalancerOptions,
        policy: pick_policies.PickPolicy,
        source: pick_policies.RandomSource,
    ) -> None:
        self._options = options
        self._policy = policy
        self._source = source
        self._stats: dict[str, server_stats.ServerStats] = {}
        self._installed = False

    def step(self, event: Event, now: float) -> tuple[Decision, ...]:
        """Handles one event; a Pick is answered by one Decision."""
        match event:
            case Pick():
                return (self.pick(event, now),)
            case Finished():
                self._finish(event, now)
            case HealthHinted():
                stats = self._stats.get(event.server_id)
                if stats is not None:
                    stats.hinted_unhealthy = not event.healthy
            case TableInstalled():
                self._install(event, now)
        return ()

    def pick(self, event: Pick, now: float) -> Decision:
        """Answers one Pick."""
        eligible = self._list_eligible(event, now)
        if not eligible:
            tried = bool(event.tried)
            reason = PickReason.ALL_TRIED if tried else PickReason.NO_SERVER
            return _make_decision(event, None, reason, 0)
        is_large = event.body_bytes >= self._options.large_body_bytes
        server, reason = self._choose(eligible, now, is_large=is_large)
        if event.needs_room and reason is PickReason.NO_ROOM:
            return _make_decision(event, None, reason, len(eligible))
        self._stats[server.server_id].outstanding += 1
        return _make_decision(event, server, reason, len(eligible))

    def _choose(
        self,
        eligible: Sequence[table.Candidate],
        now: float,
        *,
        is_large: bool,
    ) -> tuple[table.Candidate, PickReason]:
        room_share = (
            server_stats.LARGE_BODY_ROOM_SHARE
            if is_large
            else server_stats.ROOM_SHARE
        )

        def cost(candidate: table.Candidate) -> float:
            stats = self._stats[candidate.server_id]
            link_s = stats.estimate_link_wait(now) if is_large else 0.0
            return stats.estimate_cost(now) + link_s

        tiers = self._list_tiers(eligible)
        if is_large:
            tiers = (self._list_own_node(eligible), *tiers)
        for pool, reason in tiers:
            if not pool:
                continue
            server = self._policy.choose(pool, cost, self._source)
            stats = self._stats[server.server_id]
            # What stays on its node crosses no link.
            crosses = is_large and reason is not PickReason.OWN_NODE
            if crosses and not stats.has_link_room(now):
                continue
            if stats.has_room(
                now,
                room_share if reason is PickReason.OWN_DOMAIN else None,
            ):
                return server, reason
        # Comparing the servers found so far would make this a choice of four
        # by stale reports, on which all entries run to the same server.
        candidates = self._list_own_domain(eligible) if is_large else eligible
        server = self._policy.choose(candidates, cost, self._source)
        return server, PickReason.NO_ROOM

    def _list_own_node(
        self, eligible: Sequence[table.Candidate]
    ) -> tuple[list[table.Candidate], PickReason]:
        """Returns the server on the entry's own node, where it is sound."""
        own_node = [
            each
            for each in eligible
            if each.node_id == self._options.node_id
            and not self._stats[each.server_id].hinted_unhealthy
        ]
        return own_node, PickReason.OWN_NODE

    def _list_own_domain(
        self, eligible: Sequence[table.Candidate]
    ) -> Sequence[table.Candidate]:
        """Returns the servers of the own failure domain, or all without any.

        A large body that is sent far to a full server is most likely sent in
        vain.
        """
        domain = self._options.failure_domain
        own = [each for each in eligible if each.failure_domain == domain]
        return own or eligible

    def _list_tiers(
        self, eligible: Sequence[table.Candidate]
    ) -> tuple[tuple[list[table.Candidate], PickReason], ...]:
        healthy: list[table.Candidate] = []
        hinted: list[table.Candidate] = []
        for server in eligible:
            stats = self._stats[server.server_id]
            (hinted if stats.hinted_unhealthy else healthy).append(server)
        last = (hinted, PickReason.HINTED_UNHEALTHY)
        if not self._options.prefer_own_domain:
            return (healthy, PickReason.ANY_DOMAIN), last
        domain = self._options.failure_domain
        own = [each for each in healthy if each.failure_domain == domain]
        other = [each for each in healthy if each.failure_domain != domain]
        return (
            (own, PickReason.OWN_DOMAIN),
            (other, PickReason.OTHER_DOMAIN),
            last,
        )

    def _list_eligible(self, event: Pick, now: float) -> list[table.Candidate]:
        available: list[table.Candidate] = []
        ejected: list[table.Candidate] = []
        for candidate in event.candidates:
            stats = self._get_or_create_stats(candidate, now)
            if now < stats.draining_until:
                continue
            (ejected if stats.is_ejected(now) else available).append(candidate)
        floor = math.ceil(
            self._options.min_available_share * (len(available) + len(ejected))
        )
        missing = floor - len(available)
        if missing > 0:
            ejected.sort(
                key=lambda each: self._stats[each.server_id].ejected_at
            )
            available.extend(ejected[:missing])
        return [each for each in available if each.server_id not in event.tried]

    def _get_or_create_stats(
        self, candidate: table.Candidate, now: float
    ) -> server_stats.ServerStats:
        stats = self._stats.get(candidate.server_id)
        if stats is None or stats.incarnation < candidate.incarnation:
            warm = candidate.is_warm or not self._installed
            stats = server_stats.create_stats(candidate, now, warm=warm)
            self._stats[candidate.server_id] = stats
        return stats

    def _finish(self, event: Finished, now: float) -> None:
        stats = self._stats.get(event.server_id)
        if stats is None or stats.incarnation != event.incarnation:
            return
        stats.outstanding = max(0, stats.outstanding - 1)
        if event.load_report is not None:
            stats.record_report(event.load_report, now)
        match event.result:
            case AttemptResult.ANSWERED:
                stats.record_success()
            case AttemptResult.DRAINING:
                stats.draining_until = now + server_stats.DRAINING_S
            case AttemptResult.UNREACHABLE:
                # Each further try would cost its caller a whole timeout.
                stats.eject(now)
            case AttemptResult.FAILED:
                stats.record_failure(now)
            case AttemptResult.ABANDONED:
                stats.record_no_answer(event.waited_s, now)
            case AttemptResult.REFUSED:
                pass

    def _install(self, event: TableInstalled, now: float) -> None:
        for candidate in event.candidates:
            self._get_or_create_stats(candidate, now)
        kept = {candidate.server_id for candidate in event.candidates}
        for server_id in [key for key in self._stats if key not in kept]:
            if not self._stats[server_id].outstanding:
                del self._stats[server_id]
        self._installed = True


def _make_decision(
    event: Pick,
    server: table.Candidate | None,
    reason: PickReason,
    eligible: int,
) -> Decision:
    return Decision(
        server=server,
        reason=reason,
        service=event.service,
        version=event.version,
        candidates=len(event.candidates),
        eligible=eligible,
    )
