"""How much longer than usual work takes at a backend server now.

This is for machines that are slowed for parts of a second, such as 2.5 times
the work for 15% of the time, changing every 600 ms. A figure of such a machine
says much for a tenth of a second and nothing after the next change.
"""

import dataclasses

# Weight of the newest figure falls linearly to 0 over this time.
FADE_S = 0.6
# Weight of one figure in the long-run mean.
MEAN_WEIGHT = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class Slowdown:
    """Newest stated slowdown of one server and its long-run mean.

    Attributes:
      mean: Mean of the stated figures; 1 is as usual.
      newest: Newest figure.
      stated_at: When it was stated, monotonic in seconds.
    """

    mean: float = 1.0
    newest: float = 1.0
    stated_at: float = float("-inf")

    def record(self, slowdown: float, now: float) -> None:
        """Records a figure, which the server has just stated."""
        self.mean += MEAN_WEIGHT * (slowdown - self.mean)
        self.newest = slowdown
        self.stated_at = now

    def estimate(self, now: float) -> float:
        """Returns the expected factor; the mean once the figure is old."""
        freshness = max(0.0, 1 - (now - self.stated_at) / FADE_S)
        return self.mean + (self.newest - self.mean) * freshness
