"""Delays between attempts that spread out and stay bounded."""

from typing import Protocol


class Random(Protocol):
    """Source of random numbers, handed in by the shell with its seed."""

    def random(self) -> float:
        """Returns a number from 0 up to but not including 1."""


class Backoff:
    """Doubles a jittered delay up to a cap.

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
        """Returns the next delay, from half to one and a half of its mean."""
        delay = self._mean_s * (0.5 + self._random.random())
        self._mean_s = min(self._mean_s * 2, self._cap_s)
        return delay

    def reset(self) -> None:
        """Starts again from the first delay."""
        self._mean_s = self._first_s
