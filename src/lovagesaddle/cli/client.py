"""Sends the requests of an operator to the control replicas.

A read goes to all replicas, a change to one at a time until the leader answers.
"""

import dataclasses
import time
from typing import Any, Generic, Self, TypeVar
import uuid

from returns import result
import zmq

from lovagesaddle.core import errors
from lovagesaddle.core.model import operator_messages
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint
from lovagesaddle.transport import keys

AnswerT = TypeVar("AnswerT")

ATTEMPT_TIMEOUT_S = 1.0
RESEND_INTERVAL_S = 1.0
LEADER_WAIT_S = 0.3
RETRY_DELAY_S = 0.1
UNASSIGNED_ID = ""  # `Client` assigns the ID of each request
_CHANNEL = endpoint.Channel.OPERATOR


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """The last attempt at a replica that gave no usable answer.

    Attributes:
      replica_id: Replica that the request was sent to.
      cause: Why the attempt failed.
    """

    replica_id: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """Failure of a request that no replica answered in time.

    A change that was sent may still have been accepted.

    Attributes:
      step: Class name of the request.
      waited_s: Time waited for an answer, in seconds.
      attempts: The last attempt at each replica, sorted by replica.
    """

    step: str
    waited_s: float
    attempts: tuple[Attempt, ...]


Answer = result.Result[AnswerT, NoAnswer]


class Client:
    """Connects to the replicas in the settings; not thread-safe.

    Args:
      settings: Replicas, operator, keys and the timeout of a request.
    """

    def __init__(self, settings: schema.OperatorSettings) -> None:
        self._settings = settings
        self._peers = {
            replica.replica_id: endpoint.Peer(
                peer_id=replica.replica_id,
                address=replica.address,
                public_key=replica.public_key,
            )
            for replica in settings.replicas
        }
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        own_id = f"{settings.operator}/{uuid.uuid4().hex}"
        self._endpoint = endpoint.Endpoint(
            context=self._context,
            own_id=own_id,
            keys=keys.load(settings.keys),
        )
        self._leader_id = ""

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._endpoint.close()
        self._context.term()

    @property
    def settings(self) -> schema.OperatorSettings:
        """The settings passed to the constructor."""
        return self._settings

    def read(
        self, request: operator_messages.OperatorMessage, kind: type[AnswerT]
    ) -> Answer[AnswerT]:
        """Sends a request to every replica and returns the least stale answer.

        The leader's answer is returned at once. Without one, the least stale
        answer is returned, so callers must show its `stale_s`.

        Args:
          request: A read request; its `request_id` is replaced.
          kind: Class of the answer; has `request_id` and optionally
            `stale_s`.
        """
        request_id, request = _assign_request_id(request)
        inbox = _Inbox(request_id, kind)
        deadline = time.monotonic() + self._settings.timeout_s
        resend_at = accept_stale_at = 0.0
        while (now := time.monotonic()) < deadline:
            if now >= resend_at:
                self._send_to_all(request)
                resend_at = now + RESEND_INTERVAL_S
            if inbox.answers and not accept_stale_at:
                accept_stale_at = now + LEADER_WAIT_S
            best = inbox.select_least_stale()
            if best is not None and (
                _get_staleness(best) == 0
                or now >= accept_stale_at
                or len(inbox.answers) == len(self._peers)
            ):
                return result.Success(best)
            wait_until = min(accept_stale_at or deadline, resend_at, deadline)
            self._receive(inbox, wait_until - now)
        best = inbox.select_least_stale()
        if best is not None:
            return result.Success(best)
        return result.Failure(self._make_failure(request, {}))

    def write(
        self, request: operator_messages.OperatorMessage, kind: type[AnswerT]
    ) -> Answer[AnswerT]:
        """Sends a request to one replica at a time until the leader answers.

        A replica may receive the same request several times, so a change
        must be idempotent.

        Args:
          request: A change or a confirmed read; its `request_id` is replaced.
          kind: Class of the answer; has `request_id`.
        """
        request_id, request = _assign_request_id(request)
        inbox = _Inbox(request_id, kind)
        deadline = time.monotonic() + self._settings.timeout_s
        attempts: dict[str, str] = {}
        target = self._choose_first_replica()
        while time.monotonic() < deadline:
            sent = self._send(self._peers[target], request)
            attempts[target] = "no answer" if sent else "queue is full"
            attempt_deadline = min(
                time.monotonic() + ATTEMPT_TIMEOUT_S, deadline
            )
            answer = self._wait_for_answer(inbox, attempt_deadline)
            if answer is not None:
                self._leader_id = target
                return result.Success(answer)
            if inbox.refusal is not None:
                attempts[target] = inbox.refusal.cause
                self._pause(inbox, deadline)
            target = self._choose_next_replica(target, inbox.pop_refusal())
        return result.Failure(self._make_failure(request, attempts))

    def _choose_first_replica(self) -> str:
        return self._leader_id or next(iter(self._peers))

    def _choose_next_replica(
        self, target: str, refusal: operator_messages.NotLeader | None
    ) -> str:
        if refusal is not None and refusal.leader_id not in ("", target):
            self._add_leader(refusal)
            if refusal.leader_id in self._peers:
                return refusal.leader_id
        names = list(self._peers)
        return names[(names.index(target) + 1) % len(names)]

    def _add_leader(self, refusal: operator_messages.NotLeader) -> None:
        known = refusal.leader_id in self._peers
        if not known and refusal.leader_address:
            self._peers[refusal.leader_id] = endpoint.Peer(
                peer_id=refusal.leader_id, address=refusal.leader_address
            )

    def _wait_for_answer(
        self, inbox: "_Inbox[AnswerT]", until: float
    ) -> AnswerT | None:
        while not inbox.answers and inbox.refusal is None:
            left = until - time.monotonic()
            if left <= 0:
                return None
            self._receive(inbox, left)
        return inbox.select_least_stale()

    def _pause(self, inbox: "_Inbox[AnswerT]", deadline: float) -> None:
        left = deadline - time.monotonic()
        self._receive(inbox, max(0.0, min(RETRY_DELAY_S, left)))

    def _send_to_all(self, request: operator_messages.OperatorMessage) -> None:
        for peer in self._peers.values():
            self._send(peer, request)

    def _send(
        self,
        peer: endpoint.Peer,
        request: operator_messages.OperatorMessage,
    ) -> bool:
        data = operator_messages.OPERATOR_MESSAGES.encode(request)
        return self._endpoint.send(peer, _CHANNEL, data)

    def _receive(self, inbox: "_Inbox[Any]", timeout_s: float) -> None:
        for received in self._endpoint.receive(timeout_s):
            if received.channel is _CHANNEL:
                inbox.add(received)

    def _make_failure(
        self,
        request: operator_messages.OperatorMessage,
        attempts: dict[str, str],
    ) -> NoAnswer:
        return NoAnswer(
            step=type(request).__name__,
            waited_s=self._settings.timeout_s,
            attempts=tuple(
                Attempt(replica_id=name, cause=attempts.get(name, "no answer"))
                for name in sorted(self._peers)
            ),
        )


