"""Pulls of versions that were not pushed to a node.

A node pulls its first snapshot, a version whose delta was lost, and a version
that its eager parent does not have.
"""

import itertools
import math

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers

# Time after which a version that is known but not delivered is pulled.
PULL_AFTER_S = 0.3
ANSWER_TIMEOUT_S = 1.0
RETRY_CAP_S = 8.0
REFUSED_RETRY_S = 0.1
REFUSALS_PER_WAIT = 4
MAX_HELPERS = 8


class Puller:
    """Pulls a version that is known to exist and was not delivered.

    Args:
      installed: Version that the node has installed; shared with the owner.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        installed: installed_version.InstalledVersion,
        random: backoff_lib.Random,
    ) -> None:
        self._installed = installed
        self._random = random
        self._known: dict[peers.Peer, int] = {}
        self._known_since = 0.0
        self._eager: peers.Peer | None = None
        self._needs_snapshot = False
        self._turn = 0
        self._next_at = 0.0
        self._helpers: tuple[peers.Peer, ...] = ()
        self._refusals = 0
        self._backoff = backoff_lib.Backoff(
            first_s=ANSWER_TIMEOUT_S, cap_s=RETRY_CAP_S, random=random
        )

    @property
    def due_at(self) -> float:
        """When the next pull may be due, in seconds; infinite for none."""
        if self._installed.current is None:
            return self._next_at
        if not self._known:
            return math.inf
        return max(self._next_at, self._known_since + PULL_AFTER_S)

    def record_version(
        self, source: peers.Peer, version: int, now: float, *, is_eager: bool
    ) -> None:
        """Records that `source` has `version`.

        Args:
          source: A parent.
          version: Newest version that it has.
          now: Monotonic time in seconds.
          is_eager: Whether the parent should have pushed the version; other
            sources are asked before it.
        """
        if version <= self._installed.version:
            return
        if not self._known:
            self._known_since = now
            self._turn = 0
        self._known[source] = max(version, self._known.get(source, 0))
        if is_eager:
            self._eager = source

    def request_snapshot(self, now: float) -> None:
        """Makes the next pull ask for a whole snapshot, without delay.

        It is called after an update whose base or digest did not match.
        """
        self._needs_snapshot = True
        self._known_since = now - PULL_AFTER_S
        self._next_at = min(self._next_at, now)

    def retain_sources(self, kept: set[peers.Peer]) -> None:
        """Discards every source that is not in `kept`."""
        for source in set(self._known) - kept:
            del self._known[source]

    def clear_installed(self) -> None:
        """Resets the retries and drops sources without a newer version.

        It is called after a version was installed.
        """
        self._needs_snapshot = False
        self._refusals = 0
        self._next_at = 0.0
        self._backoff.reset()
        version = self._installed.version
        self._known = {
            source: known
            for source, known in self._known.items()
            if known > version
        }

    def delay(self, seconds: float, now: float) -> None:
        """Sends no pull for a time."""
        self._next_at = now + seconds

    def compute_delay(self, now: float) -> float:
        """Returns how long a newer version has been known, in seconds."""
        return now - self._known_since if self._known else 0.0

    def set_helpers(self, helpers: tuple[peers.Peer, ...]) -> None:
        """Sets the nodes that are asked for the first snapshot."""
        self._helpers = helpers

    def handle_retry_later(
        self, sender_id: str, later: messages.RetryLater, now: float
    ) -> None:
        """Handles the refusal of a pull and schedules the next one.

        While no version is installed, other sources are asked after a short
        delay, and only every `REFUSALS_PER_WAIT`-th refusal is followed by
        the delay that it names. A helper that refuses is not asked again.
        """
        self._helpers = tuple(
            peer for peer in self._helpers if peer.peer_id != sender_id
        )
        known = set(self._helpers)
        fresh = tuple(peer for peer in later.helpers if peer not in known)
        self._helpers = (*fresh, *self._helpers)[:MAX_HELPERS]
        self._refusals += 1
        jitter = 1 + self._random.random() / 2
        if (
            self._installed.current is None
            and self._refusals % REFUSALS_PER_WAIT
        ):
            self._turn = 0 if fresh else self._turn
            self._next_at = now + REFUSED_RETRY_S * jitter
        else:
            self._next_at = now + min(later.after_s, RETRY_CAP_S) * jitter

    def tick(
        self, replicas: tuple[peers.Peer, ...], now: float
    ) -> tuple[events.Action, ...]:
        """Returns the pull that is due, if any, and its log line.

        Args:
          replicas: Sources to ask in turn with the helpers while no version
            is installed. Helpers may have restarted at the same time.
          now: Monotonic time in seconds.
        """
        if now < self._next_at:
            return ()
        source = self._choose_source(_interleave(self._helpers, replicas), now)
        if source is None:
            return ()
        self._next_at = now + self._backoff.draw()
        digest = b"" if self._needs_snapshot else self._installed.digest
        pull = messages.Pull(
            version=self._installed.version,
            digest=digest,
            least=self._installed.floor or 0,
        )
        line = events.LogLine(
            event="pull",
            peer=source.peer_id,
            version=self._installed.version,
            reason="snapshot" if not digest else "not delivered",
        )
        return (events.Send(peer=source, frame=wire.encode(pull)), line)

    def _choose_source(
        self, sources: tuple[peers.Peer, ...], now: float
    ) -> peers.Peer | None:
        if self._installed.current is None:
            if self._installed.floor is None or not sources:
                return None
            self._turn += 1
            return sources[(self._turn - 1) % len(sources)]
        if not self._known or now - self._known_since < PULL_AFTER_S:
            return None
        self._turn += 1
        ranked = sorted(
            self._known, key=lambda peer: (peer == self._eager, peer.peer_id)
        )
        return ranked[(self._turn - 1) % len(ranked)]


def _interleave(
    helpers: tuple[peers.Peer, ...], replicas: tuple[peers.Peer, ...]
) -> tuple[peers.Peer, ...]:
    """Returns a helper and a replica in turn, then the rest."""
    pairs = itertools.zip_longest(helpers, replicas)
    return tuple(peer for pair in pairs for peer in pair if peer is not None)
