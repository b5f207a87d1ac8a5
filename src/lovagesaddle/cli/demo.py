"""Runs the demo: the whole system in one process, and checks its promises."""

import collections
import pathlib
import tempfile
import time

import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import cluster_requests
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import demo_files
from lovagesaddle.cli import demo_mesh
from lovagesaddle.cli import demo_report
from lovagesaddle.cli import demo_traffic
from lovagesaddle.cli import demo_watch
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.core import errors
from lovagesaddle.core.model import commands
from lovagesaddle.observability import latencies
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema

OPERATOR = "demo"
CALLERS = 4
START_S = 10.0
DIRECT_S = 2.0
BEFORE_CHANGE_S = 2.0
BEFORE_DRAIN_S = 1.5
AFTER_DRAIN_S = 5.0
POLL_INTERVAL_S = 0.05


def run_demo(*, log_file: str, json: bool) -> None:
    """Runs the demo, prints its report and ends the command.

    Args:
      log_file: File for the log lines; empty to discard them.
      json: Whether the report is printed as JSON.
    """
    with tempfile.TemporaryDirectory(prefix="lovagesaddle-demo-") as name:
        folder = pathlib.Path(name)
        settings = schema.LogSettings(file=log_file or str(folder / "log"))
        with logs.open_log(settings), demo_mesh.open_mesh(folder) as mesh:
            report = demo_report.make_report(_Session(mesh).run())
    if json:
        output.print_json(report)
    else:
        typer.echo(demo_report.describe(report))
    if not report.holds:
        context_lib.exit_command(exits.Exit.PROMISE_BROKEN)


class _Session:
    """Runs publishes, traffic and a drain on the mesh and records them."""

    def __init__(self, mesh: demo_mesh.Mesh) -> None:
        self._mesh = mesh
        self._settings = schema.OperatorSettings(
            replicas=mesh.replicas, operator=OPERATOR
        )

    def run(self) -> demo_report.Observations:
        vms = self._mesh.vms
        with client_lib.Client(self._settings) as client:
            _print_progress("three replicas, six nodes and their servers start")
            _wait_for_leader(client)
            first_s = self._publish(client, revision=1, timeout="2s")
            direct = self._call_directly()
            _print_progress("callers send requests through the nodes")
            with (
                demo_watch.VersionSampler(vms) as watch,
                self._open_traffic() as traffic,
            ):
                time.sleep(BEFORE_CHANGE_S)
                second_s = self._publish(client, revision=2, timeout="3s")
                time.sleep(BEFORE_DRAIN_S)
                drained_at = self._drain(vms[0])
                time.sleep(AFTER_DRAIN_S)
        return demo_report.Observations(
            convergence_s=(first_s, second_s),
            control_bytes=demo_watch.read_control_bytes(vms),
            calls=traffic.list_calls(),
            runs=_count_runs(vms),
            drain=demo_report.Drain(
                server=vms[0].server.name,
                at_s=drained_at,
                runs=vms[0].server.runs,
            ),
            regressions=watch.list_regressions(),
            direct=direct,
            through=_summarize(traffic.latency),
        )

    def _publish(
        self, client: client_lib.Client, *, revision: int, timeout: str
    ) -> float:
        found = context_lib.require_answer(
            cluster_requests.publish_services(
                client,
                demo_files.make_services(revision=revision, timeout=timeout),
                publish_id=f"demo-{revision}",
                base_version=context_lib.require_answer(
                    cluster_requests.fetch_base_version(client)
                ),
            )
        )
        if found.outcome is not commands.PublishOutcome.ACCEPTED:
            raise errors.LovagesaddleError(
                step="publish", peer="leader", cause=str(found.causes)
            )
        seconds = demo_watch.wait_for_version(
            self._mesh.vms, found.version, START_S
        )
        _print_progress(
            f"order desk revision {revision} is version {found.version},"
            f" in force on every node after {seconds:.2f} s"
        )
        return seconds

    def _call_directly(self) -> demo_report.Latency:
        _print_progress(
            "callers send requests straight to the servers, to compare"
        )
        addresses = [vm.server.address for vm in self._mesh.vms]
        with demo_traffic.Traffic(
            addresses=addresses, targets=demo_files.TARGETS, callers=CALLERS
        ) as traffic:
            time.sleep(DIRECT_S)
        for vm in self._mesh.vms:
            vm.server.clear_runs()
        return _summarize(traffic.latency)

    def _open_traffic(self) -> demo_traffic.Traffic:
        return demo_traffic.Traffic(
            addresses=[vm.node.http_address for vm in self._mesh.vms],
            targets=demo_files.TARGETS,
            callers=CALLERS,
        )

    def _drain(self, vm: demo_mesh.DemoVm) -> float:
        if not vm.server.drain(vm.node.admin_address):
            raise errors.LovagesaddleError(
                step="drain", peer=vm.node_id, cause="the node refused"
            )
        _print_progress(f"{vm.server.name} is draining")
        return time.monotonic()


def _wait_for_leader(client: client_lib.Client) -> None:
    deadline = time.monotonic() + START_S
    while time.monotonic() < deadline:
        status = context_lib.require_answer(
            cluster_requests.fetch_status(client)
        )
        if status.leader_id and status.node_count == len(demo_mesh.SERVICES):
            return
        time.sleep(POLL_INTERVAL_S)
    raise errors.LovagesaddleError(
        step="start", peer="replicas", cause=f"no leader after {START_S:g} s"
    )


def _count_runs(vms: tuple[demo_mesh.DemoVm, ...]) -> dict[str, int]:
    return collections.Counter(run.path for vm in vms for run in vm.server.runs)


def _summarize(recorder: latencies.LatencyRecorder) -> demo_report.Latency:
    return demo_report.Latency(
        p50_s=recorder.compute_percentile(50),
        p99_s=recorder.compute_percentile(99),
    )


def _print_progress(text: str) -> None:
    output.print_note(f"demo: {text}")
