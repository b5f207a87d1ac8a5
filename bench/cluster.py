"""Runs a whole mesh as real processes on loopback."""

import contextlib
import dataclasses
import pathlib
import time
from typing import Self
import uuid

from bench import admin
from bench import policies
from bench import processes
from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import cluster_requests
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.http import sockets
from lovagesaddle.settings import schema

CLUSTER_ID = "bench"
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
SECRET = "bench-secret"
_CONTROL_SETTINGS = """[control]
replica-id = r1
address = {address}
failure-domain = a
data-folder = {folder}/r1
cluster-id = {cluster}

[replica r1]
address = {address}

[log]
level = warning
"""
_NODE_SETTINGS = """[node]
node-id = {name}
failure-domain = {domain}
region = r
http-address = 127.0.0.1:{http_port}
admin-address = 127.0.0.1:{admin_port}
control-address = tcp://127.0.0.1:{control_port}
cluster-id = {cluster}
mesh-secret-file = {folder}/secret
grace = 20s

[replica r1]
address = {address}

[log]
level = {level}
file = {folder}/{name}.log
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Configuration of one VM: a node and its backend server.

    Attributes:
      name: Node ID.
      service: Service of the backend server.
      failure_domain: Failure domain of the VM.
      slots: Slots of the backend server.
      connections: Most connections of the backend server.
      run_ms: Time of a run, in milliseconds.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    connections: int
    run_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Vm:
    """The processes of one VM and their addresses."""

    upstream: Upstream
    node: processes.Process
    backend: processes.Process
    addresses: processes.Addresses
    backend_address: str


class Cluster:
    """Runs a control replica, nodes and stand-ins, as a context manager.

    Args:
      folder: Folder for settings, logs and records.
      upstreams: VMs to start.
      services: Services to publish before the VMs start.
      policy: Key of `policies.POLICIES` for every node.
      log_level: Log level of the nodes.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        upstreams: tuple[Upstream, ...],
        services: tuple[services_lib.Service, ...],
        *,
        policy: str = policies.CHOSEN,
        log_level: str = "info",
    ) -> None:
        self._folder = folder
        self._upstreams = upstreams
        self._services = services
        self._policy = policy
        self._log_level = log_level
        self._stack = contextlib.ExitStack()
        self._address = f"tcp://127.0.0.1:{sockets.find_free_ports(1)[0]}"
        self.vms: dict[str, Vm] = {}

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            (self._folder / "secret").write_text(SECRET, encoding="utf-8")
            self._start_control(stack)
            self._client = stack.enter_context(
                client_lib.Client(
                    schema.OperatorSettings(
                        replicas=(
                            schema.ReplicaAddress(
                                replica_id="r1", address=self._address
                            ),
                        ),
                        operator="bench",
                    )
                )
            )
            self.publish(self._services)
            for upstream in self._upstreams:
                self._start_vm(stack, upstream)
            self._wait_until_ready()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    @property
    def record(self) -> pathlib.Path:
        """File in which all stand-ins record their runs."""
        return self._folder / "runs.jsonl"

    def publish(self, services: tuple[services_lib.Service, ...]) -> int:
        """Publishes services; returns the version once it is accepted."""
        base = cluster_requests.fetch_base_version(self._client).unwrap()
        published = cluster_requests.publish_services(
            self._client,
            services,
            publish_id=uuid.uuid4().hex,
            base_version=base,
        )
        return published.unwrap().version

    def start_backend(self, name: str) -> None:
        """Restarts the backend server of a VM after its process ended."""
        vm = self.vms[name]
        vm.backend, vm.backend_address = self._start_backend(
            self._stack, vm.upstream, vm.addresses.admin
        )

    def _start_control(self, stack: contextlib.ExitStack) -> None:
        path = self._folder / "control.ini"
        path.write_text(
            _CONTROL_SETTINGS.format(
                address=self._address, folder=self._folder, cluster=CLUSTER_ID
            ),
            encoding="utf-8",
        )
        stack.enter_context(
            processes.Process(
                "bench.control_program",
                str(path),
                log=self._folder / "control.err",
            )
        )

    def _start_vm(
        self, stack: contextlib.ExitStack, upstream: Upstream
    ) -> None:
        path = self._folder / f"{upstream.name}.ini"
        ports = sockets.find_free_ports(3)
        text = _NODE_SETTINGS.format(
            name=upstream.name,
            domain=upstream.failure_domain,
            http_port=ports[0],
            admin_port=ports[1],
            control_port=ports[2],
            cluster=CLUSTER_ID,
            folder=self._folder,
            address=self._address,
            level=self._log_level,
        )
        path.write_text(text, encoding="utf-8")
        node = stack.enter_context(
            processes.Process(
                "bench.node_program",
                str(path),
                self._policy,
                log=self._folder / f"{upstream.name}.err",
            )
        )
        http_address, admin_address = node.read_line()
        backend, backend_address = self._start_backend(
            stack, upstream, admin_address
        )
        self.vms[upstream.name] = Vm(
            upstream=upstream,
            node=node,
            backend=backend,
            addresses=processes.Addresses(
                http=http_address, admin=admin_address
            ),
            backend_address=backend_address,
        )

    def _start_backend(
        self,
        stack: contextlib.ExitStack,
        upstream: Upstream,
        admin_address: str,
    ) -> tuple[processes.Process, str]:
        backend = stack.enter_context(
            processes.Process(
                "bench.backend_program",
                f"--service={upstream.service}",
                f"--admin={admin_address}",
                f"--slots={upstream.slots}",
                f"--connections={upstream.connections}",
                f"--run-ms={upstream.run_ms}",
                f"--record={self.record}",
                log=self._folder / f"{upstream.name}-backend.err",
            )
        )
        return backend, backend.read_line()[0]

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        node_count = len(self._upstreams)
        while time.monotonic() < deadline:
            status = cluster_requests.fetch_status(self._client).unwrap()
            is_in_force = status.in_force_version == status.version
            if (
                status.node_count == node_count
                and is_in_force
                and self._knows_all_servers()
            ):
                return
            time.sleep(POLL_S)
        raise OSError("the nodes did not join in time")

    def _knows_all_servers(self) -> bool:
        return all(
            admin.get_health(vm.addresses.admin)["known_servers"]
            >= len(self._upstreams)
            for vm in self.vms.values()
        )
