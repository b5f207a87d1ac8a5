"""Nodes with a fake control thread, for tests and benchmarks."""

from collections.abc import Callable, Iterator
from concurrent import futures
import contextlib
import dataclasses
import hashlib
import http.client
import socket
import threading
import time
from typing import Any, Self

import zmq

from lovagesaddle import clocks
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence
from lovagesaddle.core.routing import shard_plan
from lovagesaddle.node import owned_server
from lovagesaddle.node import ports
from lovagesaddle.node import program
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint

HOST = "desk.example"
TOKEN = "token-of-a-foundation"
WAIT_S = 10.0
POLL_S = 0.005
# Time for which a version stays proved to be the newest.
PROOF_S = 3600.0
ANY = "127.0.0.1:0"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Holds the answer that a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


class FakeControl:
    """Merges announcements into one snapshot and installs it on every node.

    One thread delivers the messages between nodes in order. Messages from or to
    a node in `cut_off` are dropped.

    Attributes:
      proves: Whether each version is proved to stay the newest.
      held_back: IDs of nodes that receive no further version.
      on_proof_requested: Called when a node asks for a proof.
      evidence: Reports on roll-outs, each with the ID of its node.
    """

    def __init__(self, *services_: services.Service) -> None:
        self._lock = threading.RLock()
        self._sinks: dict[str, ports.SnapshotSink] = {}
        self._snapshot = snapshots.Snapshot(
            cluster_id="c",
            version=1,
            services=services_,
            publication=1 if services_ else 0,
        )
        self.handlers: dict[
            tuple[str, endpoint.Channel], Callable[[str, bytes], None]
        ] = {}
        self._delivery = futures.ThreadPoolExecutor(max_workers=1)
        self.cut_off: set[str] = set()
        self.joined = True
        self.proves = True
        self.held_back: set[str] = set()
        self.on_proof_requested: Callable[[], None] = lambda: None
        self.evidence: list[tuple[str, tuple[evidence.Evidence, ...]]] = []

    @property
    def snapshot(self) -> snapshots.Snapshot:
        """The newest snapshot."""
        return self._snapshot

    @contextlib.contextmanager
    def attach(
        self,
        settings: schema.NodeSettings,
        context: zmq.Context[zmq.Socket[bytes]],
        sink: ports.SnapshotSink,
    ) -> Iterator[ports.ControlPort]:
        """Adds a node to the snapshot, as its control thread does."""
        del context
        node = snapshots.Node(
            node_id=settings.node_id,
            incarnation=1,
            failure_domain=settings.failure_domain,
            region=settings.region,
            http_address=settings.http_address,
            control_address=settings.control_address,
            public_key="",
        )
        with self._lock:
            self._sinks[settings.node_id] = sink
            self.change(nodes=self._merge("nodes", "node_id", node))
        yield _NodePort(self, settings.node_id)
        with self._lock:
            del self._sinks[settings.node_id]
            for channel in endpoint.Channel:
                self.handlers.pop((settings.node_id, channel), None)

    def change(self, **fields: Any) -> None:
        """Installs a newer snapshot with changed fields.

        A change of the services is a publication, as on a replica.
        """
        with self._lock:
            if "services" in fields:
                fields.setdefault("publication", self._snapshot.version + 1)
            self._snapshot = dataclasses.replace(
                self._snapshot, version=self._snapshot.version + 1, **fields
            )
            hashed = delta.hash_snapshot(self._snapshot)
            for node_id, sink in self._sinks.items():
                if node_id in self.held_back:
                    continue
                sink.install(hashed, joined=self.joined)
                if self.proves:
                    sink.record_proof(clocks.read_uptime() + PROOF_S)

    def announce_server(self, server: snapshots.BackendServer) -> None:
        """Adds or changes a server."""
        with self._lock:
            self.change(servers=self._merge("servers", "server_id", server))

    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """Removes a server."""
        del incarnation
        with self._lock:
            self.change(
                servers=tuple(
                    held
                    for held in self._snapshot.servers
                    if held.server_id != server_id
                )
            )

    def spread_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Sends crash marks to every node."""
        for sink in tuple(self._sinks.values()):
            sink.add_crash_marks(marks)

    def close(self) -> None:
        """Stops the delivery of messages."""
        self._delivery.shutdown(wait=True, cancel_futures=True)

    def leave(self, node_id: str) -> None:
        """Removes a node from the snapshot."""
        with self._lock:
            kept = [n for n in self._snapshot.nodes if n.node_id != node_id]
            self.change(nodes=tuple(kept))

    def assign_shards(self) -> None:
        """Assigns shards to the nodes, as a leader does."""
        with self._lock:
            shards = self._snapshot.shards
            while True:
                planned = dataclasses.replace(self._snapshot, shards=shards)
                command = shard_plan.plan_shards(planned)
                if command is None:
                    break
                shards = delta.merge(shards, command.shards, ())
            if shards != self._snapshot.shards:
                self.change(shards=shards)

    def deliver(
        self,
        sender_id: str,
        node_id: str,
        channel: endpoint.Channel,
        data: bytes,
    ) -> bool:
        """Delivers a message; returns False if the receiver is not known."""
        handler = self.handlers.get((node_id, channel))
        if handler is None:
            return False
        if not self.cut_off.intersection((sender_id, node_id)):
            self._delivery.submit(handler, sender_id, data)
        return True

    def _merge(self, field: str, key: str, item: Any) -> tuple[Any, ...]:
        held = {getattr(each, key): each for each in self._read(field)}
        held[getattr(item, key)] = item
        return tuple(held[name] for name in sorted(held))

    def _read(self, field: str) -> tuple[Any, ...]:
        found: tuple[Any, ...] = getattr(self._snapshot, field)
        return found


class _NodePort(ports.ControlPort):
    """Connects one node to the fake control thread."""

    def __init__(self, control: FakeControl, node_id: str) -> None:
        self._control = control
        self._node_id = node_id

    @property
    def control_bytes(self) -> int:
        """See base class; no bytes are sent."""
        return 0

    def announce_server(self, server: snapshots.BackendServer) -> None:
        """See base class."""
        self._control.announce_server(server)

    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """See base class."""
        self._control.withdraw_server(server_id, incarnation)

    def leave(self, timeout_s: float) -> bool:
        """See base class."""
        del timeout_s
        self._control.leave(self._node_id)
        return True

    def request_proof(self) -> None:
        """See base class."""
        self._control.on_proof_requested()

    def report_evidence(self, versions: tuple[evidence.Evidence, ...]) -> None:
        """See base class."""
        self._control.evidence.append((self._node_id, versions))

    def spread_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """See base class."""
        self._control.spread_marks(marks)

    def send(
        self, node_id: str, channel: endpoint.Channel, data: bytes
    ) -> bool:
        """See base class."""
        return self._control.deliver(self._node_id, node_id, channel, data)

    def subscribe(
        self, channel: endpoint.Channel, handler: Callable[[str, bytes], None]
    ) -> None:
        """See base class."""
        self._control.handlers[self._node_id, channel] = handler


class Mesh:
    """Runs nodes in this process with one fake control; a context manager."""

    def __init__(self, *services_: services.Service) -> None:
        self.control = FakeControl(*services_)
        self._stack = contextlib.ExitStack()
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()

    def __enter__(self) -> Self:
        self._stack.callback(self._context.term)
        self._stack.callback(self.control.close)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def start(
        self,
        node_id: str,
        *,
        failure_domain: str = "a",
        routing_options: routing_lib.RoutingOptions | None = None,
        owner_options: owned_server.OwnerOptions | None = None,
        **fields: Any,
    ) -> program.NodeProgram:
        """Starts another node."""
        settings = schema.NodeSettings(
            node_id=node_id,
            failure_domain=failure_domain,
            region="r",
            http_address=ANY,
            admin_address=ANY,
            control_address="tcp://127.0.0.1:1",
            cluster_id="c",
            replicas=(),
            **fields,
        )
        return self._stack.enter_context(
            program.NodeProgram(
                settings,
                self._context,
                make_control=self.control.attach,
                routing_options=routing_options,
                owner_options=owner_options,
            )
        )


def make_service(
    name: str = "orderdesk",
    *,
    host: str = HOST,
    depends_on: tuple[str, ...] = (),
    **fields: Any,
) -> services.Service:
    """Returns a service with one route for all paths."""
    route = services.Route(
        **{
            "name": "all",
            "host": host,
            "path_prefix": "/",
            "methods": ("DELETE", "GET", "HEAD", "POST"),
            "timeout_s": 5.0,
            "retries": 1,
            "priority": services.Priority.NORMAL,
            "idempotent": False,
            "callers": ("foundation",),
            "services": (),
            "max_body_bytes": 1024 * 1024,
            **fields,
        }
    )
    digest = "sha256:" + hashlib.sha256(TOKEN.encode()).hexdigest()
    caller = services.Caller(name="foundation", digests=(digest,))
    return services.Service(
        name=name,
        revision=1,
        callers=(caller,),
        routes=(route,),
        depends_on=depends_on,
    )


def send(
    address: str,
    method: str = "GET",
    path: str = "/",
    *,
    body: bytes | None = None,
    token: str = TOKEN,
    **headers: str,
) -> Reply:
    """Sends one request over a new connection and returns the answer."""
    connection = http.client.HTTPConnection(address, timeout=WAIT_S)
    sent = {"Host": HOST, "Authorization": f"Bearer {token}"}
    sent |= {key.replace("_", "-"): value for key, value in headers.items()}
    try:
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        return Reply(
            status=response.status,
            headers=dict(response.getheaders()),
            body=response.read(),
        )
    finally:
        connection.close()


def wait_for(condition: Callable[[], object], what: str) -> None:
    """Waits until a condition holds.

    Raises:
      AssertionError: It did not hold in time.
    """
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(POLL_S)


def open_request(address: str, **headers: str) -> socket.socket:
    """Sends a GET request and returns the connection; reads no answer."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), WAIT_S)
    send_on(sock, **headers)
    return sock


def send_on(sock: socket.socket, **headers: str) -> None:
    """Sends a GET request on an open connection."""
    lines = [f"Host: {HOST}", f"Authorization: Bearer {TOKEN}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    head = "\r\n".join(["GET / HTTP/1.1", *lines])
    sock.sendall(head.encode() + b"\r\n\r\n")
