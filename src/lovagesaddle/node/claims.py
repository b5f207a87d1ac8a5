"""Requests and holds claims on Idempotency-Keys.

The entry side requests a claim from the holders of the key's shard. The holder
side answers such requests for the shards that this node holds. `claimed_calls`
runs a call once its claim is granted.
"""

from concurrent import futures
import contextlib
import dataclasses
import queue
import secrets
import threading
import time
from typing import Self

from lovagesaddle import ticker
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_holder
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import shard_plan
from lovagesaddle.node import peer_messages
from lovagesaddle.node import ports
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint

TICK_S = 0.25
SETTLING_THREADS = 4
TOKEN_BYTES = 16
_HOLDER_MESSAGES = (
    messages.ClaimRequest,
    messages.StoreRequest,
    messages.ReleaseRequest,
    messages.PullRequest,
    messages.PullAnswer,
)
_log = logs.get_logger("claims")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyedRequest:
    """Identifies a request with an Idempotency-Key.

    Attributes:
      service: Name of the service.
      client: Kind and name of the client, such as "caller:foundation".
      key: Value of the Idempotency-Key header.
      request_digest: Digest of method, target and body.
      deadline: Monotonic time by which the caller gets an answer, in seconds.
    """

    service: str
    client: str
    key: str
    request_digest: bytes
    deadline: float


Decision = events.Run | events.Replay | events.Refuse


class Claim:
    """Runs the state machine of one claim on the thread of its caller.

    Args:
      client: State machine of the claim.
      claims: Sends its messages.
    """

    def __init__(
        self, client: claim_client.ClaimClient, claims: "Claims"
    ) -> None:
        self._client = client
        self._claims = claims
        self._events: queue.SimpleQueue[events.Event] = queue.SimpleQueue()
        self._timer = float("inf")
        self._finished = False

    @property
    def token(self) -> str:
        """Token that identifies the claim in every message."""
        return self._client.token

    def post(self, event: events.Event) -> None:
        """Queues an event; may be called from any thread."""
        self._events.put(event)

    def acquire(self) -> Decision:
        """Asks the holders for the claim and waits for the decision."""
        decision = self._run_until(events.Started(), _DECISIONS)
        assert isinstance(decision, _DECISIONS)
        if not isinstance(decision, events.Run):
            self._claims.drop(self)
        return decision

    def settle(self, ended: events.Ended) -> bool:
        """Sends the result of the request to the holders and waits for them.

        Returns:
          Whether a majority has stored it. If other holders have not, another
          thread repeats the message to them.
        """
        settled = self._run_until(ended, (events.Settled,))
        acknowledged = isinstance(settled, events.Settled) and (
            settled.acknowledged
        )
        if self._finished:
            self._claims.drop(self)
        else:
            self._claims.finish_in_background(self)
        return acknowledged

    def finish(self) -> None:
        """Repeats messages without an acknowledgement, then drops the claim."""
        while not self._finished:
            self._step(self._wait(), ())
        self._claims.drop(self)

    def _run_until(
        self, event: events.Event, expected: tuple[type[events.Action], ...]
    ) -> events.Action | None:
        found = self._step(event, expected)
        while found is None and not self._finished:
            found = self._step(self._wait(), expected)
        return found

    def _step(
        self, event: events.Event, expected: tuple[type[events.Action], ...]
    ) -> events.Action | None:
        found: events.Action | None = None
        for action in self._client.step(event, time.monotonic()):
            if isinstance(action, expected):
                found = action
            match action:
                case events.Send():
                    self._claims.send(action.node_id, action.message)
                case events.SetTimer():
                    self._timer = action.at
                case events.Finish():
                    self._finished = True
                case _:
                    pass
        return found

    def _wait(self) -> events.Event:
        left_s = max(0.0, self._timer - time.monotonic())
        try:
            return self._events.get(timeout=min(left_s, TICK_S))
        except queue.Empty:
            return events.TimerFired()


_DECISIONS = (events.Run, events.Replay, events.Refuse)


