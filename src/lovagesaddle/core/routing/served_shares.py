"""Tracks, for each kind of request, the share that recently got a slot.

The queue of an owner serves kinds with a low share first.
"""

import dataclasses
import math

# Time constant of the exponential decay. Much longer than a run, so that a
# share covers many runs; much shorter than an overload, so that the time before
# the overload doesn't count.
DECAY_S = 5.0
# Bounds the memory while routes come and go; the oldest kind is evicted.
MAX_KINDS = 1024


@dataclasses.dataclass(slots=True)
class _Counts:
    """Exponentially decayed counts of one kind.

    Attributes:
      served: Number of requests that got a slot.
      refused: Number of requests that were refused for lack of a slot.
      decayed_at: Monotonic time up to which both are decayed, in seconds.
    """

    served: float = 0.0
    refused: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decays the counts up to a monotonic time in seconds."""
        factor = math.exp(min(0.0, self.decayed_at - now) / DECAY_S)
        self.served *= factor
        self.refused *= factor
        self.decayed_at = now


class ServedShares:
    """Counts served and refused requests by kind."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_served(self, kind: str, now: float) -> None:
        """Records a request that got a slot."""
        self._get_or_create(kind, now).served += 1

    def record_refused(self, kind: str, now: float) -> None:
        """Records a request that was refused for lack of a slot."""
        self._get_or_create(kind, now).refused += 1

    def get_share(self, kind: str) -> float:
        """Returns the served share, 0 to 1; 1 while none was refused."""
        counts = self._counts.get(kind)
        if counts is None or not counts.refused:
            return 1.0
        return counts.served / (counts.served + counts.refused)

    def _get_or_create(self, kind: str, now: float) -> _Counts:
        counts = self._counts.get(kind)
        if counts is None:
            if len(self._counts) >= MAX_KINDS:
                oldest = min(
                    self._counts, key=lambda k: self._counts[k].decayed_at
                )
                del self._counts[oldest]
            counts = self._counts[kind] = _Counts(decayed_at=now)
        counts.decay(now)
        return counts
