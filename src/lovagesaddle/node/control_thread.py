"""Runs the agent of a node, which receives configuration, on one thread."""

import collections
from collections.abc import Callable
import random
import secrets
import threading
from typing import Self

import zmq

from lovagesaddle import clocks
from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import node_agent
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence
from lovagesaddle.node import ports
from lovagesaddle.observability import logs
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib
from lovagesaddle.transport import keys as keys_lib
from lovagesaddle.transport import log_lines
from lovagesaddle.transport import traffic as traffic_lib

START_ID_BYTES = 8
STOP_TIMEOUT_S = 5.0
_log = logs.get_logger("control")
_CHANNEL = endpoint_lib.Channel.DISTRIBUTION

Handler = Callable[[str, bytes], None]
Task = Callable[[], None]


class ControlThread(ports.ControlPort):
    """Runs a `node_agent.NodeAgent` and its endpoint on one thread.

    Args:
      settings: Settings of the node.
      http_address: `ip:port` where the node serves callers.
      sink: Receives new versions and crash marks.
      context: ZeroMQ context of the process.

    Attributes:
      agent_type: Class of the agent; subclasses may replace it.
    """

    agent_type = node_agent.NodeAgent

    def __init__(
        self,
        *,
        settings: schema.NodeSettings,
        http_address: str,
        sink: ports.SnapshotSink,
        context: zmq.Context[zmq.Socket[bytes]],
    ) -> None:
        self._settings = settings
        self._sink = sink
        self._keys = keys_lib.load(settings.keys)
        self._endpoint = endpoint_lib.Endpoint(
            context=context,
            own_id=settings.node_id,
            bind_address=settings.control_address,
            keys=self._keys,
        )
        self._agent = self._make_agent(http_address)
        self._peers: dict[str, peers.Peer] = {}
        self._handlers: dict[endpoint_lib.Channel, Handler] = {}
        self._tasks: collections.deque[Task] = collections.deque()
        self._lock = threading.Lock()
        self._stopping = False
        self._leaving = False
        self._removed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="control-half", daemon=True
        )

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def address(self) -> str:
        """The bound `tcp://ip:port`."""
        return self._endpoint.address

    @property
    def version(self) -> int:
        """Version of the installed snapshot; 0 for none."""
        return self._agent.version

    @property
    def control_bytes(self) -> int:
        """Total bytes of all frames sent and received."""
        return self._endpoint.traffic_bytes

    @property
    def traffic(self) -> traffic_lib.Traffic:
        """Numbers of frames by kind."""
        return self._endpoint.traffic

    def start(self) -> None:
        """Starts the thread; call `subscribe` before it."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread and closes the connections; idempotent."""
        with self._lock:
            if self._stopping:
                return
            self._endpoint.wake()
            self._stopping = True
        self._thread.join(STOP_TIMEOUT_S)
        self._endpoint.close()

    def announce_server(self, server: snapshots.BackendServer) -> None:
        """Reports that the local backend server joined, changed or drains."""
        self._post_event(events.ServerAnnounced(server=server))

    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """Reports that the local backend server is gone."""
        self._post_event(
            events.ServerWithdrawn(server_id=server_id, incarnation=incarnation)
        )

    def leave(self, timeout_s: float) -> bool:
        """Removes this node from the mesh; call it once the node is drained."""
        self._leaving = True
        self._post_event(events.LeaveRequested())
        return self._removed.wait(timeout_s)

    def request_proof(self) -> None:
        """Asks for a proof of the configuration's age; see the base class."""
        self._post_event(events.ProofRequested())

    def report_evidence(self, versions: tuple[evidence.Evidence, ...]) -> None:
        """See base class."""
        self._post_event(events.EvidenceCounted(versions=versions))

    def spread_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Sends crash marks to every node."""
        mark_messages = tuple(
            messages.Mark(
                fingerprint=mark.fingerprint,
                mark_id=mark.mark_id,
                age_s=mark.age_s,
            )
            for mark in marks
        )
        self._post_event(events.MarksRaised(marks=mark_messages))

    def send(
        self, node_id: str, channel: endpoint_lib.Channel, data: bytes
    ) -> bool:
        """Sends a message to another node; False if the node is unknown."""
        peer = self._peers.get(node_id)
        if peer is None:
            return False

        self._enqueue(lambda: self._send(peer, channel, data))
        return True

    def subscribe(
        self, channel: endpoint_lib.Channel, handler: Handler
    ) -> None:
        """Registers a handler of a channel's messages; see the base class."""
        self._handlers[channel] = handler

    def _make_agent(self, http_address: str) -> node_agent.NodeAgent:
        settings = self._settings
        start_id = secrets.token_bytes(START_ID_BYTES)
        node = snapshots.Node(
            node_id=settings.node_id,
            incarnation=0,
            failure_domain=settings.failure_domain,
            region=settings.region,
            http_address=http_address,
            control_address=self._endpoint.address,
            public_key=self._keys.pair.public if self._keys else "",
        )
        replicas = tuple(
            peers.Peer(
                peer_id=replica.replica_id,
                address=replica.address,
                public_key=replica.public_key,
            )
            for replica in settings.replicas
        )
        return self.agent_type(
            node=node,
            start_id=start_id,
            cluster_id=settings.cluster_id,
            replicas=replicas,
            heartbeat_s=settings.heartbeat_s,
            random=random.Random(start_id),
        )

    def _post_event(self, event: events.NodeEvent) -> None:
        self._enqueue(lambda: self._step(event))

    def _enqueue(self, task: Task) -> None:
        self._tasks.append(task)
        self._wake()

    def _wake(self) -> None:
        with self._lock:
            if not self._stopping:
                self._endpoint.wake()

    def _run(self) -> None:
        next_tick = 0.0
        while not self._stopping:
            now = clocks.read_uptime()
            if now >= next_tick:
                self._step(events.Tick())
                next_tick = now + self._agent.compute_wait(now)
            received_messages = self._endpoint.receive(next_tick - now)
            for received in received_messages:
                self._receive(received)
            has_events = bool(received_messages or self._tasks)
            while self._tasks:
                self._tasks.popleft()()
            if has_events:
                now = clocks.read_uptime()
                wait_s = self._agent.compute_wait(now)
                next_tick = min(next_tick, now + wait_s)

    def _receive(self, received: endpoint_lib.Received) -> None:
        if received.channel is not _CHANNEL:
            handler = self._handlers.get(received.channel)
            if handler is not None:
                self._handle(handler, received)
            return
        self._step(
            events.FrameReceived(
                sender_id=received.sender_id,
                route=received.route,
                frame=received.data,
            )
        )

    def _handle(
        self, handler: Handler, received: endpoint_lib.Received
    ) -> None:
        """Passes a message to its handler; its errors don't end the thread."""
        try:
            handler(received.sender_id, received.data)
        except Exception as error:
            _log.error(
                "message_failed",
                channel=received.channel.name,
                peer=received.sender_id,
                cause=repr(error),
            )

    def _step(self, event: events.NodeEvent) -> None:
        try:
            for action in self._agent.step(event, clocks.read_uptime()):
                self._execute(action)
        except _InstallError:
            self._step(events.InstallFailed())
        except Exception as error:
            _log.error(
                "control_event_failed",
                event_type=type(event).__name__,
                cause=repr(error),
            )

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._send(action.peer, _CHANNEL, action.frame)
            case events.Answer():
                self._endpoint.answer(action.route, _CHANNEL, action.frame)
            case events.Disconnect():
                self._endpoint.disconnect(action.peer)
            case events.Install():
                self._install(action)
            case events.RecordProof():
                self._sink.record_proof(action.current_at)
            case events.DeliverMarks():
                self._sink.add_crash_marks(
                    tuple(
                        ports.CrashMark(
                            fingerprint=mark.fingerprint,
                            mark_id=mark.mark_id,
                            age_s=mark.age_s,
                        )
                        for mark in action.marks
                    )
                )
            case events.LogLine():
                log_lines.write_event(action)

    def _send(
        self, peer: peers.Peer, channel: endpoint_lib.Channel, data: bytes
    ) -> None:
        try:
            self._endpoint.send(peer, channel, data)
        except errors.TransportError as error:
            log_lines.write_error(error)

    def _install(self, action: events.Install) -> None:
        peers_by_id = {
            node.node_id: relay_tree.make_peer(node)
            for node in action.hashed.snapshot.nodes
        }
        for peer in set(self._peers.values()) - set(peers_by_id.values()):
            self._endpoint.disconnect(peer)
        self._peers = peers_by_id
        try:
            self._sink.install(action.hashed, joined=True)
        except Exception as error:
            _log.error(
                "install_failed",
                version=action.hashed.version,
                cause=repr(error),
            )
            raise _InstallError from error
        if self._leaving and self._settings.node_id not in peers_by_id:
            self._removed.set()


class _InstallError(Exception):
    """A version could not be put in force; the actions after it are dropped."""


def create(
    settings: schema.NodeSettings,
    context: zmq.Context[zmq.Socket[bytes]],
    sink: ports.SnapshotSink,
) -> ControlThread:
    """Returns the control thread of a node, not yet started."""
    return ControlThread(
        settings=settings,
        http_address=settings.http_address,
        sink=sink,
        context=context,
    )
