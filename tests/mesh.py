"""In-memory links and a log without consensus, for distribution tests.

Time is virtual: `Mesh.run` delivers frames after `LATENCY_S` and ticks every
state machine. Nothing is delivered between two processes whose link is cut.
If links have a rate, the frames of one node are transmitted one after another
in each direction.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import node_agent
from lovagesaddle.core.distribution import replica_agent
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.model import stamps

LATENCY_S = 0.005
TICK_S = 0.05
HEARTBEAT_S = 1.0
LEASE_S = 6.0
EXPIRY_SHARE = 0.34
CLUSTER_ID = "c"
STAMP = stamps.LeaderStamp(term=1, counter=1)


class Replica:
    """The agent of a replica, with the state that the replica applied."""

    def __init__(self, replica_id: str, heartbeat_s: float) -> None:
        self.peer = peers.Peer(peer_id=replica_id, address=replica_id)
        self.part = replica_agent.ReplicaAgent(
            heartbeat_s=heartbeat_s, lease_s=LEASE_S, expiry_share=EXPIRY_SHARE
        )
        self.hashed = state_lib.make_initial_snapshot()
        self.stamp = stamps.LeaderStamp(term=1, counter=0)
        self.current_at = 0.0


class Member:
    """The agent of a node, with the versions and marks that it delivered."""

    def __init__(self, part: node_agent.NodeAgent, epoch: int) -> None:
        self.part = part
        self.epoch = epoch
        self.installed: list[delta.HashedSnapshot] = []
        self.marks: list[bytes] = []
        self.lines: list[events.LogLine] = []
        self.current_at: float | None = None
        self.tick_at = 0.0
        self.ticks = 0


class Link:
    """One direction of a node's link, which transmits one frame at a time.

    Args:
      rate: Rate of the link, in bytes per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def transmit(self, size: int, now: float) -> float:
        """Queues a frame; returns when its last byte is transmitted.

        Args:
          size: Size of the frame, in bytes.
          now: Virtual time in seconds.
        """
        self._free_at = max(now, self._free_at) + size / self._rate
        return self._free_at


