"""Rules for when a call may be attempted once more."""

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import call_events as events
from lovagesaddle.core.routing import retries

MAX_CRASH_RETRIES = 1

NOT_RUN_ENDINGS = frozenset(
    {
        events.Ending.UNREACHABLE,
        events.Ending.REFUSED,
        events.Ending.DRAINING,
        events.Ending.SERVER_DOWN,
        events.Ending.QUARANTINED,
        events.Ending.SHED,
    }
)


class AttemptRules:
    """Counts the attempts of one call and judges the next.

    A request that did not run may go elsewhere whatever its method. One that
    may have run is repeated only if it is idempotent, only by the first entry
    of its chain, at most once after a crash, and within the retry policy.

    Args:
      route: Of the call.
      may_retry: Whether this entry is the first of the chain.
      max_moves: Times that a request which did not run may go elsewhere.
      policy: Bounds the retries of all calls to the service.
      moves_to_room: Whether a request that found a server full moves only to
        one that seems to have room; such moves draw on no budget.
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
        self._moves_to_room = moves_need_room
        self._route = route
        self._may_retry = may_retry
        self._max_moves = max_moves
        self._policy = policy
        self._moves = 0
        self._reruns = 0
        self._crashes = 0

    def allow_another(self, ending: events.Ending) -> bool:
        """Asks for one more attempt after one that ended, and counts it."""
        if ending is events.Ending.QUARANTINED:
            return False
        if ending is events.Ending.SHED:
            # It did not run, but it reached a server and so counts as one of
            # the attempts that the route allows.
            return self._allow_attempt()
        if ending in NOT_RUN_ENDINGS:
            return self._allow_move(ending)
        if ending is events.Ending.CRASHED:
            self._crashes += 1
        if self._crashes > MAX_CRASH_RETRIES:
            return False
        return self._allow_rerun()

    def allow_hedge(self) -> bool:
        """Asks for a second attempt beside one that is late."""
        return self._allow_rerun()

    def _allow_move(self, ending: events.Ending) -> bool:
        if self._moves >= self._max_moves:
            return False
        # A server that is gone or leaving adds no load by refusing; a full
        # one says that its peers may be full too.
        is_full = ending is events.Ending.REFUSED
        if is_full and not self._moves_to_room and not self._spend():
            return False
        self._moves += 1
        return True

    def _allow_rerun(self) -> bool:
        if not self._route.idempotent or not self._may_retry:
            return False
        return self._allow_attempt()

    def _allow_attempt(self) -> bool:
        if self._reruns >= self._route.retries or not self._spend():
            return False
        self._reruns += 1
        return True

    def _spend(self) -> bool:
        return self._policy.allow(
            self._moves + self._reruns, self._route.priority
        )
