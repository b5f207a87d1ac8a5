"""What is known of one running roll-out: its age and the owners' reports."""

import collections
from collections.abc import Iterator, Mapping
import math

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence as evidence_lib
from lovagesaddle.core.rollouts import software_versions

# A version that turns bad later shows in the answers of this time.
RECENT_S = 2.5

_Tallies = dict[str, evidence_lib.Tally]


class _Series:
    """Reports of one version at one owner, of the last `RECENT_S`.

    Args:
      incarnation: Incarnation of the owner; an owner that restarted counts
        from 0.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._tallies: collections.deque[tuple[float, _Tallies]] = (
            collections.deque()
        )
        self.newest: evidence_lib.Evidence | None = None

    def add(self, report: evidence_lib.Evidence, now: float) -> None:
        """Adds a report, unless a newer one came before it."""
        newest = self.newest
        if newest is not None and report.age_s <= newest.age_s:
            return
        self.newest = report
        self._tallies.append((now, evidence_lib.unpack(report.routes)))
        while len(self._tallies) > 1 and self._tallies[1][0] <= now - RECENT_S:
            self._tallies.popleft()

    def get_whole(self) -> _Tallies:
        """Returns all answers since the order."""
        return self._tallies[-1][1] if self._tallies else {}

    def compute_recent(self) -> _Tallies:
        """Returns the answers of the last `RECENT_S`."""
        if len(self._tallies) < 2:
            return self.get_whole()
        first, last = self._tallies[0][1], self._tallies[-1][1]
        return {
            route: tally.subtract(first[route]) if route in first else tally
            for route, tally in last.items()
        }


class Course:
    """Collects what the owners report of one roll-out.

    Load: a leader that is lost in the middle. Its successor learns the counts
    and the age of the order from the next reports, as both are counted at the
    owners from the order on.

    Args:
      rollout: The roll-out.
      version: Version of the snapshot with it.
      now: Monotonic time in seconds.
    """

    def __init__(
        self, rollout: snapshots.Rollout, version: int, now: float
    ) -> None:
        self.rollout = rollout
        self._weight_version = version
        self._started_at = now - rollout.elapsed_s
        self._series: dict[tuple[str, str], _Series] = {}

    def replace(self, rollout: snapshots.Rollout, version: int) -> None:
        """Records the present state of the roll-out."""
        if rollout.weight != self.rollout.weight:
            self._weight_version = version
        self.rollout = rollout

    def compute_age(self, now: float) -> float:
        """Returns the time since the order, in seconds."""
        return now - self._started_at

    def compute_step_age(self, now: float) -> float:
        """Returns the time since the last step, in seconds."""
        return self.compute_age(now) - self.rollout.elapsed_s

    def add(
        self,
        node_id: str,
        incarnation: int,
        report: evidence_lib.Evidence,
        now: float,
    ) -> None:
        """Adds an owner's report; one of another roll-out is passed over."""
        if report.ordered_at != self.rollout.ordered_at:
            return
        self._started_at = min(self._started_at, now - report.age_s)
        key = (node_id, report.software)
        series = self._series.get(key)
        if series is None or series.incarnation < incarnation:
            series = self._series[key] = _Series(incarnation)
        if series.incarnation == incarnation:
            series.add(report, now)

    def retain(self, incarnations: Mapping[str, int]) -> None:
        """Drops the reports of nodes that have left or restarted.

        Args:
          incarnations: Incarnation of each node of the mesh.
        """
        for key, series in tuple(self._series.items()):
            if series.incarnation < incarnations.get(key[0], math.inf):
                del self._series[key]

    def list_tallies(self, software: str, *, recent: bool) -> list[_Tallies]:
        """Returns the answers of a version by owner."""
        return [
            series.compute_recent() if recent else series.get_whole()
            for series in self._iterate(software)
        ]

    def count_arrived(self, software: str) -> int:
        """Returns how many requests were sent to servers of a version."""
        return sum(
            series.newest.arrived
            for series in self._iterate(software)
            if series.newest is not None
        )

    def list_busy(self, snapshot: snapshots.Snapshot) -> list[str]:
        """Returns the owners that may still run requests at the old version.

        Load: requests on their way to an owner when the share reaches the
        whole. An owner that has the table with the whole share accepts none
        any more, so one that reports nothing running under that table has
        none, and gets none.
        """
        if self.rollout.weight < software_versions.FULL_WEIGHT:
            return sorted({server.node_id for server in snapshot.servers})
        previous = self.rollout.previous
        owners = {
            server.node_id
            for server in snapshot.servers
            if server.service == self.rollout.service
            and (server.software or "") == previous
        }
        owners |= {key[0] for key in self._series if key[1] == previous}
        return sorted(
            node_id for node_id in owners if self._is_busy(node_id, previous)
        )

    def _is_busy(self, node_id: str, software: str) -> bool:
        series = self._series.get((node_id, software))
        if series is None or series.newest is None:
            return True
        newest = series.newest
        return bool(newest.running) or newest.version < self._weight_version

    def _iterate(self, software: str) -> Iterator[_Series]:
        for key, series in self._series.items():
            if key[1] == software:
                yield series
