"""Scheduler of large answers on the outbound link of an owner's VM.

The load it answers: downloads of 90 kB on average, 10 a second, at servers
whose VMs have links of 6.3 Mbit/s. A link hands on its bytes in the order in
which they were sent, so the small answers of the same server wait behind every
download that was sent before them. So an answer above one part is sent part by
part: its entry node asks for the next part when it has the one before, and the
owner sends a part when it has the turn.
"""

import dataclasses

from lovagesaddle.core import state_machine

# While the entry node asks for the next part of one answer, the link carries a
# part of another.
MAX_PARTS = 2
# Time that the link takes for one part, and so about half of the longest time
# that a small answer waits behind parts. Shorter parts cost more messages, and
# leave the link idle while busy nodes ask for the next one.
PART_DURATION_S = 0.03
MIN_PART_BYTES = 8 * 1024
# Bounds the memory of an answer at each node where links are fast or unknown.
MAX_PART_BYTES = 128 * 1024
# A part whose entry node does not ask for the next one for this time is taken
# for arrived: that node is gone, or its caller reads slowly.
IDLE_TIMEOUT_S = 1.0
# Weight of the newest answer in the moving average of sizes.
SIZE_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Asked:
    """Reports that a part is ready to be sent.

    Attributes:
      attempt_id: ID of the attempt.
      part_bytes: Size of the part, in bytes.
      left_bytes: Size of the answer from this part on, in bytes; that of the
        part if the rest is unknown.
      priority: Priority of the route; 0 is the most urgent.
      is_first: Whether it is the first part of the answer.
      is_last: Whether it is the last part, so that nothing shows when it has
        arrived.
    """

    attempt_id: str
    part_bytes: int
    left_bytes: int
    priority: int
    is_first: bool = False
    is_last: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """Reports that the entry node has the last part, or needs no more."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """Ends the wait of a part that is no longer needed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Reports that time has passed."""


Event = Asked | Arrived | Withdrawn | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """Lets the owner send the part now."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Sent:
    """A part on the link.

    Attributes:
      left_bytes: Size of the answer after this part, in bytes.
      until: Monotonic time at which it is taken for arrived, in seconds.
    """

    left_bytes: int
    until: float


class AnswerScheduler(state_machine.StateMachine[Event, Granted]):
    """Schedules the parts of large answers over one link.

    The answer of which least is left goes first within its rank: where a link
    can't carry all, most answers arrive in time that way.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second.
    """

    def __init__(self, link_bytes_s: float) -> None:
        self._bytes_s = link_bytes_s
        self._waiting: dict[str, tuple[tuple[int, int, int], Asked]] = {}
        self._sent: dict[str, _Sent] = {}
        self._asked = 0
        self._mean_bytes = 0.0

    @property
    def wait_s(self) -> float:
        """Time that the link needs for the answers that are ready now."""
        waiting = sum(asked.left_bytes for _, asked in self._waiting.values())
        sent = sum(part.left_bytes for part in self._sent.values())
        return (waiting + sent) / self._bytes_s

    @property
    def tick_at(self) -> float | None:
        """Monotonic time of the next Tick, in seconds; None for none."""
        return min((part.until for part in self._sent.values()), default=None)

    def compute_delay(self, now: float, *, run_s: float, by: float) -> float:
        """Returns how late the answer to a new request would be, in seconds.

        Args:
          now: Monotonic time, in seconds.
          run_s: Expected run time of the request, in seconds.
          by: Monotonic time by which the answer has to arrive, in seconds.

        Returns:
          0 if it would arrive in time; a request that is refused for this has
          not run.
        """
        # An answer of usual size goes before those of which more is left.
        ahead = self._mean_bytes + sum(
            asked.left_bytes
            for _, asked in self._waiting.values()
            if asked.left_bytes <= self._mean_bytes
        )
        late_s = now + max(run_s, ahead / self._bytes_s) - by
        return max(MIN_RETRY_AFTER_S, late_s) if late_s > 0 else 0.0

    def step(self, event: Event, now: float) -> tuple[Granted, ...]:
        """Handles one event."""
        match event:
            case Asked():
                self._asked += 1
                if event.is_first:
                    self._record_size(event.left_bytes)
                order = (event.priority, event.left_bytes, self._asked)
                self._sent.pop(event.attempt_id, None)
                self._waiting[event.attempt_id] = (order, event)
            case Arrived():
                self._sent.pop(event.attempt_id, None)
            case Withdrawn():
                self._waiting.pop(event.attempt_id, None)
                self._sent.pop(event.attempt_id, None)
            case Tick():
                pass
        self._sent = {
            attempt_id: part
            for attempt_id, part in self._sent.items()
            if now < part.until
        }
        return self._grant(now)

    def _record_size(self, answer_bytes: int) -> None:
        weight = SIZE_WEIGHT if self._mean_bytes else 1.0
        self._mean_bytes += weight * (answer_bytes - self._mean_bytes)

    def _grant(self, now: float) -> tuple[Granted, ...]:
        granted: list[Granted] = []
        while self._waiting and len(self._sent) < MAX_PARTS:
            _, asked = min(self._waiting.values(), key=lambda each: each[0])
            del self._waiting[asked.attempt_id]
            # The link may carry a part of another answer before this one.
            until = now + MAX_PARTS * asked.part_bytes / self._bytes_s
            if not asked.is_last:
                until = max(until, now + IDLE_TIMEOUT_S)
            self._sent[asked.attempt_id] = _Sent(
                left_bytes=asked.left_bytes - asked.part_bytes, until=until
            )
            granted.append(Granted(attempt_id=asked.attempt_id))
        return tuple(granted)


def compute_part_bytes(link_bytes_s: float) -> int:
    """Returns the size of a part of an answer, in bytes.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second; 0 if unknown.
    """
    if not link_bytes_s:
        return MAX_PART_BYTES
    part_bytes = int(link_bytes_s * PART_DURATION_S)
    return min(MAX_PART_BYTES, max(MIN_PART_BYTES, part_bytes))
