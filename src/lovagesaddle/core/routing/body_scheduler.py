"""Scheduler of large bodies on the inbound link of an owner's VM.

On a slow link, large bodies that are sent without coordination queue in the
link, and every small call waits behind them. So large bodies wait at their
entry nodes: an entry node offers a body to the owner and sends it in parts
once the owner has granted its transfer. Each part is sent after the one before
it has arrived, so at most one part of each body is in the link, whatever the
current rate of the link.
"""

import dataclasses

from lovagesaddle.core import state_machine

# A part crosses the link of its entry node before the link of its owner, so a
# single transfer would leave each link idle for half of the time.
MAX_TRANSFERS = 2
# Time that the link takes for one part, and so the longest time that a call
# waits behind a part. The round trip after each part is short compared to this
# time.
PART_DURATION_S = 0.05
# Smaller parts would shorten the wait of other calls for the link, but the
# overhead of one request for each part would cost more than that gains.
MIN_PART_BYTES = 8 * 1024
# A transfer of which no part has arrived for this time expires, which lets a
# waiting body start. The entry node of the transfer may be gone, or a body that
# a caller sends in one piece may keep the link busy.
IDLE_TIMEOUT_S = 1.0
# Minimum time over which the rate of a link in use is measured.
RATE_WINDOW_S = 1.0
# Weight of the last measurement in the moving average of the rate.
RATE_WEIGHT = 0.2
# Lower bound of the measured rate as a share of the stated one: a body that its
# entry sent slowly must not make the owner decline the next ones.
MIN_RATE_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Offered:
    """Reports that an entry node offers a body to this owner.

    Attributes:
      attempt_id: Unique among the attempts that this owner holds.
      body_bytes: Size of the body, in bytes.
      priority: Priority of its route; 0 is the most urgent.
      latest_at: Monotonic time by which the body has to arrive for its request
        to meet its deadline, in seconds.
    """

    attempt_id: str
    body_bytes: int
    priority: int
    latest_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartArrived:
    """Reports that a part of a body has arrived.

    Attributes:
      attempt_id: ID of the attempt.
      part_bytes: Size of the part, in bytes.
    """

    attempt_id: str
    part_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """Ends an offer or a transfer: the body is complete or was given up."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Reports that time has passed."""


