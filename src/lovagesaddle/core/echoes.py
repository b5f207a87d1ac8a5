"""Numbers that a process sends and others return, to date what they state.

A statement that carries such a number was made after the number was sent.
However long the statement then waited, in a link, in a buffer or in a process
that was paused, its age is measured by the receiver's clock alone.
"""

import collections
import math
from typing import Protocol

# Sent in place of a number by a process that has none to send or to return.
NONE = 0
# Range of the first number, so that a process does not recognise the numbers
# of an earlier process at its address.
FIRST_NUMBERS = 2**31
# Numbers that may be under way at the same time.
KEPT_NUMBERS = 64


class Random(Protocol):
    """Source of random numbers, provided by the caller."""

    def random(self) -> float:
        """Returns a number in the half-open interval [0, 1)."""


class Echoes:
    """Numbers the messages of a process and recognises the returned numbers.

    Args:
      random: Source of the first number.
    """

    def __init__(self, random: Random) -> None:
        self._last = NONE + int(random.random() * FIRST_NUMBERS)
        self._sent_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def send(self, now: float) -> int:
        """Returns a new number, which is sent at `now` in seconds."""
        self._last += 1
        self._sent_at[self._last] = now
        if len(self._sent_at) > KEPT_NUMBERS:
            self._sent_at.popitem(last=False)
        return self._last

    @property
    def last_sent_at(self) -> float | None:
        """When the newest number was sent, in seconds; None before that."""
        return self._sent_at.get(self._last)

    def date(self, number: int, age_s: float | None) -> float | None:
        """Returns the time that a statement with a returned number proves.

        Args:
          number: The returned number.
          age_s: How old the statement says it may be when it is made, in
            seconds; None if it does not say.

        Returns:
          When the number was sent, less the age, in seconds. None if the number
          was not sent lately, or the age is missing or absurd.
        """
        sent_at = self._sent_at.get(number)
        if sent_at is None or age_s is None or not 0 <= age_s < math.inf:
            return None
        return sent_at - age_s
