"""Pulls that fill a gap: the first snapshot, a lost delta, a stale parent."""

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers

PULL_AFTER_S = 0.3
ANSWER_TIMEOUT_S = 1.0
RETRY_CAP_S = 8.0
BETWEEN_TRIES_S = 0.1
TRIES = 4
KEPT_HELPERS = 8


class Puller:
    """Pulls a version that is known to exist and was not delivered.

    Args:
      installed: What the node holds; shared with the owner.
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
        self._seen: dict[peers.Peer, int] = {}
        self._seen_at = 0.0
        self._eager: peers.Peer | None = None
        self._whole = False
        self._turn = 0
        self._next_at = 0.0
        self._helpers: tuple[peers.Peer, ...] = ()
        self._refusals = 0
        self._backoff = backoff_lib.Backoff(
            first_s=ANSWER_TIMEOUT_S, cap_s=RETRY_CAP_S, random=random
        )

    def record_version(
        self, source: peers.Peer, version: int, now: float, *, is_eager: bool
    ) -> None:
        """Notes that `source` holds `version`.

        Args:
          source: A parent.
          version: What it holds.
          now: Monotonic time in seconds.
          is_eager: Whether it should have pushed the version, so that others
            are asked first.
        """
        if version <= self._installed.version:
            return
        if not self._seen:
            self._seen_at = now
            self._turn = 0
        self._seen[source] = max(version, self._seen.get(source, 0))
        if is_eager:
            self._eager = source

    def request_snapshot(self, now: float) -> None:
        """Notes that a delta did not fit, so that a snapshot is needed."""
        self._whole = True
        self._seen_at = now - PULL_AFTER_S
        self._next_at = min(self._next_at, now)

    def retain_sources(self, kept: set[peers.Peer]) -> None:
        """Forgets sources that are no parents any more."""
        for source in set(self._seen) - kept:
            del self._seen[source]

    def clear_installed(self) -> None:
        """Notes a new version, which fills some gaps."""
        self._whole = False
        self._refusals = 0
        self._next_at = 0.0
        self._backoff.reset()
        version = self._installed.version
        self._seen = {
            source: seen
            for source, seen in self._seen.items()
            if seen > version
        }

    def compute_delay(self, now: float) -> float:
        """Returns for how long a newer version was known, in seconds."""
        return now - self._seen_at if self._seen else 0.0

    def set_helpers(self, helpers: tuple[peers.Peer, ...]) -> None:
        """Takes nodes that may serve the first snapshot."""
        self._helpers = helpers

    def handle_retry_later(
        self, later: messages.RetryLater, now: float
    ) -> None:
        """Takes a refusal; others are asked before the reserved turn."""
        known = set(self._helpers)
        fresh = tuple(peer for peer in later.helpers if peer not in known)
        self._helpers = (*fresh, *self._helpers)[:KEPT_HELPERS]
        self._refusals += 1
        spread = 1 + self._random.random() / 2
        if self._installed.current is None and self._refusals % TRIES:
            self._turn = 0 if fresh else self._turn
            self._next_at = now + BETWEEN_TRIES_S * spread
        else:
            self._next_at = now + min(later.after_s, RETRY_CAP_S) * spread

    def tick(
        self, replicas: tuple[peers.Peer, ...], now: float
    ) -> tuple[events.Action, ...]:
        """Pulls when a gap has lasted long enough.

        Args:
          replicas: Whom to ask while nothing is held, after the helpers.
          now: Monotonic time in seconds.
        """
        if now < self._next_at:
            return ()
        source = self._choose((*self._helpers, *replicas), now)
        if source is None:
            return ()
        self._next_at = now + self._backoff.draw()
        digest = b"" if self._whole else self._installed.digest
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

    def _choose(
        self, sources: tuple[peers.Peer, ...], now: float
    ) -> peers.Peer | None:
        if self._installed.current is None:
            if self._installed.floor is None or not sources:
                return None
            self._turn += 1
            return sources[(self._turn - 1) % len(sources)]
        if not self._seen or now - self._seen_at < PULL_AFTER_S:
            return None
        self._turn += 1
        known = sorted(
            self._seen, key=lambda peer: (peer == self._eager, peer.peer_id)
        )
        return known[(self._turn - 1) % len(known)]
