"""Policies that choose one backend server out of a pool."""

import abc
from collections.abc import Callable, Sequence
from typing import Protocol

from lovagesaddle.core.routing import table


class RandomSource(Protocol):
    """Seeded source of random numbers, handed in by the shell."""

    def random(self) -> float:
        """Returns a number in [0, 1)."""

    def randrange(self, stop: int, /) -> int:
        """Returns an integer in [0, stop)."""


Cost = Callable[[table.Candidate], float]


class PickPolicy(abc.ABC):
    """Chooses one of several backend servers that may all be picked."""

    @abc.abstractmethod
    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns one server of a pool that is not empty.

        Args:
          pool: Servers to choose from.
          cost: Expected cost of a request at a server; lower is better.
          source: Random numbers.
        """


class RandomPick(PickPolicy):
    """Any server, whatever its load."""

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
    """The server with the least cost of all, the first one on a tie."""

    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns the cheapest server."""
        del source
        return min(pool, key=cost)


class TwoChoicesPick(PickPolicy):
    """The cheaper of two random servers.

    Entries that share the same stale reports don't all run to the same
    server, as they would with the least cost of all.
    """

    def choose(
        self,
        pool: Sequence[table.Candidate],
        cost: Cost,
        source: RandomSource,
    ) -> table.Candidate:
        """Returns the cheaper of two distinct random servers."""
        count = len(pool)
        first = source.randrange(count)
        if count == 1:
            return pool[first]
        second = source.randrange(count - 1)
        second += second >= first
        return min(pool[first], pool[second], key=cost)
