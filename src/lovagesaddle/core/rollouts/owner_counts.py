"""What an owner lets run by version, and what it counts of each version.

Load: servers of two versions side by side. The owner beside a server is the
only process that sends to it, so the decision here is the last one, whatever
table an entry had.
"""

import dataclasses

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence as evidence_lib
from lovagesaddle.core.rollouts import software_versions


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts of one version of one service since the order."""

    arrived: int = 0
    running: int = 0
    routes: dict[str, evidence_lib.Tally] = dataclasses.field(
        default_factory=dict
    )

    def get_tally(self, route: str) -> evidence_lib.Tally:
        if route not in self.routes and (
            len(self.routes) >= evidence_lib.MAX_ROUTES
        ):
            route = ""
        return self.routes.setdefault(route, evidence_lib.Tally())


class OwnerCounts:
    """Decides on and counts the requests of local servers, by version.

    Args:
      lease_s: Largest proved age of the table, in seconds, at which a version
        on trial gets requests. A leader that rolls back waits for nobody: a
        node that does not hear of it stops by itself.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._rollouts: dict[str, snapshots.Rollout] = {}
        self._learned_at: dict[str, float] = {}
        self._version = 0
        self._servers: dict[str, tuple[str, str]] = {}
        self._counts: dict[tuple[str, str], _Counts] = {}

    @property
    def is_reporting(self) -> bool:
        """Whether a roll-out of the service of a local server is running."""
        return any(
            self._is_running(service)
            for service, _ in (*self._servers.values(), *self._counts)
        )

    def install(
        self,
        rollouts: tuple[snapshots.Rollout, ...],
        version: int,
        now: float,
    ) -> None:
        """Puts the roll-outs of a version in force.

        Args:
          rollouts: Newest roll-out of each service.
          version: Version of the table.
          now: Monotonic time in seconds.
        """
        self._version = version
        before = self._rollouts
        self._rollouts = {rollout.service: rollout for rollout in rollouts}
        for service, rollout in self._rollouts.items():
            known = before.get(service)
            if known is None or known.ordered_at != rollout.ordered_at:
                self._learned_at[service] = now
                for key, counts in self._counts.items():
                    if key[0] == service:
                        counts.arrived = 0
                        counts.routes = {}

    def add_server(self, server: snapshots.BackendServer) -> None:
        """Adds a local server or its new incarnation."""
        software = server.software or ""
        self._servers[server.server_id] = (server.service, software)

    def remove_server(self, server_id: str) -> None:
        """Removes a local server; its running requests still count."""
        self._servers.pop(server_id, None)

    def may_run(
        self, server: snapshots.BackendServer, proof_age_s: float | None
    ) -> bool:
        """Returns whether a server may get a request now.

        Args:
          server: The server.
          proof_age_s: Proved age of the table, in seconds; None if unproved.
        """
        rollout = self._rollouts.get(server.service)
        software = server.software or ""
        if not software_versions.may_run(rollout, software):
            return False
        # At the whole share there is no other version to fall back to.
        needs_lease = (
            rollout is not None
            and software_versions.is_on_trial(rollout, software)
            and rollout.weight < software_versions.FULL_WEIGHT
        )
        return not needs_lease or (
            proof_age_s is not None and proof_age_s <= self._lease_s
        )

    def enter(
        self, server: snapshots.BackendServer, proof_age_s: float | None
    ) -> bool:
        """Counts a request as running if its server may get it.

        The caller calls `leave` for each request that entered.
        """
        if not self.may_run(server, proof_age_s):
            return False
        self._get_counts(server).running += 1
        return True

    def count_sent(self, server: snapshots.BackendServer) -> None:
        """Counts a request that is sent to its server."""
        self._get_counts(server).arrived += 1

    def count_answer(
        self,
        server: snapshots.BackendServer,
        route: str,
        run_s: float,
        *,
        failed: bool,
    ) -> None:
        """Counts how a request was answered.

        Load: a server that has just started is slow for some seconds, which
        tells nothing of its version. Only its failures count.
        """
        if server.is_warm or failed:
            tally = self._get_counts(server).get_tally(route)
            tally.add(run_s, failed=failed)

    def leave(self, server: snapshots.BackendServer) -> None:
        """Counts a request that entered as ended."""
        self._get_counts(server).running -= 1

    def make_reports(self, now: float) -> tuple[evidence_lib.Evidence, ...]:
        """Returns the report on each version of running roll-outs."""
        keys = {*self._counts, *self._servers.values()}
        return tuple(
            self._make_report(key, now)
            for key in sorted(keys)
            if self._is_running(key[0])
        )

    def _make_report(
        self, key: tuple[str, str], now: float
    ) -> evidence_lib.Evidence:
        service, software = key
        counts = self._counts.get(key) or _Counts()
        return evidence_lib.Evidence(
            service=service,
            ordered_at=self._rollouts[service].ordered_at,
            software=software,
            version=self._version,
            age_s=round(now - self._learned_at[service], 3),
            arrived=counts.arrived,
            running=counts.running,
            routes=evidence_lib.pack(sorted(counts.routes.items())),
        )

    def _get_counts(self, server: snapshots.BackendServer) -> _Counts:
        key = (server.service, server.software or "")
        return self._counts.setdefault(key, _Counts())

    def _is_running(self, service: str) -> bool:
        rollout = self._rollouts.get(service)
        return (
            rollout is not None
            and rollout.phase is snapshots.RolloutPhase.RUNNING
        )
