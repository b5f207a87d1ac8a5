"""Runs the replicas, nodes and backend servers of the demo in one process."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import pathlib

import zmq

from lovagesaddle.cli import demo_server
from lovagesaddle.control import program as control_program
from lovagesaddle.http import sockets
from lovagesaddle.node import program as node_program
from lovagesaddle.settings import schema

CLUSTER_ID = "demo"
REGION = "demo"
DOMAINS = ("domain-a", "domain-b", "domain-c")
REPLICA_COUNT = 3
NODE_THREADS = 6
ANY_HTTP_ADDRESS = "127.0.0.1:0"
ANY_CONTROL_ADDRESS = "tcp://127.0.0.1:*"
SERVICES = (
    "orderdesk",
    "orderdesk",
    "orderdesk",
    "artwork",
    "orderdesk",
    "artwork",
)

Context = zmq.Context[zmq.Socket[bytes]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemoVm:
    """One VM of the demo: a node and the backend server beside it."""

    node: node_program.NodeProgram
    node_id: str
    server: demo_server.DemoServer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mesh:
    """The running replicas and VMs of the demo.

    Attributes:
      replicas: Addresses of the control replicas.
      vms: The VMs, sorted by name.
    """

    replicas: tuple[schema.ReplicaAddress, ...]
    vms: tuple[DemoVm, ...]


@contextlib.contextmanager
def open_mesh(folder: pathlib.Path) -> Iterator[Mesh]:
    """Runs replicas, nodes and backend servers while it is open.

    Args:
      folder: Parent of the data folders of the replicas.
    """
    replicas = _choose_replicas()
    with contextlib.ExitStack() as stack:
        context: Context = stack.enter_context(zmq.Context())
        _start_replicas(stack, context, replicas, folder)
        vms = tuple(
            _start_vm(stack, context, replicas, number)
            for number in range(len(SERVICES))
        )
        for vm in vms:
            vm.server.announce(vm.node.admin_address)
        yield Mesh(replicas=replicas, vms=vms)


def _choose_replicas() -> tuple[schema.ReplicaAddress, ...]:
    ports = sockets.find_free_ports(REPLICA_COUNT)
    return tuple(
        schema.ReplicaAddress(
            replica_id=f"control-{number}",
            address=f"tcp://127.0.0.1:{port}",
        )
        for number, port in enumerate(ports, start=1)
    )


def _start_replicas(
    stack: contextlib.ExitStack,
    context: Context,
    replicas: tuple[schema.ReplicaAddress, ...],
    folder: pathlib.Path,
) -> None:
    pool = stack.enter_context(futures.ThreadPoolExecutor(REPLICA_COUNT))
    for replica, domain in zip(replicas, DOMAINS, strict=True):
        settings = schema.ControlSettings(
            replica_id=replica.replica_id,
            address=replica.address,
            failure_domain=domain,
            data_folder=str(folder / replica.replica_id),
            cluster_id=CLUSTER_ID,
            replicas=replicas,
        )
        program = stack.enter_context(
            control_program.ControlProgram(settings, context, is_founding=True)
        )
        running = pool.submit(program.run)
        stack.callback(running.result)
        stack.callback(program.stop)


def _start_vm(
    stack: contextlib.ExitStack,
    context: Context,
    replicas: tuple[schema.ReplicaAddress, ...],
    number: int,
) -> DemoVm:
    node_id = f"node-{number + 1}"
    settings = schema.NodeSettings(
        node_id=node_id,
        failure_domain=DOMAINS[number % len(DOMAINS)],
        region=REGION,
        http_address=ANY_HTTP_ADDRESS,
        admin_address=ANY_HTTP_ADDRESS,
        control_address=ANY_CONTROL_ADDRESS,
        cluster_id=CLUSTER_ID,
        replicas=replicas,
        threads=NODE_THREADS,
    )
    server = stack.enter_context(
        demo_server.DemoServer(
            name=f"{node_id}-server", service=SERVICES[number]
        )
    )
    node = stack.enter_context(node_program.NodeProgram(settings, context))
    return DemoVm(node=node, node_id=node_id, server=server)
