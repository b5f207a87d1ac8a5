"""Counts of how the servers of one version answered, by route.

Load: some hundred answers a second, spread over dozens of owners with links of
a few Mbit/s. Each owner sends sums from the order on, so that a lost report
loses nothing and a new leader has everything after one round of reports.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math
import operator

FIRST_EDGE_S = 0.001
# Ratio of neighbouring edges: a version that is several times slower than
# another one is some classes above it.
EDGE_RATIO = 1.25
CLASS_COUNT = 64
# Routes beyond it are counted together, under the empty name.
MAX_ROUTES = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteEvidence:
    """How requests of one route were answered.

    Attributes:
      route: Name of the route; empty for the remaining ones.
      failed: Answers that were failures.
      times: Number of a class of run times, then the answers in it, for each
        class with answers.
    """

    route: str
    failed: int
    times: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What the servers of one version did at one owner since an order.

    Attributes:
      service: Name of the service.
      ordered_at: Log index of the order.
      software: Version of the servers; empty if it is unknown.
      version: Version of the owner's table when the report was made.
      age_s: Time since the owner learned of the order, in seconds.
      arrived: Requests sent to the servers.
      running: Requests that are accepted and not yet ended.
      routes: The answers by route.
    """

    service: str
    ordered_at: int
    software: str
    version: int
    age_s: float
    arrived: int
    running: int
    routes: tuple[RouteEvidence, ...] = ()


@dataclasses.dataclass(slots=True)
class Tally:
    """Answers of some servers, of which `failed` were failures.

    Attributes:
      failed: Answers that were failures.
      times: Answers by class of their run time.
    """

    failed: int = 0
    times: list[int] = dataclasses.field(
        default_factory=lambda: [0] * CLASS_COUNT
    )

    @property
    def answered(self) -> int:
        """Number of all answers."""
        return sum(self.times)

    def add(self, run_s: float, *, failed: bool) -> None:
        """Counts one answer.

        Args:
          run_s: Time that the server took, in seconds.
          failed: Whether the answer was a failure.
        """
        self.failed += failed
        self.times[find_class(run_s)] += 1

    def merge(self, other: "Tally") -> None:
        """Adds the counts of another tally."""
        self.failed += other.failed
        self.times = list(map(operator.add, self.times, other.times))

    def subtract(self, earlier: "Tally") -> "Tally":
        """Returns what has come since an earlier tally of the same answers."""
        return Tally(
            self.failed - earlier.failed,
            list(map(operator.sub, self.times, earlier.times)),
        )

    def accumulate(self) -> list[int]:
        """Returns the answers in each class and those above it."""
        return list(itertools.accumulate(reversed(self.times)))[::-1]

    def find_median(self) -> int:
        """Returns the class of the median run time."""
        half = self.answered / 2
        seen = 0
        for number, count in enumerate(self.times):
            seen += count
            if seen >= half:
                return number
        return CLASS_COUNT - 1


def find_class(run_s: float) -> int:
    """Returns the class of a run time in seconds."""
    if run_s <= FIRST_EDGE_S:
        return 0
    number = 1 + int(math.log(run_s / FIRST_EDGE_S) / math.log(EDGE_RATIO))
    return min(number, CLASS_COUNT - 1)


def pack(tallies: Iterable[tuple[str, Tally]]) -> tuple[RouteEvidence, ...]:
    """Returns the counts of each route in the form of a report."""
    return tuple(
        RouteEvidence(
            route=route,
            failed=tally.failed,
            times=tuple(
                figure
                for number, count in enumerate(tally.times)
                if count
                for figure in (number, count)
            ),
        )
        for route, tally in tallies
    )


def unpack(routes: Iterable[RouteEvidence]) -> dict[str, Tally]:
    """Returns the tally of each route in a report; passes over bad classes."""
    tallies: dict[str, Tally] = {}
    for route in routes:
        tally = Tally(failed=max(0, route.failed))
        numbers, counts = route.times[::2], route.times[1::2]
        for number, count in zip(numbers, counts, strict=False):
            if 0 <= number < CLASS_COUNT and count > 0:
                tally.times[number] += count
        tallies[route.route] = tally
    return tallies
