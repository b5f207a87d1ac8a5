"""Holders and claimants on a network that a test runs step by step."""

from collections.abc import Iterable
import dataclasses
import random

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_holder
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import shard_plan
from tests import routing_mesh as mesh_lib

HOLDER_MESSAGES = (
    messages.ClaimRequest,
    messages.StoreRequest,
    messages.ReleaseRequest,
    messages.PullRequest,
    messages.PullAnswer,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Packet:
    """A message that was sent but not delivered."""

    sender_id: str
    target_id: str
    data: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A process of a node, between two restarts."""

    node_id: str
    incarnation: int
    holder: claim_holder.ClaimHolder
    shard: snapshots.Shard | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request with a key at one entry.

    Attributes:
      ran_at: Time at which the request ran; None if it did not.
      told: Final answer to the caller; None before it.
    """

    token: str
    node_id: str
    key: str
    body: str
    client: claim_client.ClaimClient
    timer: float = 0.0
    running: bool = False
    ran_at: float | None = None
    end: claim_events.Ended | None = None
    told: claim_events.Action | None = None
    told_at: float = 0.0
    settled: bool = False
    over: bool = False


class ClaimMesh:
    """A mesh of nodes with one shard of claims."""

    def __init__(self, *, nodes: int = 5, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.packets: list[Packet] = []
        self.requests: list[Request] = []
        self.processes: dict[str, Process] = {}
        self.restarts = 0
        self.shard: snapshots.Shard | None = None
        self.leaving: set[str] = set()
        self.nodes = [
            mesh_lib.make_node(number, f"d{number % 3}")
            for number in range(nodes)
        ]
        for node in self.nodes:
            self.restart(node.node_id)

    def restart(self, node_id: str) -> None:
        """Restarts a node's process, which ends its requests."""
        self.restarts += 1
        for request in self.requests:
            if request.node_id == node_id:
                request.over = True
        self.processes[node_id] = Process(
            node_id=node_id,
            incarnation=self.restarts,
            holder=claim_holder.ClaimHolder(node_id=node_id),
        )

    def plan(self) -> None:
        """Plans the shard as the leader does; no node learns of it yet."""
        snapshot = snapshots.Snapshot(
            cluster_id="test",
            version=1,
            nodes=tuple(
                dataclasses.replace(
                    node, incarnation=self.processes[node.node_id].incarnation
                )
                for node in self.nodes
            ),
            servers=tuple(
                mesh_lib.make_server(
                    int(node_id[1:]), state=snapshots.ServerState.DRAINING
                )
                for node_id in sorted(self.leaving)
            ),
            shards=() if self.shard is None else (self.shard,),
        )
        planned = shard_plan.plan_shards(snapshot, shard_count=1)
        if planned is not None:
            (self.shard,) = planned.shards

    def install(self, node_id: str) -> None:
        """Installs the newest snapshot at a node."""
        if self.shard is None:
            return
        process = self.processes[node_id]
        process.shard = self.shard
        event = claim_holder.Installed(
            shards=(self.shard,), incarnation=process.incarnation
        )
        self._send(node_id, process.holder.step(event, self.now))
        changed = claim_events.ShardChanged(shard=self.shard)
        for request in self.requests:
            if request.node_id == node_id:
                self.step(request, changed)

    def install_all(self) -> None:
        """Plans the shard and installs the result at every node."""
        self.plan()
        for node_id in self.processes:
            self.install(node_id)

    def start(
        self, node_id: str, key: str, body: str = "b", timeout_s: float = 3.0
    ) -> Request | None:
        """Starts a request; None while its node has no snapshot."""
        shard = self.processes[node_id].shard
        if shard is None:
            return None
        token = f"{node_id}/{len(self.requests)}"
        options = claim_client.ClaimOptions(
            claim_id=claim_keys.compute_claim_id(
                service="desk", client="foundation", key=key
            ),
            body_digest=body.encode(),
            token=token,
            deadline=self.now + timeout_s,
            shard=shard,
        )
        request = Request(
            token=token,
            node_id=node_id,
            key=key,
            body=body,
            client=claim_client.ClaimClient(
                options=options, source=self.random
            ),
        )
        self.requests.append(request)
        self.step(request, claim_events.Started())
        return request

    def finish(
        self, request: Request, outcome: outcomes.RequestOutcome | None
    ) -> None:
        """Ends a run: with an answer if `outcome` is None, else with it."""
        answer = None
        if outcome is None:
            body = request.token.encode()
            answer = messages.StoredAnswer(status=201, body=body)
        request.running = False
        request.end = claim_events.Ended(outcome=outcome, answer=answer)
        self.step(request, request.end)

    def step(self, request: Request, event: claim_events.Event) -> None:
        """Handles one event of a request."""
        if request.over:
            return
        for action in request.client.step(event, self.now):
            match action:
                case claim_events.Send():
                    self._post(request.node_id, action.node_id, action.message)
                case claim_events.SetTimer():
                    request.timer = action.at
                case claim_events.Run():
                    request.running = True
                    request.ran_at = self.now
                case claim_events.Settled():
                    request.settled = True
                case claim_events.Finish():
                    request.over = True
                case _:
                    request.told = action
                    request.told_at = self.now

    def deliver(self, position: int) -> None:
        """Delivers the message at a position among those under way."""
        packet = self.packets.pop(position)
        message = messages.CLAIM_MESSAGES.decode(packet.data, peer="test")
        process = self.processes[packet.target_id]
        if isinstance(message, HOLDER_MESSAGES):
            received = claim_holder.Received(
                sender_id=packet.sender_id, message=message
            )
            sends = process.holder.step(received, self.now)
            self._send(packet.target_id, sends)
            return
        answer = claim_events.Received(
            sender_id=packet.sender_id, message=message
        )
        token = getattr(message, "token", "")
        for request in self.requests:
            if request.token == token and request.node_id == packet.target_id:
                self.step(request, answer)

    def advance(self, seconds: float) -> None:
        """Advances the time and fires the timers that are due."""
        self.now += seconds
        for node_id, process in self.processes.items():
            sends = process.holder.step(claim_holder.Tick(), self.now)
            self._send(node_id, sends)
        for request in self.requests:
            if not request.over and request.timer <= self.now:
                self.step(request, claim_events.TimerFired())

    def settle(self, *, without: Iterable[str] = (), rounds: int = 60) -> None:
        """Delivers all messages over some time, except those of cut nodes.

        Args:
          without: Nodes to and from which messages are lost.
          rounds: Number of steps of 0.05 s.
        """
        cut = frozenset(without)
        for _ in range(rounds):
            while self.packets:
                packet = self.packets[0]
                if cut & {packet.sender_id, packet.target_id}:
                    self.packets.pop(0)
                else:
                    self.deliver(0)
            self.advance(0.05)

    def _send(self, node_id: str, sends: tuple[claim_holder.Send, ...]) -> None:
        for send in sends:
            self._post(node_id, send.node_id, send.message)

    def _post(
        self, sender_id: str, target_id: str, message: messages.ClaimMessage
    ) -> None:
        self.packets.append(
            Packet(
                sender_id=sender_id,
                target_id=target_id,
                data=messages.CLAIM_MESSAGES.encode(message),
            )
        )
