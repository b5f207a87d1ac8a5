"""Share of each kind of request that an owner has served of late."""

import dataclasses
import math

# Long beside a run, so that a share is a mean over many; short beside an
# overload, so that what went before it doesn't count.
DECAY_S = 5.0
# Kinds that are kept; routes come and go, and old ones are forgotten.
MAX_KINDS = 1024


@dataclasses.dataclass(slots=True)
class _Counts:
    """Decayed numbers of one kind.

    Attributes:
      served: Requests that got a slot.
      refused: Requests that were refused for want of one.
      at: Time until which both have decayed, in seconds.
    """

    served: float = 0.0
    refused: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Lets time pass."""
        factor = math.exp(min(0.0, self.at - now) / DECAY_S)
        self.served *= factor
        self.refused *= factor
        self.at = now


class ServedShares:
    """Counts what was served and refused, by kind."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_served(self, kind: str, now: float) -> None:
        """Takes a request that got a slot."""
        self._get_or_create(kind, now).served += 1

    def record_refused(self, kind: str, now: float) -> None:
        """Takes a request that was refused for want of a slot."""
        self._get_or_create(kind, now).refused += 1

    def get_share(self, kind: str) -> float:
        """Returns the share that was served; 1 while none was refused."""
        counts = self._counts.get(kind)
        if counts is None or not counts.refused:
            return 1.0
        return counts.served / (counts.served + counts.refused)

    def _get_or_create(self, kind: str, now: float) -> _Counts:
        counts = self._counts.get(kind)
        if counts is None:
            if len(self._counts) >= MAX_KINDS:
                oldest = min(self._counts, key=lambda k: self._counts[k].at)
                del self._counts[oldest]
            counts = self._counts[kind] = _Counts(at=now)
        counts.decay(now)
        return counts
