"""Linearizable reads: they see everything committed before they began.

A leader may have been deposed without knowing it yet. It therefore answers a
read only after a majority has confirmed a heartbeat round that started after
the read.
"""

import dataclasses

from lovagesaddle.core.consensus import applier as applier_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import leadership as leadership_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRead:
    proposal_id: int
    round: int
    index: int


class PendingReads:
    """Holds reads until their heartbeat rounds are confirmed."""

    def __init__(self) -> None:
        self._waiting: list[_PendingRead] = []
        self._refused: list[events.Refuse] = []

    def add(
        self,
        event: events.Read,
        leadership: leadership_lib.Leadership | None,
        commit: int,
    ) -> None:
        """Adds a read, or refuses it if this replica does not lead.

        A leader that has not committed an entry of its term yet refuses too.

        Args:
          event: The read.
          leadership: State of the leader, or None if this replica follows.
          commit: Index of the last committed entry.
        """
        if leadership is None or not leadership.has_committed_in_term(commit):
            self._refuse(event.proposal_id, applier_lib.NOT_LEADER)
            return
        self._waiting.append(
            _PendingRead(
                proposal_id=event.proposal_id,
                round=leadership.request_round(),
                index=commit,
            )
        )

    def refuse_pending(self) -> None:
        """Refuses all open reads, since leadership is lost."""
        for waiting in self._waiting:
            self._refuse(waiting.proposal_id, applier_lib.LEADERSHIP_LOST)
        self._waiting.clear()

    def collect(self, confirmed_round: int) -> list[events.Action]:
        """Returns refusals, and the reads whose round is confirmed.

        Args:
          confirmed_round: Newest heartbeat round that a majority confirmed.
        """
        actions: list[events.Action] = [*self._refused]
        self._refused = []
        ready = [
            each for each in self._waiting if each.round <= confirmed_round
        ]
        if ready:
            self._waiting = [
                e for e in self._waiting if e.round > confirmed_round
            ]
        actions.extend(
            events.Resolve(proposal_id=each.proposal_id, index=each.index)
            for each in ready
        )
        return actions

    def _refuse(self, proposal_id: int, cause: str) -> None:
        self._refused.append(
            events.Refuse(
                proposal_id=proposal_id, cause=cause, is_unknown=False
            )
        )
