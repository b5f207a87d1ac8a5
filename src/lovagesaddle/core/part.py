"""The shape that every part of the core shares."""

import abc
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


class Part(abc.ABC, Generic[EventT, ActionT]):
    """A deterministic state machine that is driven from outside.

    A part reads no clock, opens no file or socket and draws no unseeded
    random number: the shell gives it events and the time, and carries out
    the actions it returns, in their order.
    """

    @abc.abstractmethod
    def step(self, event: EventT, now: float) -> tuple[ActionT, ...]:
        """Handles one event.

        Args:
          event: What happened.
          now: Monotonic time in seconds; never decreases between calls.

        Returns:
          What the shell has to do, in order.
        """