class Mesh:
    """Replicas and nodes on in-memory links.

    Args:
      replica_count: Number of replicas; their links have no rate.
      heartbeat_s: Time between heartbeats, in seconds.
      link_rate: Rate of each node's link in each direction, in bytes per
        second.
      is_paced: Whether nodes tick when they ask for it, as their threads do;
        else at every step of time.

    Attributes:
      intercept: Called with the sender, the target and each frame; the frame
        is not delivered if it returns True.
      entries: Number of log entries.
      sent: Sender, target and content of every frame sent.
      on_evidence: Called with a leader and each report on roll-outs that it
        gets.
    """

    def __init__(
        self,
        replica_count: int = 3,
        heartbeat_s: float = HEARTBEAT_S,
        link_rate: float = math.inf,
        *,
        is_paced: bool = False,
    ) -> None:
        self._is_paced = is_paced
        self.heartbeat_s = heartbeat_s
        self._links: dict[tuple[str, bool], Link] = collections.defaultdict(
            lambda: Link(link_rate)
        )
        self.now = 100.0
        self.replicas = {
            f"r{n}": Replica(f"r{n}", heartbeat_s) for n in range(replica_count)
        }
        self.leader_id = "r0"
        self.nodes: dict[str, Member] = {}
        self.blocked: set[frozenset[str]] = set()
        self.state = state_lib.make_initial_state()
        self.entries = 0
        self.sent: list[tuple[str, str, bytes]] = []
        self.on_evidence: Callable[[str, messages.RolloutReport], None] = (
            lambda *_: None
        )
        self.intercept: Callable[[str, str, bytes], bool] = lambda *_: False
        self._hashed = state_lib.make_initial_snapshot()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._epochs = itertools.count(1)
        self._isolated: set[str] = set()
        self.commit(commands.FoundCluster(cluster_id=CLUSTER_ID))

    def add_node(self, node_id: str, domain: str = "a") -> Member:
        """Starts a node, or restarts it without its former state."""
        epoch = next(self._epochs)
        part = node_agent.NodeAgent(
            node=make_node(node_id, domain=domain),
            start_id=epoch.to_bytes(4, "big"),
            cluster_id=CLUSTER_ID,
            replicas=tuple(r.peer for r in self.replicas.values()),
            heartbeat_s=self.heartbeat_s,
            random=random.Random(epoch),
        )
        self.nodes[node_id] = Member(part, epoch)
        return self.nodes[node_id]

    def add_nodes(self, count: int, domain: str = "a") -> None:
        """Starts nodes named after their domain."""
        for number in range(count):
            self.add_node(f"{domain}{number:03d}", domain)

    def kill(self, node_id: str) -> None:
        """Ends a node without a leave."""
        del self.nodes[node_id]

    def cut(self, first: set[str], second: set[str]) -> None:
        """Cuts every link between two groups."""
        self.blocked |= {frozenset((a, b)) for a in first for b in second}

    def heal(self) -> None:
        """Restores every link and lets all replicas catch up."""
        self.blocked.clear()
        self._isolated.clear()

    def isolate_replica(self, replica_id: str) -> None:
        """Cuts a replica off from the others, but not from the nodes."""
        self.cut({replica_id}, set(self.replicas) - {replica_id})
        self._isolated.add(replica_id)

    def replace_replica(self, old_id: str, new_id: str) -> None:
        """Replaces a replica by one with a new ID and address."""
        del self.replicas[old_id]
        self.replicas[new_id] = Replica(new_id, self.heartbeat_s)
        if self.leader_id == old_id:
            self.leader_id = new_id

    def commit(self, command: commands.Command | None) -> int:
        """Applies an entry at every replica that is not isolated."""
        self.entries += 1
        version = self.state.snapshot.version + 1
        self.state = state_lib.apply_command(self.state, version, command).state
        self._hashed = state_lib.rehash_state(self._hashed, self.state)
        self._observe()
        return version

    def publish(self, *names: str) -> int:
        """Publishes services with those names."""
        return self.publish_services(*(make_service(name) for name in names))

    def publish_services(self, *published: services.Service) -> int:
        """Publishes services."""
        return self.commit(
            commands.PublishServices(
                publish_id=f"p{self.entries}",
                operator="ana",
                base_version=self.state.publication_version,
                services=published,
            )
        )

    def get_versions(self) -> dict[str, int]:
        """Returns the installed version of each node."""
        return {name: node.part.version for name, node in self.nodes.items()}

    def run(self, seconds: float, tick_s: float = TICK_S) -> None:
        """Advances virtual time by `seconds`, in steps of `tick_s`."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + tick_s, 6)
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            self._observe()
            for process_id in (*self.replicas, *self.nodes):
                node = self.nodes.get(process_id)
                if self._is_paced and node and self.now < node.tick_at:
                    continue
                self.step(process_id, events.Tick())

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Runs until `done()`; returns the virtual seconds it took."""
        start = self.now
        while not done():
            assert self.now - start < limit_s, f"not done in {limit_s} s"
            self.run(TICK_S)
        return self.now - start

    def run_until_converged(self, limit_s: float = 30.0) -> float:
        """Runs until every node has installed the newest version.

        Returns:
          The time that it took, in virtual seconds.
        """
        return self.run_until(
            lambda: (
                set(self.get_versions().values())
                <= {self.state.snapshot.version}
            ),
            limit_s,
        )

    def step(
        self,
        process_id: str,
        event: replica_events.ReplicaEvent | events.NodeEvent,
    ) -> None:
        """Passes one event to a process and carries out its actions."""
        if process_id in self.replicas:
            part = self.replicas[process_id].part
            for action in part.step(event, self.now):  # type: ignore[arg-type]
                self._carry_out_at_replica(process_id, action)
        elif process_id in self.nodes:
            node = self.nodes[process_id]
            if isinstance(event, events.Tick):
                node.tick_at = math.inf
                node.ticks += 1
            for act in node.part.step(event, self.now):  # type: ignore[arg-type]
                self._carry_out_at_node(process_id, node, act)
            due_at = self.now + node.part.compute_wait(self.now)
            node.tick_at = min(node.tick_at, due_at)

    def _observe(self) -> None:
        for replica_id, replica in self.replicas.items():
            if replica_id not in self._isolated:
                replica.hashed = self._hashed
                replica.stamp = stamps.LeaderStamp(
                    term=1, counter=int(self.now / HEARTBEAT_S)
                )
                replica.current_at = self.now
            leads = replica_id == self.leader_id
            leader = self.replicas.get(self.leader_id)
            observed = replica_events.ConsensusObserved(
                hashed=replica.hashed,
                is_leader=leads,
                leader=None if leads or leader is None else leader.peer,
                stamp=replica.stamp,
                replicas=tuple(
                    other.peer
                    for other in self.replicas.values()
                    if other is not replica
                ),
                own=replica.peer,
                current_at=replica.current_at,
            )
            self.step(replica_id, observed)

    def _carry_out_at_replica(
        self, replica_id: str, action: replica_events.ReplicaAction
    ) -> None:
        if isinstance(action, replica_events.DeliverEvidence):
            self.on_evidence(replica_id, action.report)
        elif not isinstance(action, replica_events.Propose):
            self._send(replica_id, 0, action)
        elif replica_id not in self._isolated:
            version = self.commit(action.command)
            applied = replica_events.EntryApplied(
                ticket=action.ticket, version=version
            )
            self.step(replica_id, applied)

    def _carry_out_at_node(
        self, node_id: str, node: Member, action: events.Action
    ) -> None:
        match action:
            case events.Install():
                node.installed.append(action.hashed)
            case events.RecordProof():
                node.current_at = action.current_at
            case events.DeliverMarks():
                node.marks.extend(mark.mark_id for mark in action.marks)
            case events.LogLine():
                node.lines.append(action)
            case _:
                self._send(node_id, node.epoch, action)

    def _send(self, sender_id: str, epoch: int, action: events.Action) -> None:
        if isinstance(action, events.Send):
            route = f"{sender_id}/{epoch}/{action.peer.peer_id}".encode()
            self._send_frame(
                sender_id, action.peer.peer_id, route, action.frame
            )
        elif isinstance(action, events.Answer):
            target, target_epoch, _ = action.route.decode().split("/")
            member = self.nodes.get(target)
            if member is None or member.epoch == int(target_epoch):
                self._send_frame(sender_id, target, b"", action.frame)

    def _send_frame(
        self, sender_id: str, target_id: str, route: bytes, frame: bytes
    ) -> None:
        self.sent.append((sender_id, target_id, frame))
        if self.intercept(sender_id, target_id, frame):
            return
        received = events.FrameReceived(
            sender_id=sender_id, route=route, frame=frame
        )
        pair = frozenset((sender_id, target_id))

        def _deliver() -> None:
            if pair not in self.blocked:
                self.step(target_id, received)

        arrives_at = self._compute_arrival(sender_id, target_id, len(frame))
        heapq.heappush(self._queue, (arrives_at, next(self._order), _deliver))

    def _compute_arrival(
        self, sender_id: str, target_id: str, size: int
    ) -> float:
        """Returns when the last byte of a frame arrives at its target."""
        moment = self.now
        if sender_id not in self.replicas:
            moment = self._links[sender_id, True].transmit(size, moment)
        moment += LATENCY_S
        if target_id not in self.replicas:
            moment = self._links[target_id, False].transmit(size, moment)
        return moment


def make_node(
    node_id: str, *, domain: str = "a", incarnation: int = 0
) -> snapshots.Node:
    """Returns a node whose address is its ID."""
    return snapshots.Node(
        node_id=node_id,
        incarnation=incarnation,
        failure_domain=domain,
        region="r",
        http_address=f"{node_id}:1",
        control_address=node_id,
        public_key="",
    )


def make_server(
    node_id: str,
    incarnation: int = 1,
    state: snapshots.ServerState = snapshots.ServerState.SERVING,
) -> snapshots.BackendServer:
    """Returns the backend server of a node."""
    return snapshots.BackendServer(
        server_id=f"{node_id}/orderdesk",
        incarnation=incarnation,
        service="orderdesk",
        node_id=node_id,
        slots=20,
        connections=100,
        state=state,
    )


def make_service(name: str, revision: int = 1) -> services.Service:
    """Returns a service without routes."""
    return services.Service(
        name=name, revision=revision, callers=(), routes=(), depends_on=()
    )
