"""Time limits of a replica, its clock and its election timeout."""

import abc
import dataclasses

HEARTBEATS_PER_TIMEOUT = 5
MISSED_HEARTBEATS = 3
# Share of the election timeout for which a replica waits after its start before
# it asks for pre-votes. The wait is long compared to a round trip within a
# region. Asking so early does not disturb an active leader, since replicas in
# contact with that leader grant no pre-vote.
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
      election_timeout_s: Time without contact to a leader before a pre-vote;
        jitter extends it up to twice that time.
    """

    election_timeout_s: float

    @property
    def heartbeat_s(self) -> float:
        """Time between two heartbeats of the leader."""
        return self.election_timeout_s / HEARTBEATS_PER_TIMEOUT

    @property
    def pause_after_s(self) -> float:
        """Time without an answer after which only heartbeats are sent."""
        return self.heartbeat_s * MISSED_HEARTBEATS


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
        """Seconds since the first event; never decreases."""
        return self._now

    def advance(self, now: float) -> None:
        """Advances the time to a reading of the clock.

        A clock that is set back does not change the time.
        """
        if self._reading is not None:
            self._now += max(0.0, now - self._reading)
        self._reading = now
        if self._deadline is None:
            # The first timeout is shorter: a replica that has just started has
            # not heard from a leader, so it need not wait for the next
            # heartbeat of one.
            share = FIRST_TIMEOUT_SHARE * (1 + self._random.random())
            self._deadline = self._now + self.timing.election_timeout_s * share

    def restart_timeout(self) -> None:
        """Restarts the election timeout with new jitter."""
        timeout = self.timing.election_timeout_s
        self._deadline = self._now + timeout * (1 + self._random.random())

    def record_leader_contact(self) -> None:
        """Records a message from the leader; restarts the election timeout."""
        self._leader_contact_at = self._now
        self.restart_timeout()

    def is_election_due(self) -> bool:
        """Returns whether the election timeout has passed."""
        return self._deadline is not None and self._now >= self._deadline

    def has_recent_leader(self) -> bool:
        """Returns whether the leader was in contact within the timeout."""
        return (
            self._leader_contact_at is not None
            and self._now - self._leader_contact_at
            < self.timing.election_timeout_s
        )
