"""Rules that decide whether a call may make another attempt."""

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import retries

MAX_CRASH_RETRIES = 1

NOT_RUN_ENDINGS = frozenset(
    {
        events.Ending.UNREACHABLE,
        events.Ending.REFUSED,
        events.Ending.EXPECTED_LATE,
        events.Ending.RATE_LIMITED,
        events.Ending.DRAINING,
        events.Ending.SERVER_DOWN,
        events.Ending.QUARANTINED,
        events.Ending.ROUTE_OUTDATED,
        events.Ending.SHED,
    }
)
# No server of the service may run the request.
FINAL_ENDINGS = frozenset(
    {events.Ending.QUARANTINED, events.Ending.ROUTE_OUTDATED}
)


class AttemptRules:
    """Counts the attempts of one call and decides whether to allow another.

    A request that did not run may move to another server whatever its method.
    One that may have run is repeated only if it is idempotent, only by the
    first entry of its chain, at most once after a crash, and within the retry
    policy.

    Args:
      route: Route of the call.
      may_retry: Whether this entry node is the first of the chain.
      max_moves: How often a request that did not run may move to another
        server.
      policy: Limits the retries of all calls to the service.
      moves_need_room: Whether a request that was refused by a full server
        moves only to one that seems to have room; such moves don't use the
        retry budget.
    """

    def __init__(
        self,
        *,
        route: services.Route,
        may_retry: bool,
        max_moves: int,
        policy: retries.RetryPolicy,
        moves_need_room: bool = False,
    ) -> None:
        self._moves_need_room = moves_need_room
        self._route = route
        self._may_retry = may_retry
        self._max_moves = max_moves
        self._policy = policy
        self._moves = 0
        self._retries = 0
        self._crashes = 0

    def allow_another(self, ending: events.Ending) -> bool:
        """Returns whether an attempt may follow an ended one, and counts it."""
        if ending in FINAL_ENDINGS:
            return False
        if ending is events.Ending.SHED:
            # The request did not run, but it reached a server and so counts
            # as one of the retries that the route allows.
            return self._allow_retry()
        if ending in NOT_RUN_ENDINGS:
            return self._allow_move(ending)
        if ending is events.Ending.CRASHED:
            self._crashes += 1
        if self._crashes > MAX_CRASH_RETRIES:
            return False
        return self._allow_rerun()

    def allow_hedge(self) -> bool:
        """Returns whether a late attempt may be hedged, and counts it."""
        return self._allow_rerun()

    def _allow_move(self, ending: events.Ending) -> bool:
        if self._moves >= self._max_moves:
            return False
        # A refusal by a server that is down or draining adds no load, so only a
        # move from a full server uses the retry budget: the other servers may
        # be full too.
        is_full = ending is events.Ending.REFUSED
        if is_full and not self._moves_need_room and not self._request_retry():
            return False
        self._moves += 1
        return True

    def _allow_rerun(self) -> bool:
        if not self._route.idempotent or not self._may_retry:
            return False
        return self._allow_retry()

    def _allow_retry(self) -> bool:
        if self._retries >= self._route.retries or not self._request_retry():
            return False
        self._retries += 1
        return True

    def _request_retry(self) -> bool:
        return self._policy.allow(
            self._moves + self._retries, self._route.priority
        )