class _Inbox(Generic[AnswerT]):
    """Collects the answers to one request and ignores all other messages."""

    def __init__(self, request_id: str, kind: type[AnswerT]) -> None:
        self._request_id = request_id
        self._kind = kind
        self.answers: dict[str, AnswerT] = {}
        self.refusal: operator_messages.NotLeader | None = None

    def add(self, received: endpoint.Received) -> None:
        try:
            message = operator_messages.OPERATOR_MESSAGES.decode(
                received.data, peer=received.sender_id
            )
        except errors.CodecError:
            # A malformed answer counts as no answer; the request is resent.
            return
        if message.request_id != self._request_id:
            return
        if isinstance(message, operator_messages.NotLeader):
            self.refusal = message
        elif isinstance(message, self._kind):
            self.answers[received.sender_id] = message

    def pop_refusal(self) -> operator_messages.NotLeader | None:
        refusal, self.refusal = self.refusal, None
        return refusal

    def select_least_stale(self) -> AnswerT | None:
        return min(self.answers.values(), key=_get_staleness, default=None)


def _get_staleness(answer: object) -> float:
    staleness: float = getattr(answer, "stale_s", 0.0)
    return staleness


def _assign_request_id(
    request: operator_messages.OperatorMessage,
) -> tuple[str, operator_messages.OperatorMessage]:
    request_id = uuid.uuid4().hex
    return request_id, dataclasses.replace(request, request_id=request_id)
