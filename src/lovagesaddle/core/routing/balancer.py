"""Load balancer of an entry node: picks a server for each attempt."""

from collections.abc import Sequence
import dataclasses
import math

from lovagesaddle.core import state_machine
from lovagesaddle.core.routing import balancer_events as events
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import server_stats
from lovagesaddle.core.routing import table
from lovagesaddle.core.routing import uneven_placement

MIN_AVAILABLE_SHARE = 0.5
# A larger body loads the links between failure domains more than some dozen
# other requests, so these other requests are the first to go to another failure
# domain.
LARGE_BODY_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalancerOptions:
    """Options of a balancer.

    Attributes:
      failure_domain: Failure domain of the entry node.
      prefer_own_domain: Whether servers of the own failure domain are picked
        first while they have room.
      min_available_share: Share of a service's servers that stays available
        however many fail, 0 to 1.
      node_id: ID of the entry node; empty to prefer no server of that node.
      large_body_bytes: Size from which a body counts as large, in bytes.
      uneven: Options of the placement on servers that tell their slowdown.
    """

    failure_domain: str
    prefer_own_domain: bool = True
    min_available_share: float = MIN_AVAILABLE_SHARE
    node_id: str = ""
    large_body_bytes: int = LARGE_BODY_BYTES
    uneven: uneven_placement.PlacementOptions = dataclasses.field(
        default_factory=uneven_placement.PlacementOptions
    )


