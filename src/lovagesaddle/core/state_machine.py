"""Base class of the deterministic state machines of the core."""

import abc
from typing import Generic, TypeVar

EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


class StateMachine(abc.ABC, Generic[EventT, ActionT]):
    """A deterministic state machine that turns events into actions.

    A state machine reads no clock, opens no file or socket and draws no
    unseeded random number. The shell, which does all I/O, passes it events
    and the time and carries out the returned actions in their order.
    """

    @abc.abstractmethod
    def step(self, event: EventT, now: float) -> tuple[ActionT, ...]:
        """Handles one event.

        Args:
          event: What happened.
          now: Monotonic time in seconds; never decreases between calls.

        Returns:
          The actions for the shell to carry out, in order.
        """
