"""What a leader knows of one other member's log."""

import collections
import dataclasses

MAX_IN_FLIGHT = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Where replication to one member stands.

    Attributes:
      next_index: Next entry to send.
      match_index: Last entry known to be synced there.
      round: Newest heartbeat round that it answered.
      answered_at: When it last answered.
      is_probing: Whether the matching entry is still unknown; then only
        messages without entries are sent.
      is_probe_due: Whether a probe should not wait for the next heartbeat.
      in_flight: Last index of each message with entries not yet answered.
      commit_sent: Newest commit index sent.
      image_index: Snapshot that is being sent; 0 for none.
      image_offset: Next piece of it.
      is_piece_due: Whether that piece has not been sent yet.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    answered_at: float
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
        """Returns whether another message with entries may leave."""
        return not self.is_probing and len(self.in_flight) < MAX_IN_FLIGHT

    def record_accepted(self, index: int) -> None:
        """Takes note that everything up to `index` is synced there."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.image_index = 0
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def record_refused(self, previous_index: int, hint: int) -> None:
        """Steps back after a refused message, unless it is outdated."""
        if previous_index <= self.match_index:
            return
        self.next_index = (
            max(self.match_index, min(hint, previous_index - 1)) + 1
        )
        self.is_probing = True
        self.is_probe_due = True
        self.in_flight.clear()

    def record_sent(self, last_index: int) -> None:
        """Takes note that entries up to `last_index` left."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def pause(self) -> None:
        """Sends nothing but heartbeats until the member answers again."""
        self.next_index = self.match_index + 1
        self.is_probing = True
        self.is_piece_due = False
        self.in_flight.clear()
