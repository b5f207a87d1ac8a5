"""Time limits of a replica, and the source of their jitter."""

import abc
import dataclasses

HEARTBEATS_PER_TIMEOUT = 5
SILENT_HEARTBEATS = 3
# Long beside a round trip within a region. A leader that is there is not
# disturbed, since whoever has heard it grants no pre-vote.
FIRST_TIMEOUT_SHARE = 0.2


class RandomSource(abc.ABC):
    """Source of the jitter of election timeouts."""

    @abc.abstractmethod
    def random(self) -> float:
        """Returns a number in [0, 1)."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Time limits of a replica, in seconds.

    Attributes:
      election_timeout_s: Silence of the leader before a pre-vote; up to
        twice that with jitter.
    """

    election_timeout_s: float

    @property
    def heartbeat_s(self) -> float:
        """Time between two heartbeats of the leader."""
        return self.election_timeout_s / HEARTBEATS_PER_TIMEOUT

    @property
    def silence_s(self) -> float:
        """Silence after which a follower is sent heartbeats only."""
        return self.heartbeat_s * SILENT_HEARTBEATS


class Clock:
    """Monotonic time of one replica, and its election deadline.

    Args:
      timing: Time limits.
      random: Source of jitter.
    """

    def __init__(self, timing: Timing, random: RandomSource) -> None:
        self.timing = timing
        self._random = random
        self._now = 0.0
        self._reading: float | None = None
        self._deadline: float | None = None
        self._leader_contact_at: float | None = None

    @property
    def now(self) -> float:
        """Seconds since the first event; a clock set back stands still."""
        return self._now

    def advance(self, now: float) -> None:
        """Takes the clock's reading at an event."""
        if self._reading is not None:
            self._now += max(0.0, now - self._reading)
        self._reading = now
        if self._deadline is None:
            # Nobody can have been heard yet, so there is less to wait for.
            share = FIRST_TIMEOUT_SHARE * (1 + self._random.random())
            self._deadline = self._now + self.timing.election_timeout_s * share

    def reset(self) -> None:
        """Starts the election timeout again."""
        timeout = self.timing.election_timeout_s
        self._deadline = self._now + timeout * (1 + self._random.random())

    def record_leader_contact(self) -> None:
        """Takes note that the leader was heard."""
        self._leader_contact_at = self._now
        self.reset()

    def is_election_due(self) -> bool:
        """Returns whether the election timeout has passed."""
        return self._deadline is not None and self._now >= self._deadline

    def has_recent_leader(self) -> bool:
        """Returns whether a leader was heard too recently for an election."""
        return (
            self._leader_contact_at is not None
            and self._now - self._leader_contact_at
            < self.timing.election_timeout_s
        )
