"""A leader's record of the replication to one member."""

import collections
import dataclasses

from lovagesaddle.core import echoes

MAX_IN_FLIGHT_MESSAGES = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """State of the replication to one member.

    Attributes:
      next_index: Index of the next entry to send.
      match_index: Index of the last entry known to be synced at the member.
      round: Newest heartbeat round that the member answered.
      answered_at: Time of its last answer, in seconds.
      sequence: Number in its newest answer.
      is_leaving: Whether it announced that it stops.
      is_probing: Whether the last entry that matches is still unknown; then
        only messages without entries are sent.
      is_probe_due: Whether to send a probe before the next heartbeat.
      in_flight: Last index of each unanswered message with entries.
      commit_sent: Newest commit index sent.
      image_index: Index of the snapshot that is being sent; 0 for none.
      image_offset: Position of its next piece, in bytes.
      is_piece_due: Whether that piece is to be sent, or sent again.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    answered_at: float
    sequence: int = echoes.NONE
    is_leaving: bool = False
    is_probing: bool = True
    is_probe_due: bool = True
    in_flight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    commit_sent: int = 0
    image_index: int = 0
    image_offset: int = 0
    is_piece_due: bool = False

    def may_send(self) -> bool:
        """Returns whether another message with entries may be sent."""
        return (
            not self.is_probing and len(self.in_flight) < MAX_IN_FLIGHT_MESSAGES
        )

    def record_accepted(self, index: int) -> None:
        """Records that the member has synced all entries up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.image_index = 0
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def record_refused(self, previous_index: int, hint: int) -> None:
        """Moves back and probes after a refusal, unless it is outdated.

        Args:
          previous_index: Index that the refused message assumed to match.
          hint: Last index that may match, according to the member.
        """
        if previous_index <= self.match_index:
            return
        self.next_index = (
            max(self.match_index, min(hint, previous_index - 1)) + 1
        )
        self.is_probing = True
        self.is_probe_due = True
        self.in_flight.clear()

    def record_sent(self, last_index: int) -> None:
        """Records that entries up to `last_index` were sent."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def pause(self) -> None:
        """Stops sending entries and pieces until the member answers again."""
        self.next_index = self.match_index + 1
        self.is_probing = True
        self.is_piece_due = False
        self.in_flight.clear()
