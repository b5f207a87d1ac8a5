"""How old the configuration that a node has installed may be.

Parents and replicas state how old their version may be. A statement counts
once that version is installed here, and its age counts from when this node
asked for it.
"""

import collections

from lovagesaddle.core import echoes
from lovagesaddle.core.distribution import messages

# Statements about versions that are not installed yet.
MAX_PENDING = 16


class Freshness:
    """Proves up to which time the installed version is complete.

    Args:
      random: Source of the first number that dates statements.
    """

    def __init__(self, random: echoes.Random) -> None:
        self._echoes = echoes.Echoes(random)
        self._current_at: float | None = None
        self._pending: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_PENDING
        )

    @property
    def current_at(self) -> float | None:
        """Time up to which everything accepted is installed, in seconds.

        It is a monotonic time of this node; None if nothing proves a time.
        """
        return self._current_at

    def compute_age(self, now: float) -> float | None:
        """Returns how old the installed version may be, in seconds."""
        return None if self._current_at is None else now - self._current_at

    def ask(self, now: float) -> int:
        """Returns the number to send with a message that asks for a proof."""
        return self._echoes.send(now)

    def discard(self) -> None:
        """Drops all proofs, since the version is no longer installed."""
        self._current_at = None
        self._pending.clear()

    def record_statement(
        self, heartbeat: messages.ParentBeat, installed_version: int
    ) -> bool:
        """Records what a parent states; returns whether the proof improved.

        Args:
          heartbeat: Answer to a message of this node; any other is ignored.
          installed_version: Version that this node has installed.
        """
        current_at = self._echoes.date(heartbeat.sequence, heartbeat.age_s)
        if current_at is None:
            return False
        self._pending.append((heartbeat.version, current_at))
        return self.apply_installed(installed_version)

    def apply_installed(self, installed_version: int) -> bool:
        """Applies statements about versions that are installed by now.

        Returns:
          Whether the proof improved.
        """
        proved = [
            moment
            for version, moment in self._pending
            if version <= installed_version
        ]
        if not proved:
            return False
        self._pending = collections.deque(
            (each for each in self._pending if each[0] > installed_version),
            maxlen=MAX_PENDING,
        )
        newest = max(proved)
        if self._current_at is not None and newest <= self._current_at:
            return False
        self._current_at = newest
        return True
