"""Exponential backoff with jitter and an upper bound."""

from typing import Protocol


class Random(Protocol):
    """Source of random numbers, seeded and provided by the caller."""

    def random(self) -> float:
        """Returns a number in the half-open interval [0, 1)."""


class Backoff:
    """Computes jittered delays whose mean doubles up to a cap.

    Args:
      first_s: Mean of the first delay, in seconds.
      cap_s: Largest mean delay, in seconds.
      random: Source of the jitter.
    """

    def __init__(self, *, first_s: float, cap_s: float, random: Random) -> None:
        self._first_s = first_s
        self._cap_s = cap_s
        self._random = random
        self._mean_s = first_s

    def draw(self) -> float:
        """Returns the next delay, 0.5 to 1.5 times its mean, in seconds."""
        delay = self._mean_s * (0.5 + self._random.random())
        self._mean_s = min(self._mean_s * 2, self._cap_s)
        return delay

    def reset(self) -> None:
        """Sets the mean back to the first delay."""
        self._mean_s = self._first_s
