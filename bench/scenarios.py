"""Disturbances of a mesh while calls run."""

import abc
import contextlib
import dataclasses
import time

from bench import admin
from bench import cluster as cluster_lib
from bench import load
from bench import results
from bench import verdicts
from bench import workloads

CHANGE_INTERVAL_S = 1.0
SLOW_FACTOR = 20


class Scenario(abc.ABC):
    """A disturbance and the figures that only it has.

    Attributes:
      name: Name in experiment files and tables.
    """

    name: str

    def prepare(self, workload: workloads.Workload) -> workloads.Workload:
        """Returns the workload with the faults that exist from the start."""
        return workload

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Disturbs the mesh; returns by `until`, epoch time in seconds."""
        del cluster, workload, until

    def compute_figures(
        self,
        calls: list[load.CallRecord],
        runs: list[verdicts.RunRecord],
    ) -> tuple[results.Figure, ...]:
        """Returns the figures that only this scenario has."""
        del calls, runs
        return ()


class Quiet(Scenario):
    """Leaves the mesh undisturbed."""

    name = "quiet"


class SlowServer(Scenario):
    """Makes one server run requests twenty times slower."""

    name = "one-slow"

    def prepare(self, workload: workloads.Workload) -> workloads.Workload:
        """Returns the workload with a slow first server."""
        first, *others = workload.upstreams
        slow = dataclasses.replace(first, run_ms=first.run_ms * SLOW_FACTOR)
        return dataclasses.replace(workload, upstreams=(slow, *others))


class DeadServer(Scenario):
    """Kills one backend server at half time."""

    name = "one-dead"

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Kills the first server's process at half time."""
        _sleep_until(time.time() + (until - time.time()) / 2)
        cluster.vms[workload.upstreams[0].name].backend.kill()


class LostDomain(Scenario):
    """Kills every VM of one failure domain at half time."""

    name = "domain-gone"

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Kills the nodes and servers of a domain at half time."""
        _sleep_until(time.time() + (until - time.time()) / 2)
        domain = workload.upstreams[0].failure_domain
        for vm in cluster.vms.values():
            if vm.upstream.failure_domain == domain:
                vm.node.kill()
                vm.backend.kill()


class ChangingConfiguration(Scenario):
    """Publishes a changed configuration each second."""

    name = "change-each-second"

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Publishes higher revisions until the end."""
        revision = 1
        while time.time() + CHANGE_INTERVAL_S < until:
            revision += 1
            cluster.publish(
                tuple(
                    dataclasses.replace(service, revision=revision)
                    for service in workload.services
                )
            )
            time.sleep(CHANGE_INTERVAL_S)

    def compute_figures(
        self,
        calls: list[load.CallRecord],
        runs: list[verdicts.RunRecord],
    ) -> tuple[results.Figure, ...]:
        """Returns the number of calls cut off by the changes."""
        del runs
        return (_count_cut("cut by configuration changes", calls),)


class PlannedStop(Scenario):
    """Drains one server and stops one node gracefully."""

    name = "planned-stop"

    def __init__(self) -> None:
        self._pid = 0
        self._drained_at = 0.0

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Drains the first server, then stops the second server's node."""
        span_s = until - time.time()
        _sleep_until(time.time() + span_s / 4)
        draining = cluster.vms[workload.upstreams[0].name]
        self._pid = draining.backend.pid
        self._drained_at = time.time()
        admin.post_admin(
            draining.addresses.admin,
            "/drain",
            {"service": draining.upstream.service},
        )
        _sleep_until(time.time() + span_s / 4)
        stopping = cluster.vms[workload.upstreams[1].name]
        stopping.node.stop()
        stopping.backend.kill()

    def compute_figures(
        self,
        calls: list[load.CallRecord],
        runs: list[verdicts.RunRecord],
    ) -> tuple[results.Figure, ...]:
        """Returns late starts at the drained server, and calls cut off."""
        return (
            verdicts.count_late_starts(runs, self._pid, self._drained_at),
            _count_cut("cut by planned stops", calls),
        )


class CrashingRequest(Scenario):
    """Resends one request that crashes each server that runs it."""

    name = "crashing-request"
    SENDS = 50
    RESTART_S = 0.5

    def __init__(self) -> None:
        self._crash_count = 0

    def disturb(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        until: float,
    ) -> None:
        """Sends the request 50 times and restarts each crashed server."""
        service = workload.upstreams[0].service
        pause_s = max(0.0, (until - time.time()) / self.SENDS - 0.02)
        for number in range(self.SENDS):
            self._send(cluster, workload, service, number)
            self._restart(cluster)
            time.sleep(pause_s)

    def _send(
        self,
        cluster: cluster_lib.Cluster,
        workload: workloads.Workload,
        service: str,
        number: int,
    ) -> None:
        host = f"{service}.example"
        kind = next(k for k in workload.kinds if k.host == host)
        vms = list(cluster.vms.values())
        with contextlib.suppress(OSError):
            admin.send_once(
                vms[number % len(vms)].addresses.http,
                # The query sets it apart from good requests of the same route.
                f"{kind.path}?order=crashing",
                {
                    "Host": host,
                    "Authorization": f"Bearer {workloads.TOKEN}",
                    "Act": "crash-during",
                },
            )

    def _restart(self, cluster: cluster_lib.Cluster) -> None:
        for name, vm in cluster.vms.items():
            if not vm.backend.is_running:
                self._crash_count += 1
                cluster.start_backend(name)

    def compute_figures(
        self,
        calls: list[load.CallRecord],
        runs: list[verdicts.RunRecord],
    ) -> tuple[results.Figure, ...]:
        """Returns the number of crashes and of other calls that failed."""
        del runs
        failed = [call for call in calls if call.outcome]
        return (
            results.Figure(
                name="servers fallen", value=float(self._crash_count), unit="1"
            ),
            results.Figure(
                name="good calls that failed",
                value=float(len(failed)),
                unit="1",
            ),
        )


def _count_cut(name: str, calls: list[load.CallRecord]) -> results.Figure:
    cut = [
        call
        for call in calls
        if not call.direct and call.outcome in ("unknown", "cut")
    ]
    return results.Figure(name=name, value=float(len(cut)), unit="1", bound=0)


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.time()))
