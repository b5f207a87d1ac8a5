"""Policies that limit how often calls are retried."""

import abc

BUDGET_SHARE = 0.2
BUDGET_MAX_TOKENS = 20.0
UNLIMITED_ATTEMPTS = 1_000_000
# Share of the token bucket that a retry leaves to more urgent calls, for each
# step of its priority below the most urgent one, which is 0.
RANK_RESERVE = 0.25
# Maximum share that a retry of any priority leaves.
MAX_RESERVE = 0.75


class RetryPolicy(abc.ABC):
    """Limits the retries of calls to one service; shared by its calls."""

    def set_node_count(self, count: int) -> None:
        """Sets the number of nodes that share one budget.

        Policies that limit each node separately ignore it.
        """
        del count

    @abc.abstractmethod
    def count_call(self) -> None:
        """Records the first attempt of a call."""

    @abc.abstractmethod
    def allow(self, retries: int, priority: int = 0) -> bool:
        """Returns whether one more attempt is allowed, and counts it if so.

        Args:
          retries: Attempts that the call made after its first one.
          priority: Priority of the call's route; 0 is the most urgent.
        """


class UnlimitedRetries(RetryPolicy):
    """Allows any number of retries until the deadline."""

    def count_call(self) -> None:
        """Counts nothing."""

    def allow(self, retries: int, priority: int = 0) -> bool:
        """Returns True."""
        del retries, priority
        return True


class CappedRetries(RetryPolicy):
    """Allows a fixed number of retries for each call.

    Args:
      cap: Attempts allowed after the first.
    """

    def __init__(self, cap: int) -> None:
        self._cap = cap

    def count_call(self) -> None:
        """Counts nothing."""

    def allow(self, retries: int, priority: int = 0) -> bool:
        """Returns whether the call is below the cap."""
        del priority
        return retries < self._cap


class RetryBudget(RetryPolicy):
    """Limits retries by a token bucket to which calls add tokens.

    Retries are at most a share of the calls, whatever fails; a full bucket
    allows a short burst of retries. Each priority leaves a part of the bucket
    to the more urgent ones. This is for servers that shed a share of all
    requests: there are then far fewer tokens than requests to retry, and the
    most urgent requests get them.

    Args:
      cap: Attempts allowed after the first, for each call.
      share: Tokens that each call adds.
      bucket: Capacity of the bucket in tokens; it is full at the start, unless
        there is a reserve.
      reserve: Retries beyond the share that all nodes together may make; if
        above 0, each node's bucket holds an equal part of the reserve. It is
        empty at the start, since an earlier process of the node may have
        spent the node's part.
    """

    def __init__(
        self,
        *,
        cap: int,
        share: float = BUDGET_SHARE,
        bucket: float = BUDGET_MAX_TOKENS,
        reserve: float = 0.0,
    ) -> None:
        self._reserve = reserve
        self._cap = cap
        self._share = share
        self._bucket = bucket
        self._tokens = 0.0 if reserve else bucket

    def set_node_count(self, count: int) -> None:
        """Sizes the bucket to this node's part of the reserve."""
        if self._reserve:
            self._bucket = max(1.0, self._reserve / max(1, count))
            self._tokens = min(self._tokens, self._bucket)

    def count_call(self) -> None:
        """Adds the tokens of one call."""
        self._tokens = min(self._bucket, self._tokens + self._share)

    def allow(self, retries: int, priority: int = 0) -> bool:
        """Takes one token if enough are left and the cap is not reached."""
        reserved_share = min(RANK_RESERVE * max(0, priority), MAX_RESERVE)
        needed = 1 + reserved_share * (self._bucket - 1)
        if retries >= self._cap or self._tokens < needed:
            return False
        self._tokens -= 1
        return True
