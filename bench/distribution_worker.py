"""Runs nodes in a worker process of the distribution measurement."""

import contextlib
import dataclasses
import logging
from multiprocessing import connection
import os
import pathlib
import time

import structlog
import zmq

from bench import distribution_methods
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import wire
from lovagesaddle.node import ports
from lovagesaddle.settings import schema
from lovagesaddle.transport import traffic

ANY_PORT = "tcp://127.0.0.1:*"
BYTES_PER_MB = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """The nodes that a worker runs.

    Attributes:
      method: Key of `distribution_methods.NODE_TYPES`.
      names: Node IDs.
      domains: Failure domain of each node.
      replicas: Replicas through which the nodes join.
      heartbeat_s: Time between heartbeats, in seconds.
    """

    method: str
    names: tuple[str, ...]
    domains: tuple[str, ...]
    replicas: tuple[schema.ReplicaAddress, ...]
    heartbeat_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Installed:
    """The installation of a version by a node.

    Attributes:
      name: Node ID.
      version: Installed version.
      at: Time in seconds of the monotonic clock, which all processes share.
    """

    name: str
    version: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KillOrder:
    """Orders the worker to stop nodes without a notice to their peers."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportOrder:
    """Orders a report from the worker.

    Attributes:
      ends: Whether the worker exits after the report.
    """

    ends: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What the nodes of a worker installed and used.

    Attributes:
      installed: Versions installed since the last report.
      cpu_s: Processor time of the process so far, in seconds.
      memory_mb: Resident memory, in megabytes.
      sizes: Bytes sent and received so far, for each node.
      kinds: Bytes sent so far, for each kind of message.
    """

    installed: tuple[Installed, ...]
    cpu_s: float
    memory_mb: float
    sizes: tuple[int, ...]
    kinds: dict[str, int]


class _Sink(ports.SnapshotSink):
    def __init__(self, name: str, installed: list[Installed]) -> None:
        self._name = name
        self._installed = installed

    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        del joined
        self._installed.append(
            Installed(
                name=self._name, version=hashed.version, at=time.monotonic()
            )
        )

    def record_proof(self, current_at: float) -> None:
        del current_at

    def add_crash_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        del marks


def run_worker(pipe: connection.Connection, assignment: Assignment) -> None:
    """Runs nodes and answers orders until a report order ends the worker."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    installed: list[Installed] = []
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.Context())
        nodes: dict[str, distribution_methods.Node] = {}
        pairs = zip(assignment.names, assignment.domains, strict=True)
        for name, domain in pairs:
            node = _start_node(assignment, name, domain, context, installed)
            stack.callback(node.stop)
            nodes[name] = node
        while True:
            order = pipe.recv()
            if isinstance(order, KillOrder):
                for name in set(order.names) & set(nodes):
                    nodes[name].stop()
                continue
            new_installs, installed[:] = tuple(installed), []
            pipe.send(_make_report(nodes, new_installs))
            if order.ends:
                return


def _start_node(
    assignment: Assignment,
    name: str,
    domain: str,
    context: zmq.Context[zmq.Socket[bytes]],
    installed: list[Installed],
) -> distribution_methods.Node:
    settings = schema.NodeSettings(
        node_id=name,
        failure_domain=domain,
        region="region",
        http_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        control_address=ANY_PORT,
        cluster_id="bench",
        replicas=assignment.replicas,
        heartbeat_s=assignment.heartbeat_s,
    )
    node = distribution_methods.NODE_TYPES[assignment.method](
        settings=settings,
        http_address="127.0.0.1:8080",
        sink=_Sink(name, installed),
        context=context,
    )
    node.start()
    return node


def _make_report(
    nodes: dict[str, distribution_methods.Node],
    installed: tuple[Installed, ...],
) -> Report:
    status = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
    pages = int(status.split()[1])
    kinds: dict[str, int] = {}
    for node in nodes.values():
        for count in node.traffic.list_counts():
            if count.direction is traffic.Direction.SENT:
                name = wire.name_kind(bytes((count.kind,)))
                kinds[name] = kinds.get(name, 0) + count.size
    return Report(
        installed=installed,
        cpu_s=time.process_time(),
        memory_mb=pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB,
        sizes=tuple(node.control_bytes for node in nodes.values()),
        kinds=kinds,
    )