class Balancer(state_machine.StateMachine[events.Event, events.Decision]):
    """Picks servers by the load reports of owners and this node's statistics.

    Args:
      options: Options of the balancer.
      policy: Chooses one server out of a pool.
      source: Source of random numbers.
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
        self._uneven = uneven_placement.UnevenPlacement(
            failure_domain=options.failure_domain,
            options=options.uneven,
            source=source,
        )
        self._installed = False
        # When the last stated rate that is used up allows a request again.
        self._rates_used_until = 0.0

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Decision, ...]:
        """Handles one event; returns one Decision for a Pick."""
        match event:
            case events.Pick():
                return (self.pick(event, now),)
            case events.Finished():
                self._finish(event, now)
            case events.HealthHinted():
                stats = self._stats.get(event.server_id)
                if stats is not None:
                    stats.hinted_unhealthy = not event.healthy
            case events.TableInstalled():
                self._install(event, now)
        return ()

    def pick(self, event: events.Pick, now: float) -> events.Decision:
        """Picks a server, or none; counts the request as outstanding there."""
        eligible = self._list_eligible(event, now)
        if not eligible:
            tried = bool(event.tried)
            reason = (
                events.PickReason.ALL_TRIED
                if tried
                else events.PickReason.NO_SERVER
            )
            return _make_decision(event, None, reason, 0)
        startable = self._list_within_rate(eligible, now)
        if startable:
            eligible = startable
        elif event.skips_rate_limited:
            reason = events.PickReason.RATE_LIMITED
            return _make_decision(event, None, reason, len(eligible))
        is_large = event.body_bytes >= self._options.large_body_bytes
        may_move = False
        if not is_large and self._is_uneven(eligible):
            server, reason, may_move = self._uneven.choose(
                event, eligible, self._stats, now
            )
        else:
            server, reason = self._choose(eligible, now, is_large=is_large)
        if event.needs_room and reason is events.PickReason.NO_ROOM:
            return _make_decision(event, None, reason, len(eligible))
        self._stats[server.server_id].outstanding += 1
        decision = _make_decision(event, server, reason, len(eligible))
        if not may_move:
            return decision
        return dataclasses.replace(decision, may_move=True)

    def _is_uneven(self, eligible: Sequence[table.Candidate]) -> bool:
        """Returns whether servers of a service tell their slowdown."""
        return self._options.prefer_own_domain and any(
            self._stats[each.server_id].tells_slowdown for each in eligible
        )

    def estimate_run_time(self, candidates: Sequence[table.Candidate]) -> float:
        """Returns the mean run time at some servers, in seconds.

        It is 0 if none of them has reported one.
        """
        reported = [
            stats.report.latency_s
            for candidate in candidates
            if (stats := self._stats.get(candidate.server_id)) is not None
            and stats.report is not None
            and stats.report.latency_s
        ]
        return sum(reported) / len(reported) if reported else 0.0

    def _choose(
        self,
        eligible: Sequence[table.Candidate],
        now: float,
        *,
        is_large: bool,
    ) -> tuple[table.Candidate, events.PickReason]:
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
            # A body for a server on this node crosses no link.
            crosses = is_large and reason is not events.PickReason.OWN_NODE
            if crosses and not stats.has_link_room(now):
                continue
            if stats.has_room(
                now,
                room_share if reason is events.PickReason.OWN_DOMAIN else None,
            ):
                return server, reason
        # Chooses anew: a comparison of the servers chosen above would be a
        # choice among four by stale reports, which sends the requests of all
        # entry nodes to the same server.
        candidates = self._list_own_domain(eligible) if is_large else eligible
        server = self._policy.choose(candidates, cost, self._source)
        return server, events.PickReason.NO_ROOM

    def _list_own_node(
        self, eligible: Sequence[table.Candidate]
    ) -> tuple[list[table.Candidate], events.PickReason]:
        """Returns the healthy server on the entry node itself, if any."""
        own_node = [
            each
            for each in eligible
            if each.node_id == self._options.node_id
            and not self._stats[each.server_id].hinted_unhealthy
        ]
        return own_node, events.PickReason.OWN_NODE

    def _list_own_domain(
        self, eligible: Sequence[table.Candidate]
    ) -> Sequence[table.Candidate]:
        """Returns the servers of the own failure domain, or all if it has none.

        A full server in another failure domain would most likely refuse a large
        body after it has crossed the link.
        """
        domain = self._options.failure_domain
        own = [each for each in eligible if each.failure_domain == domain]
        return own or eligible

    def _list_tiers(
        self, eligible: Sequence[table.Candidate]
    ) -> tuple[tuple[list[table.Candidate], events.PickReason], ...]:
        healthy: list[table.Candidate] = []
        hinted: list[table.Candidate] = []
        for server in eligible:
            stats = self._stats[server.server_id]
            (hinted if stats.hinted_unhealthy else healthy).append(server)
        last = (hinted, events.PickReason.HINTED_UNHEALTHY)
        if not self._options.prefer_own_domain:
            return (healthy, events.PickReason.ANY_DOMAIN), last
        domain = self._options.failure_domain
        own = [each for each in healthy if each.failure_domain == domain]
        other = [each for each in healthy if each.failure_domain != domain]
        return (
            (own, events.PickReason.OWN_DOMAIN),
            (other, events.PickReason.OTHER_DOMAIN),
            last,
        )

    def _list_eligible(
        self, event: events.Pick, now: float
    ) -> list[table.Candidate]:
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

    def _list_within_rate(
        self, eligible: list[table.Candidate], now: float
    ) -> list[table.Candidate]:
        """Returns the servers whose stated rates allow a request now."""
        if now >= self._rates_used_until:
            return eligible
        return [
            each
            for each in eligible
            if not self._stats[each.server_id].estimate_start_wait(now)
        ]

    def _get_or_create_stats(
        self, candidate: table.Candidate, now: float
    ) -> server_stats.ServerStats:
        stats = self._stats.get(candidate.server_id)
        if stats is None or stats.incarnation < candidate.incarnation:
            warm = candidate.is_warm or not self._installed
            stats = server_stats.create_stats(candidate, now, warm=warm)
            self._stats[candidate.server_id] = stats
        return stats

    def _finish(self, event: events.Finished, now: float) -> None:
        stats = self._stats.get(event.server_id)
        if stats is None or stats.incarnation != event.incarnation:
            return
        stats.outstanding = max(0, stats.outstanding - 1)
        if event.load_report is not None:
            stats.record_report(event.load_report, now)
            self._uneven.record_report(event, stats)
            if event.load_report.start_wait_s:
                self._rates_used_until = max(
                    self._rates_used_until,
                    now + event.load_report.start_wait_s,
                )
        match event.result:
            case events.AttemptResult.ANSWERED:
                stats.record_success()
            case events.AttemptResult.DRAINING:
                stats.draining_until = now + server_stats.DRAINING_S
            case events.AttemptResult.UNREACHABLE:
                # The server is ejected at once: every further attempt at an
                # unreachable server would cost the caller a full timeout.
                stats.eject(now)
            case events.AttemptResult.FAILED:
                stats.record_failure(now)
            case events.AttemptResult.ABANDONED:
                stats.record_no_answer(event.waited_s, now)
            case events.AttemptResult.REFUSED:
                pass

    def _install(self, event: events.TableInstalled, now: float) -> None:
        for candidate in event.candidates:
            self._get_or_create_stats(candidate, now)
        kept = {candidate.server_id for candidate in event.candidates}
        for server_id in [key for key in self._stats if key not in kept]:
            if not self._stats[server_id].outstanding:
                del self._stats[server_id]
        self._installed = True


def _make_decision(
    event: events.Pick,
    server: table.Candidate | None,
    reason: events.PickReason,
    eligible: int,
) -> events.Decision:
    return events.Decision(
        server=server,
        reason=reason,
        service=event.service,
        version=event.version,
        candidates=len(event.candidates),
        eligible=eligible,
    )
