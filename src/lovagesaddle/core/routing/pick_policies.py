"""Policies that choose a backend server out of a pool."""

import abc
from collections.abc import Callable, Sequence
from typing import Protocol

from lovagesaddle.core.routing import table


class RandomSource(Protocol):
    """Source of random numbers, which the shell seeds and provides."""

    def random(self) -> float:
        """Returns a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Returns an integer in [0, stop)."""


Cost = Callable[[table.Candidate], float]


class PickPolicy(abc.ABC):
    """Chooses one of several eligible backend servers."""

    @abc.abstractmethod
    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns one server of a non-empty pool.

        Args:
          pool: Servers to choose from; at least one.
          cost: Returns the expected cost of a request at a server, in seconds.
          source: Source of random numbers.
        """


class RandomPick(PickPolicy):
    """Chooses a random server, whatever its load."""

    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns a random server."""
        del cost
        return pool[source.randrange(len(pool))]


class LeastCostPick(PickPolicy):
    """Chooses the server with the least cost, the first one on a tie."""

    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns the server with the least cost."""
        del source
        return min(pool, key=cost)


class TwoChoicesPick(PickPolicy):
    """Chooses the server of lower cost out of two random ones.

    If the server of least cost were chosen out of all, entry nodes with the
    same stale reports would all send their requests to the same server.
    """

    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns the server of lower cost of two distinct random ones."""
        count = len(pool)
        first = source.randrange(count)
        if count == 1:
            return pool[first]
        second = source.randrange(count - 1)
        second += second >= first
        return min(pool[first], pool[second], key=cost)
