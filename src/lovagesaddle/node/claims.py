"""This node's part in claims on Idempotency-Keys: claimant and holder."""

from collections.abc import Callable
import dataclasses
import os
import queue
import random
import threading
import time
import types
from typing import Self

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_holder
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.http import watchdog
from lovagesaddle.node import ports
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint

TOKEN_BYTES = 8
HOLDER_TICK_S = 0.1
_CHANNEL = endpoint.Channel.CLAIMS
_CODEC = messages.CLAIM_MESSAGES
_FOR_CLAIMANTS = (messages.ClaimVote, messages.Settled)
_log = logs.get_logger("claims")

Send = Callable[[str, messages.ClaimMessage], None]
Decision = events.Run | events.Replay | events.Refuse


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Keyed:
    """A request with an Idempotency-Key.

    Attributes:
      claim_id: Digest of service, client and key.
      request_digest: Digest of method, target and body.
      deadline: Monotonic time by which the caller has its answer, in seconds.
    """

    claim_id: bytes
    request_digest: bytes
    deadline: float


class Claim:
    """One claim, driven by the thread that serves its caller.

    Args:
      client: The claimant's state machine.
      shard_number: Shard that the claim belongs to.
      send: Sends to a holder.
    """

    def __init__(
        self,
        *,
        client: claim_client.ClaimClient,
        shard_number: int,
        send: Send,
    ) -> None:
        self.shard_number = shard_number
        self._client = client
        self._send = send
        self._inbox: queue.SimpleQueue[events.Event | None] = (
            queue.SimpleQueue()
        )
        self._timer_at: float | None = None
        self._outcome: events.Action | None = None
        self.is_finished = False

    @property
    def token(self) -> str:
        """Unique among all claims."""
        return self._client.token

    def put(self, event: events.Event) -> None:
        """Hands over an event; for any thread."""
        self._inbox.put(event)

    def acquire(self, guard: watchdog.Guard) -> Decision | None:
        """Returns what is to be done, None when the caller hung up."""
        self._step(events.Started())
        with guard.ending(lambda: self._inbox.put(None)):
            while self._outcome is None:
                if guard.reason is watchdog.EndReason.CANCELLED:
                    return None
                self._wait()
        outcome, self._outcome = self._outcome, None
        if isinstance(outcome, (events.Run, events.Replay, events.Refuse)):
            return outcome
        raise AssertionError(f"claim decided {outcome}")

    def settle(self, ended: events.Ended) -> bool:
        """Tells the holders how the request ended.

        Returns:
          Whether a majority of them keeps it; False when that could not be
          shown in time.
        """
        self._step(ended)
        while self._outcome is None and not self.is_finished:
            self._wait()
        outcome, self._outcome = self._outcome, None
        return isinstance(outcome, events.Settled) and outcome.acknowledged

    def advance(self) -> None:
        """Goes on without waiting, after its caller is answered or gone."""
        while not self._inbox.empty():
            self._take(self._inbox.get())
        if self._timer_at is not None and time.monotonic() >= self._timer_at:
            self._take(events.TimerFired())
        if isinstance(self._outcome, events.Run):
            # Its caller hung up while it waited for the grants.
            self._outcome = None
            self._step(events.Ended(outcome=outcomes.RequestOutcome.NOT_RUN))

    def _wait(self) -> None:
        if self._timer_at is None:
            self._take(self._inbox.get())
            return
        left_s = self._timer_at - time.monotonic()
        try:
            self._take(self._inbox.get(timeout=max(0.0, left_s)))
        except queue.Empty:
            self._take(events.TimerFired())

    def _take(self, event: events.Event | None) -> None:
        if event is None:
            return
        if isinstance(event, events.TimerFired):
            self._timer_at = None
        self._step(event)

    def _step(self, event: events.Event) -> None:
        for action in self._client.step(event, time.monotonic()):
            match action:
                case events.Send():
                    self._send(action.node_id, action.message)
                case events.SetTimer():
                    self._timer_at = action.at
                case events.Finish():
                    self.is_finished = True
                case _:
                    self._outcome = action