Event = Offered | PartArrived | Withdrawn | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """Lets the entry node send the body now."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Declined:
    """Declines a body that would arrive too late; its request did not run.

    Attributes:
      attempt_id: ID of the attempt.
      retry_after_s: Time until its transfer would have started, in seconds.
    """

    attempt_id: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """Ends a transfer that was idle; its later parts are still accepted."""

    attempt_id: str


Action = Granted | Declined | Expired


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transfer:
    """A granted body.

    Attributes:
      remaining_bytes: Size of what has not arrived, in bytes.
      active_at: Monotonic time of the grant or of the last part, in seconds.
    """

    remaining_bytes: int
    active_at: float


class BodyScheduler(state_machine.StateMachine[Event, Action]):
    """Schedules the transfers of large bodies over one link.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second.
    """

    def __init__(self, link_bytes_s: float) -> None:
        self._stated_bytes_s = link_bytes_s
        self._bytes_s = link_bytes_s
        self._transfers: dict[str, _Transfer] = {}
        self._waiting: list[tuple[int, int, Offered]] = []
        self._offers = 0
        self._carried_bytes = 0
        self._carried_since = 0.0
        self._active_at = 0.0

    @property
    def wait_s(self) -> float:
        """Expected time until a new offer would be granted, in seconds."""
        if len(self._transfers) < MAX_TRANSFERS:
            return 0.0
        ahead = sum(offer.body_bytes for _, _, offer in self._waiting)
        return (ahead + self._remaining_bytes) / self._bytes_s

    @property
    def expires_at(self) -> float | None:
        """Monotonic time at which the next transfer expires, in seconds."""
        if not self._transfers:
            return None
        active_at = min(
            transfer.active_at for transfer in self._transfers.values()
        )
        return active_at + IDLE_TIMEOUT_S

    def step(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handles one event."""
        actions: list[Action] = []
        match event:
            case Offered():
                self._offers += 1
                waiting = (event.priority, self._offers, event)
                self._waiting.append(waiting)
                self._waiting.sort(key=lambda each: each[:2])
            case PartArrived():
                self._record_part(event, now)
            case Withdrawn():
                self._transfers.pop(event.attempt_id, None)
                self._waiting = [
                    each
                    for each in self._waiting
                    if each[2].attempt_id != event.attempt_id
                ]
            case Tick():
                pass
        self._expire(now, actions)
        self._decline_late(now, actions)
        self._grant(now, actions)
        return tuple(actions)

    def _record_part(self, event: PartArrived, now: float) -> None:
        transfer = self._transfers.get(event.attempt_id)
        if transfer is None:
            return
        transfer.remaining_bytes = max(
            0, transfer.remaining_bytes - event.part_bytes
        )
        transfer.active_at = self._active_at = now
        self._carried_bytes += event.part_bytes
        elapsed_s = now - self._carried_since
        if elapsed_s >= RATE_WINDOW_S:
            measured = self._carried_bytes / elapsed_s
            updated = self._bytes_s + RATE_WEIGHT * (measured - self._bytes_s)
            floor = MIN_RATE_SHARE * self._stated_bytes_s
            self._bytes_s = max(floor, updated)
            self._carried_bytes, self._carried_since = 0, now

    def _expire(self, now: float, actions: list[Action]) -> None:
        for attempt_id, transfer in tuple(self._transfers.items()):
            if now - transfer.active_at >= IDLE_TIMEOUT_S:
                del self._transfers[attempt_id]
                actions.append(Expired(attempt_id=attempt_id))

    @property
    def _remaining_bytes(self) -> int:
        return sum(
            transfer.remaining_bytes for transfer in self._transfers.values()
        )

    def _decline_late(self, now: float, actions: list[Action]) -> None:
        """Declines the offers whose bodies would arrive too late."""
        ahead = self._remaining_bytes
        bytes_s = self._bytes_s
        if not self._transfers and len(self._waiting) == 1:
            # A single offer on an idle link uses at least the stated rate: only
            # another transfer can raise the measured rate again.
            bytes_s = max(bytes_s, self._stated_bytes_s)
        kept: list[tuple[int, int, Offered]] = []
        for each in self._waiting:
            offer = each[2]
            arrives_at = now + (ahead + offer.body_bytes) / bytes_s
            if arrives_at <= offer.latest_at:
                ahead += offer.body_bytes
                kept.append(each)
                continue
            after_s = max(MIN_RETRY_AFTER_S, ahead / bytes_s)
            actions.append(
                Declined(attempt_id=offer.attempt_id, retry_after_s=after_s)
            )
        self._waiting = kept

    def _grant(self, now: float, actions: list[Action]) -> None:
        while self._waiting and len(self._transfers) < MAX_TRANSFERS:
            offer = self._waiting.pop(0)[2]
            # Restarts the measurement: idle time must not lower the rate.
            if now - self._active_at > PART_DURATION_S:
                self._carried_bytes, self._carried_since = 0, now
            self._active_at = now
            self._transfers[offer.attempt_id] = _Transfer(
                remaining_bytes=offer.body_bytes, active_at=now
            )
            actions.append(Granted(attempt_id=offer.attempt_id))


def compute_part_bytes(link_bytes_s: float) -> int:
    """Returns the size of a part in bytes; 0 to send bodies in one piece.

    Args:
      link_bytes_s: Stated rate of the link, in bytes per second; 0 if unknown.
    """
    if not link_bytes_s:
        return 0
    return max(MIN_PART_BYTES, int(link_bytes_s * PART_DURATION_S))
