"""The control half of a node: one thread that follows the configuration."""

import collections
from collections.abc import Callable
import random
import secrets
import threading
import time
from typing import Self

import zmq

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import node_agent
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import ports
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib
from lovagesaddle.transport import keys as keys_lib
from lovagesaddle.transport import log_lines
from lovagesaddle.transport import traffic as traffic_lib

TICK_S = 0.05
LIFE_BYTES = 8
STOP_TIMEOUT_S = 5.0
_CHANNEL = endpoint_lib.Channel.DISTRIBUTION

Handler = Callable[[str, bytes], None]
Work = Callable[[], None]


class ControlHalf(ports.ControlPort):
    """Runs a `node_agent.NodeAgent` with an endpoint on a thread of its own.

    Args:
      settings: Settings of the node.
      http_address: `ip:port` where the node serves callers.
      sink: Takes versions and crash marks.
      context: ZeroMQ context of the process.

    Attributes:
      agent_type: Class of the agent.
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
        self._work: collections.deque[Work] = collections.deque()
        self._lock = threading.Lock()
        self._stopping = False
        self._leaving = False
        self._left = threading.Event()
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
        """Version that is held; 0 for none."""
        return self._agent.version

    @property
    def control_bytes(self) -> int:
        """Bytes of every frame sent and received."""
        return self._endpoint.traffic_bytes

    @property
    def traffic(self) -> traffic_lib.Traffic:
        """Counts of the frames, by kind."""
        return self._endpoint.traffic

    def start(self) -> None:
        """Starts the thread; subscribe first."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread and closes the links; a second call is harmless."""
        with self._lock:
            if self._stopping:
                return
            self._endpoint.wake()
            self._stopping = True
        self._thread.join(STOP_TIMEOUT_S)
        self._endpoint.close()

    def announce_server(self, server: snapshots.BackendServer) -> None:
        """Reports that the local backend server joined, changed or drains."""
        self._hand_over(events.ServerAnnounced(server=server))

    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """Reports that the local backend server is gone."""
        self._hand_over(
            events.ServerWithdrawn(server_id=server_id, incarnation=incarnation)
        )

    def leave(self, timeout_s: float) -> bool:
        """Takes this node out of the mesh, after draining."""
        self._leaving = True
        self._hand_over(events.LeaveRequested())
        return self._left.wait(timeout_s)

    def spread_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Sends crash marks to every node."""
        carried = tuple(
            messages.Mark(
                fingerprint=mark.fingerprint,
                mark_id=mark.mark_id,
                age_s=mark.age_s,
            )
            for mark in marks
        )
        self._hand_over(events.MarksRaised(marks=carried))

    def send(
        self, node_id: str, channel: endpoint_lib.Channel, data: bytes
    ) -> bool:
        """Sends a message to another node of the snapshot."""
        peer = self._peers.get(node_id)
        if peer is None:
            return False

        self._enqueue(lambda: self._send(peer, channel, data))
        return True

    def subscribe(
        self, channel: endpoint_lib.Channel, handler: Handler
    ) -> None:
        """Calls `handler(sender_id, data)` for each message of a channel."""
        self._handlers[channel] = handler

    def _make_agent(self, http_address: str) -> node_agent.NodeAgent:
        settings = self._settings
        life = secrets.token_bytes(LIFE_BYTES)
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
            life=life,
            cluster_id=settings.cluster_id,
            replicas=replicas,
            heartbeat_s=settings.heartbeat_s,
            random=random.Random(life),
        )

    def _hand_over(self, event: events.NodeEvent) -> None:
        self._enqueue(lambda: self._step(event))

    def _enqueue(self, work: Work) -> None:
        self._work.append(work)
        self._wake()

    def _wake(self) -> None:
        with self._lock:
            if not self._stopping:
                self._endpoint.wake()

    def _run(self) -> None:
        next_tick = 0.0
        while not self._stopping:
            now = time.monotonic()
            if now >= next_tick:
                next_tick = now + TICK_S
                self._step(events.Tick())
            for received in self._endpoint.receive(next_tick - now):
                self._receive(received)
            while self._work:
                self._work.popleft()()

    def _receive(self, received: endpoint_lib.Received) -> None:
        if received.channel is not _CHANNEL:
            handler = self._handlers.get(received.channel)
            if handler is not None:
                handler(received.sender_id, received.data)
            return
        self._step(
            events.FrameReceived(
                sender_id=received.sender_id,
                route=received.route,
                frame=received.data,
            )
        )

    def _step(self, event: events.NodeEvent) -> None:
        for action in self._agent.step(event, time.monotonic()):
            self._carry_out(action)

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._send(action.peer, _CHANNEL, action.frame)
            case events.Answer():
                self._endpoint.answer(action.route, _CHANNEL, action.frame)
            case events.Disconnect():
                self._endpoint.disconnect(action.peer)
            case events.Install():
                self._install(action)
            case events.DeliverMarks():
                self._sink.take_marks(
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
        listed = {
            node.node_id: relay_tree.make_peer(node)
            for node in action.stamped.snapshot.nodes
        }
        for peer in set(self._peers.values()) - set(listed.values()):
            self._endpoint.disconnect(peer)
        self._peers = listed
        self._sink.install(action.stamped, joined=True)
        if self._leaving and self._settings.node_id not in listed:
            self._left.set()