class Claims:
    """Makes claims and holds those of others, as a context manager.

    Args:
      node_id: Of this node.
    """

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        self._holder = claim_holder.ClaimHolder(node_id=node_id)
        self._control: ports.ControlPort | None = None
        self._shards: tuple[snapshots.Shard, ...] = ()
        self._claims: dict[str, Claim] = {}
        self._left: dict[str, Claim] = {}
        # Reentrant, since a holder's answer to its own node comes at once.
        self._lock = threading.RLock()
        self._random = random.Random()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="claims", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stopped.set()
        self._thread.join()

    def connect(self, control: ports.ControlPort) -> None:
        """Sends and receives through the control half from now on."""
        self._control = control
        control.subscribe(_CHANNEL, self._receive)

    def install(self, stamped: delta.Stamped, *, joined: bool) -> None:
        """Takes the shard map of a newer snapshot."""
        snapshot = stamped.snapshot
        incarnation = 0
        if joined:
            incarnation = _find_incarnation(snapshot, self._node_id)
        with self._lock:
            self._shards = snapshot.shards
            self._step_holder(
                claim_holder.Installed(
                    shards=snapshot.shards, incarnation=incarnation
                )
            )
            for claim in self._claims.values():
                shard = snapshot.shards[claim.shard_number]
                claim.put(events.ShardChanged(shard=shard))

    def open(self, keyed: Keyed) -> Claim | None:
        """Returns a claim to acquire; None when no shard is assigned yet."""
        with self._lock:
            if not self._shards:
                return None
            number = claim_keys.find_shard(keyed.claim_id, len(self._shards))
            token = f"{self._node_id}-{os.urandom(TOKEN_BYTES).hex()}"
            client = claim_client.ClaimClient(
                options=claim_client.ClaimOptions(
                    claim_id=keyed.claim_id,
                    body_digest=keyed.request_digest,
                    token=token,
                    deadline=keyed.deadline,
                    shard=self._shards[number],
                ),
                source=self._random,
            )
            claim = Claim(client=client, shard_number=number, send=self._send)
            self._claims[token] = claim
            return claim

    def leave(self, claim: Claim) -> None:
        """Finishes a claim beside its caller's thread."""
        with self._lock:
            self._left[claim.token] = claim

    def _run(self) -> None:
        while not self._stopped.wait(HOLDER_TICK_S):
            with self._lock:
                self._step_holder(claim_holder.Tick())
                for token, claim in tuple(self._left.items()):
                    claim.advance()
                    if claim.is_finished:
                        del self._left[token]
                        del self._claims[token]

    def _receive(self, sender_id: str, data: bytes) -> None:
        try:
            message = _CODEC.decode(data, peer=sender_id)
        except errors.CodecError as error:
            _log.warning("message_dropped", peer=sender_id, cause=error.cause)
            return
        self._deliver(sender_id, message)

    def _deliver(self, sender_id: str, message: messages.ClaimMessage) -> None:
        with self._lock:
            if isinstance(message, _FOR_CLAIMANTS):
                claim = self._claims.get(message.token)
                if claim is not None:
                    claim.put(
                        events.Received(sender_id=sender_id, message=message)
                    )
                return
            self._step_holder(
                claim_holder.Received(sender_id=sender_id, message=message)
            )

    def _step_holder(self, event: claim_holder.Event) -> None:
        for send in self._holder.step(event, time.monotonic()):
            self._send(send.node_id, send.message)

    def _send(self, node_id: str, message: messages.ClaimMessage) -> None:
        if node_id == self._node_id:
            self._deliver(node_id, message)
        elif self._control is not None:
            # A lost message is repeated by whoever waits for its answer.
            self._control.send(node_id, _CHANNEL, _CODEC.encode(message))


def _find_incarnation(snapshot: snapshots.Snapshot, node_id: str) -> int:
    for node in snapshot.nodes:
        if node.node_id == node_id:
            return node.incarnation
    return 0
