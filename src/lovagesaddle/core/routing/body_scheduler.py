"""Owner side: large bodies take turns on the inbound link of the owner's VM.

It answers a link that is thin beside the bodies that travel over it: sent as
they come, they queue in the link, and every small call on it waits behind them.
Here they wait at their entries. An entry offers a body and sends it, part by
part, when its turn comes; each part is sent when the one before it is there, so
that no more than a part of each is ever in the link, however fast that is then.
"""

import dataclasses

from lovagesaddle.core import part

# A part leaves the link of its entry before it is on that of its owner, so one
# body alone would leave each of them idle for half of the time.
MAX_TRANSFERS = 2
# A part is as long as the link carries in this time, in seconds. A call waits
# no longer behind it; a round trip after each part is short beside it.
PART_DURATION_S = 0.05
# A smaller part costs more in its own request than it frees of the link.
MIN_PART_BYTES = 8 * 1024
# A turn without a part for so long is passed on, in seconds. Its entry may be
# gone, or a body that a caller sends over the same link at once holds it up.
IDLE_TIMEOUT_S = 1.0
# Time over which the rate of a link in use is measured, in seconds.
RATE_WINDOW_S = 1.0
RATE_WEIGHT = 0.2
# A measured rate stays above this share of the stated one: a body that was held
# up by its entry must not make an owner decline the next ones.
MIN_RATE_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Offered:
    """An entry has a body for this owner.

    Attributes:
      attempt_id: Unique among the attempts that this owner holds.
      body_bytes: Size of the body.
      priority: Of its route.
      latest_at: Monotonic time by which it has to be here for its request to
        be answered in time, in seconds.
    """

    attempt_id: str
    body_bytes: int
    priority: int
    latest_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartArrived:
    """A part of a body is here.

    Attributes:
      attempt_id: Of its attempt.
      part_bytes: Size of the part.
    """

    attempt_id: str
    part_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """An offer or a turn is over: the body is whole, or the entry gave up."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed."""


Event = Offered | PartArrived | Withdrawn | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The body may be sent now."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Declined:
    """The body would come too late; its request was not run.

    Attributes:
      attempt_id: Of the attempt.
      retry_after_s: When its turn would have come, in seconds.
    """

    attempt_id: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """A turn was not used and is passed on; a late part is still welcome."""

    attempt_id: str


Action = Granted | Declined | Expired


@dataclasses.dataclass(slots=True, kw_only=True)
class _Transfer:
    remaining_bytes: int
    active_at: float


class BodyScheduler(part.Part[Event, Action]):
    """Turns on one link.

    Args:
      link_bytes_s: Stated rate of the link, in bytes a second.
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
        """Expected time until a new offer has its turn, in seconds."""
        if len(self._transfers) < MAX_TRANSFERS:
            return 0.0
        ahead = sum(offer.body_bytes for _, _, offer in self._waiting)
        return (ahead + self._remaining_bytes) / self._bytes_s

    @property
    def expires_at(self) -> float | None:
        """Monotonic time of the next Tick that matters, in seconds."""
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
        """Declines at once what would wait for a turn in vain."""
        ahead = self._remaining_bytes
        bytes_s = self._bytes_s
        if not self._transfers and len(self._waiting) == 1:
            # An idle link is tried whatever the last bodies took: only another
            # one can bring its measured rate up again.
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
            # An idle link says nothing of its rate.
            if now - self._active_at > PART_DURATION_S:
                self._carried_bytes, self._carried_since = 0, now
            self._active_at = now
            self._transfers[offer.attempt_id] = _Transfer(
                remaining_bytes=offer.body_bytes, active_at=now
            )
            actions.append(Granted(attempt_id=offer.attempt_id))


def compute_part_bytes(link_bytes_s: float) -> int:
    """Returns how much of a body is sent at a time; 0 for all of it.

    Args:
      link_bytes_s: Stated rate of the link, in bytes a second; 0 if unknown.
    """
    if not link_bytes_s:
        return 0
    return max(MIN_PART_BYTES, int(link_bytes_s * PART_DURATION_S))
