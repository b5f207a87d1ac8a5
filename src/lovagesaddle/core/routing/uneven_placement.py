"""Places requests on servers of uneven speed that tell their slowdown.

This is for services whose servers differ in speed by a factor of three, some
slowed for parts of a second, with few slots each, whose entries hear of a
server about once a second, and where bytes between failure domains are dear.
"""

from collections.abc import Mapping, Sequence
import dataclasses

import msgspec

from lovagesaddle.core.routing import balancer_events as events
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import server_stats
from lovagesaddle.core.routing import slowdowns
from lovagesaddle.core.routing import table

# Weight of one report in the mean run time of a kind, and in the slowness of a
# server.
KIND_WEIGHT = 0.05
SLOWNESS_WEIGHT = 0.3
MAX_KINDS = 1024
# A slowness learnt this long ago no longer counts.
SLOWNESS_FADE_S = 10.0

Stats = Mapping[str, server_stats.ServerStats]
Choice = tuple[table.Candidate, events.PickReason, bool]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementOptions:
    """Options of the placement on uneven servers.

    Attributes:
      draws: Number of servers that are compared; 0 for all.
      stay_share: Share of the time left to the target that the expected time
        in the own failure domain may take before others are considered.
      gain_share: Share of that time by which a server in another failure
        domain has to be faster.
      crowding: Weight of the chance that a slot is not free although the
        server is expected to have one.
      moves: Whether owners may refuse what they expect to answer late.
    """

    draws: int = 4
    stay_share: float = 0.7
    gain_share: float = 0.1
    crowding: float = 4.0
    moves: bool = True