class Claims:
    """Manages the claims that this node makes or holds; a context manager.

    Args:
      node_id: ID of this node.
      is_enabled: Whether Idempotency-Keys are claimed in this mesh; if not,
        nothing here has to be checked regularly.
    """

    def __init__(self, *, node_id: str, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._node_id = node_id
        self._holder = claim_holder.ClaimHolder(node_id=node_id)
        self._lock = threading.Lock()
        self._open: dict[str, Claim] = {}
        self._shards: dict[int, snapshots.Shard] = {}
        self._control: ports.ControlPort | None = None
        self._settling = futures.ThreadPoolExecutor(
            SETTLING_THREADS, thread_name_prefix="settling"
        )
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        if not self._is_enabled:
            return self
        self._stack.enter_context(
            ticker.Ticker(
                name="claims",
                interval_s=TICK_S,
                work=lambda: self._step(claim_holder.Tick()),
            )
        )
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()
        self._settling.shutdown(wait=False, cancel_futures=True)

    def connect(self, control: ports.ControlPort) -> None:
        """Starts to send and receive messages through the control thread."""
        self._control = control
        control.subscribe(endpoint.Channel.CLAIMS, self._receive)

    def install(self, snapshot: snapshots.Snapshot, *, joined: bool) -> None:
        """Installs the shard map of a newer snapshot."""
        incarnation = _find_incarnation(snapshot, self._node_id)
        installed = claim_holder.Installed(
            shards=snapshot.shards,
            incarnation=incarnation if joined else 0,
        )
        self._step(installed)
        for shard in snapshot.shards:
            held = self._shards.get(shard.number)
            self._shards[shard.number] = shard
            if held is not None and held.epoch < shard.epoch:
                for claim in tuple(self._open.values()):
                    claim.post(events.ShardChanged(shard=shard))

    def count_open(self) -> int:
        """Returns the number of claims of this node that are not finished."""
        return len(self._open)

    def open(self, request: KeyedRequest) -> Claim | None:
        """Opens a claim on a key; returns None if its shard has no holders."""
        claim_id = claim_keys.compute_claim_id(
            service=request.service, client=request.client, key=request.key
        )
        # The shard is computed from the full number of shards, not from the
        # number in this snapshot: otherwise a node whose snapshot has more
        # shards would choose another shard for the same key.
        number = claim_keys.compute_shard(claim_id, shard_plan.SHARD_COUNT)
        shard = self._shards.get(number)
        if shard is None:
            return None
        client = claim_client.ClaimClient(
            options=claim_client.ClaimOptions(
                claim_id=claim_id,
                body_digest=request.request_digest,
                token=secrets.token_hex(TOKEN_BYTES),
                deadline=request.deadline,
                shard=shard,
            ),
            source=secrets.SystemRandom(),
        )
        claim = Claim(client, self)
        self._open[client.token] = claim
        return claim

    def drop(self, claim: Claim) -> None:
        """Removes a claim that is finished."""
        self._open.pop(claim.token, None)

    def finish_in_background(self, claim: Claim) -> None:
        """Sends the remaining messages of a claim on another thread."""
        self._settling.submit(claim.finish)

    def send(self, node_id: str, message: messages.ClaimMessage) -> None:
        """Sends a message to a holder or claimant, which may be this node."""
        if node_id == self._node_id:
            self._handle(node_id, message)
        elif self._control is not None:
            data = messages.CLAIM_MESSAGES.encode(message)
            self._control.send(node_id, endpoint.Channel.CLAIMS, data)

    def _receive(self, sender_id: str, data: bytes) -> None:
        message = peer_messages.decode(
            messages.CLAIM_MESSAGES, data, peer=sender_id, log=_log
        )
        if message is None:
            return
        self._handle(sender_id, message)

    def _handle(self, sender_id: str, message: messages.ClaimMessage) -> None:
        if isinstance(message, _HOLDER_MESSAGES):
            self._step(
                claim_holder.Received(sender_id=sender_id, message=message)
            )
            return
        claim = self._open.get(message.token)
        if claim is not None:
            claim.post(events.Received(sender_id=sender_id, message=message))

    def _step(self, event: claim_holder.Event) -> None:
        with self._lock:
            sends = self._holder.step(event, time.monotonic())
        for action in sends:
            self.send(action.node_id, action.message)


def _find_incarnation(snapshot: snapshots.Snapshot, node_id: str) -> int:
    for node in snapshot.nodes:
        if node.node_id == node_id:
            return node.incarnation
    return 0
