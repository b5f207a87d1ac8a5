"""Asks replicas directly while the parents prove nothing.

A node that is cut off from its parents, or whose parents are, still reaches
other replicas. Each probe is a pull, so the answer brings a version that the
node lacks as well as the proof that it is the newest.
"""

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import freshness as freshness_lib
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers

# Age of the installed version, in heartbeat intervals, from which replicas are
# asked. Heartbeats that are answered keep the age below it.
PROBE_AFTER_HEARTBEATS = 1.5
FIRST_RETRY_S = 0.2
RETRY_CAP_S = 3.0
# Shortest time between two probes that callers' requests cause.
DEMAND_GAP_S = 0.1
MS_PER_S = 1000


class FreshnessProber:
    """Sends probes to one replica after another until one proves an age.

    Args:
      installed: Version that the node has installed.
      freshness: Age of that version.
      heartbeat_s: Time between heartbeats, in seconds.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        installed: installed_version.InstalledVersion,
        freshness: freshness_lib.Freshness,
        heartbeat_s: float,
        random: backoff_lib.Random,
    ) -> None:
        self._installed = installed
        self._freshness = freshness
        self._limit_s = PROBE_AFTER_HEARTBEATS * heartbeat_s
        self._backoff = backoff_lib.Backoff(
            first_s=FIRST_RETRY_S, cap_s=RETRY_CAP_S, random=random
        )
        self._turn = 0
        self._next_at = 0.0
        self._sent_at = 0.0
        self._is_requested = False

    @property
    def due_at(self) -> float:
        """When the next probe may be due, in monotonic seconds."""
        current_at = self._freshness.current_at
        if current_at is None or self._is_requested:
            return self._next_at
        return max(self._next_at, current_at + self._limit_s)

    def request(self, now: float) -> None:
        """Makes a probe due soon, since a request waits for its answer."""
        self._is_requested = True
        self._next_at = min(
            self._next_at, max(now, self._sent_at + DEMAND_GAP_S)
        )

    def tick(
        self, replicas: tuple[peers.Peer, ...], now: float
    ) -> tuple[events.Action, ...]:
        """Returns the probe that is due, if any, and its log line.

        Args:
          replicas: Replicas to ask in turn.
          now: Monotonic time in seconds.
        """
        if self._installed.current is None or not replicas:
            return ()
        age_s = self._freshness.compute_age(now)
        is_proved = age_s is not None and age_s <= self._limit_s
        if is_proved:
            self._backoff.reset()
        if now < self._next_at or (is_proved and not self._is_requested):
            return ()
        self._is_requested = False
        self._next_at = now + self._backoff.draw()
        self._sent_at = now
        replica = replicas[self._turn % len(replicas)]
        self._turn += 1
        pull = messages.Pull(
            version=self._installed.version,
            digest=self._installed.digest,
            least=self._installed.floor or 0,
            sequence=self._freshness.ask(now),
        )
        return (
            events.Send(peer=replica, frame=wire.encode(pull)),
            events.LogLine(
                event="newest requested" if is_proved else "age unproved",
                peer=replica.peer_id,
                version=self._installed.version,
                age_ms=None if age_s is None else int(age_s * MS_PER_S),
            ),
        )