class UnevenPlacement:
    """Chooses the server with the least expected time of a few drawn ones.

    Args:
      failure_domain: Failure domain of the entry node.
      options: Options.
      source: Source of random numbers.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        options: PlacementOptions,
        source: pick_policies.RandomSource,
    ) -> None:
        self._failure_domain = failure_domain
        self._options = options
        self._source = source
        self._usual_s: dict[str, float] = {}

    def record_report(
        self, finished: events.Finished, stats: server_stats.ServerStats
    ) -> None:
        """Records what the report of an ended attempt tells of its server."""
        report = finished.load_report
        if report is None or isinstance(report.slowdown, msgspec.UnsetType):
            return
        stats.tells_slowdown = True
        # The owner still counts the request that it answers.
        answered = finished.result is events.AttemptResult.ANSWERED
        total = report.running + report.queued - answered
        stats.others_at_report = max(0, total - stats.outstanding)
        usual_s = report.usual_run_s
        if isinstance(usual_s, msgspec.UnsetType) or usual_s <= 0:
            return
        mean_s = self._usual_s.get(finished.kind)
        if mean_s is None:
            if len(self._usual_s) >= MAX_KINDS:
                self._usual_s.clear()
            mean_s = usual_s
        mean_s += KIND_WEIGHT * (usual_s - mean_s)
        self._usual_s[finished.kind] = mean_s
        ratio = usual_s / mean_s
        before = stats.slowness or ratio
        stats.slowness = before + SLOWNESS_WEIGHT * (ratio - before)

    def choose(
        self,
        event: events.Pick,
        eligible: Sequence[table.Candidate],
        stats: Stats,
        now: float,
    ) -> Choice:
        """Returns a server, the reason, and whether the request may move on.

        Args:
          event: The pick.
          eligible: Servers to choose from; at least one.
          stats: Statistics of each.
          now: Monotonic time in seconds.
        """
        healthy = [
            each
            for each in eligible
            if not stats[each.server_id].hinted_unhealthy
        ]
        pool = healthy or eligible
        own: list[table.Candidate] = []
        others: list[table.Candidate] = []
        for each in pool:
            is_own = each.failure_domain == self._failure_domain
            (own if is_own else others).append(each)
        use = _compute_use(pool, stats)

        def expect(candidate: table.Candidate) -> float:
            return self._estimate_time(
                stats[candidate.server_id], event.kind, use, now
            )

        target_s = max(0.0, event.target_s or 0.0)
        best, best_s = self._draw(own or pool, expect)
        reason = _get_reason(own, healthy)
        # A request without a target, or late for it, leaves a full domain only.
        leaves = (
            best_s > target_s * self._options.stay_share
            if target_s
            else not _has_room(stats[best.server_id], use, now)
        )
        if own and others and leaves:
            other, other_s = self._draw(others, expect)
            gain_s = (target_s or best_s) * self._options.gain_share
            if other_s + gain_s < best_s:
                best, best_s = other, other_s
                reason = events.PickReason.OTHER_DOMAIN
        has_room = _has_room(stats[best.server_id], use, now)
        if not has_room and best_s > target_s:
            reason = events.PickReason.NO_ROOM
        may_move = (
            self._options.moves
            and target_s > 0
            and not event.tried
            and len(pool) > 1
            and use < 1
        )
        return best, reason, may_move

    def _draw(
        self,
        pool: Sequence[table.Candidate],
        expect: pick_policies.Cost,
    ) -> tuple[table.Candidate, float]:
        """Returns the best of a few random servers, and its expected time."""
        draws = self._options.draws or len(pool)
        order = list(range(len(pool)))
        best: table.Candidate | None = None
        best_s = 0.0
        for index in range(min(draws, len(pool))):
            other = index + self._source.randrange(len(pool) - index)
            order[index], order[other] = order[other], order[index]
            candidate = pool[order[index]]
            expected_s = expect(candidate)
            if best is None or expected_s < best_s:
                best, best_s = candidate, expected_s
        assert best is not None
        return best, best_s

    def _estimate_time(
        self,
        stats: server_stats.ServerStats,
        kind: str,
        use: float,
        now: float,
    ) -> float:
        """Returns the expected time of one more request, in seconds."""
        usual_s = self._usual_s.get(kind, server_stats.MIN_LATENCY_S)
        factor = _estimate_factor(stats, now)
        run_s = usual_s * factor
        slots = stats.estimate_limit(now)
        load = _estimate_load(stats, use, slots, now)
        excess = max(0.0, load + 1 - slots)
        crowding = self._options.crowding * (load / slots) ** 2
        wait_s = run_s * (excess + crowding) / slots
        return max(
            run_s + wait_s, stats.estimate_unanswered_wait(now)
        ) + stats.estimate_start_wait(now)


def _estimate_factor(stats: server_stats.ServerStats, now: float) -> float:
    """Returns how much longer than the mean work takes at a server now."""
    report = stats.report
    if report is None or isinstance(report.slowdown, msgspec.UnsetType):
        return stats.slowness or 1.0
    age_s = now - stats.reported_at
    freshness = max(0.0, 1 - age_s / slowdowns.FADE_S)
    slowdown = 1 + (report.slowdown - 1) * freshness
    known = max(0.0, 1 - age_s / SLOWNESS_FADE_S) if stats.slowness else 0.0
    return (1 + (stats.slowness - 1) * known) * slowdown


def _estimate_load(
    stats: server_stats.ServerStats, use: float, slots: float, now: float
) -> float:
    """Returns the expected number of requests there, of all entries.

    As the report ages, the server counts as loaded as the others: a server of
    which nothing was heard is not an idle one.
    """
    if stats.report is None:
        return max(float(stats.outstanding), use * slots)
    age_s = now - stats.reported_at
    freshness = max(0.0, 1 - age_s / server_stats.REPORT_FADE_S)
    reported = stats.outstanding + stats.others_at_report
    unheard = max(float(stats.outstanding), use * slots)
    return freshness * reported + (1 - freshness) * unheard


def _has_room(stats: server_stats.ServerStats, use: float, now: float) -> bool:
    """Returns whether a slot is expected to be free for one more request."""
    slots = stats.estimate_limit(now)
    return _estimate_load(stats, use, slots, now) + 1 <= slots


def _compute_use(pool: Sequence[table.Candidate], stats: Stats) -> float:
    """Returns the mean share of slots in use, by the newest reports."""
    uses = [
        (report.running + report.queued) / max(1, report.limit)
        for each in pool
        if (report := stats[each.server_id].report) is not None
    ]
    return sum(uses) / len(uses) if uses else 0.0


def _get_reason(
    own: Sequence[table.Candidate], healthy: Sequence[table.Candidate]
) -> events.PickReason:
    if not healthy:
        return events.PickReason.HINTED_UNHEALTHY
    if own:
        return events.PickReason.OWN_DOMAIN
    return events.PickReason.OTHER_DOMAIN
