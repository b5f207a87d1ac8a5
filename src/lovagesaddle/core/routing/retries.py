"""Policies for how often calls may be repeated."""

import abc

BUDGET_SHARE = 0.2
BUDGET_CAP = 20.0
UNLIMITED_ATTEMPTS = 1_000_000


class RetryPolicy(abc.ABC):
    """Bounds the attempts of calls to one service; shared by its calls."""

    def set_nodes(self, count: int) -> None:
        """Takes the number of nodes that share one budget.

        Policies that bound each node by itself pass it over.
        """
        del count

    @abc.abstractmethod
    def count_call(self) -> None:
        """Takes the first attempt of a call."""

    @abc.abstractmethod
    def allow(self, retries: int) -> bool:
        """Asks for one more attempt, and counts it when it is allowed.

        Args:
          retries: Attempts that the call made after its first one.
        """


class UnlimitedRetries(RetryPolicy):
    """Repeats until the deadline."""

    def count_call(self) -> None:
        """Counts nothing."""

    def allow(self, retries: int) -> bool:
        """Returns True."""
        del retries
        return True


class CappedRetries(RetryPolicy):
    """A fixed number for each call.

    Args:
      cap: Attempts allowed after the first.
    """

    def __init__(self, cap: int) -> None:
        self._cap = cap

    def count_call(self) -> None:
        """Counts nothing."""

    def allow(self, retries: int) -> bool:
        """Returns whether the call is below the cap."""
        return retries < self._cap


class RetryBudget(RetryPolicy):
    """A token bucket that calls fill and retries empty.

    Retries are at most a share of the calls, whatever fails; a full bucket
    lets a short burst of failures be repeated.

    Args:
      cap: Attempts allowed after the first, for each call.
      share: Tokens that each call adds.
      bucket: Most tokens that are kept, and those at the start.
      reserve: Retries beyond the share that all nodes together may make; if
        it is above 0, each node's bucket is its part of the reserve.
    """

    def __init__(
        self,
        *,
        cap: int,
        share: float = BUDGET_SHARE,
        bucket: float = BUDGET_CAP,
        reserve: float = 0.0,
    ) -> None:
        self._reserve = reserve
        self._cap = cap
        self._share = share
        self._bucket = bucket
        self._tokens = bucket

    def set_nodes(self, count: int) -> None:
        """Takes this node's part of the reserve."""
        if self._reserve:
            self._bucket = max(1.0, self._reserve / max(1, count))
            self._tokens = min(self._tokens, self._bucket)

    def count_call(self) -> None:
        """Adds the share of one call."""
        self._tokens = min(self._bucket, self._tokens + self._share)

    def allow(self, retries: int) -> bool:
        """Takes one token, when there is one and the cap is not reached."""
        if retries >= self._cap or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
