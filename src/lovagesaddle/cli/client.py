"""Asks the control replicas on behalf of an operator."""

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

TRY_S = 1.0
RESEND_S = 1.0
LEADER_GRACE_S = 0.3
PAUSE_S = 0.1
UNNUMBERED = ""  # `Client` numbers each request itself
_CHANNEL = endpoint.Channel.OPERATOR


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One try that brought no answer.

    Attributes:
      replica_id: Replica that was asked.
      cause: What came of it.
    """

    replica_id: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoAnswer:
    """No replica answered within the time.

    A change that was sent may have been accepted all the same.

    Attributes:
      step: What was asked for.
      waited_s: How long.
      attempts: The last try at each replica, sorted by replica.
    """

    step: str
    waited_s: float
    attempts: tuple[Attempt, ...]


Answer = result.Result[AnswerT, NoAnswer]


class Client:
    """Connects to the replicas of the settings; belongs to one thread.

    Args:
      settings: Replicas and the time to wait for an answer.
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
        """The settings it was made with."""
        return self._settings

    def read(
        self, request: operator_messages.OperatorMessage, kind: type[AnswerT]
    ) -> Answer[AnswerT]:
        """Asks every replica and returns the freshest answer.

        An answer of the leader is taken at once; without one, the least
        stale answer is, so that its `stale_s` must be shown.

        Args:
          request: A reading request; its `request_id` is replaced.
          kind: Class of the answer; has `request_id` and maybe `stale_s`.
        """
        request_id, request = _number(request)
        inbox = _Inbox(request_id, kind)
        deadline = time.monotonic() + self._settings.timeout_s
        resend_at = settle_at = 0.0
        while (now := time.monotonic()) < deadline:
            if now >= resend_at:
                self._send_to_all(request)
                resend_at = now + RESEND_S
            if inbox.answers and not settle_at:
                settle_at = now + LEADER_GRACE_S
            best = inbox.find_freshest()
            if best is not None and (
                _read_staleness(best) == 0
                or now >= settle_at
                or len(inbox.answers) == len(self._peers)
            ):
                return result.Success(best)
            wait_until = min(settle_at or deadline, resend_at, deadline)
            self._receive(inbox, wait_until - now)
        best = inbox.find_freshest()
        if best is not None:
            return result.Success(best)
        return result.Failure(self._give_up(request, {}))

    def write(
        self, request: operator_messages.OperatorMessage, kind: type[AnswerT]
    ) -> Answer[AnswerT]:
        """Sends a request that only the leader answers, until it does.

        The same request may reach several replicas and several times; a
        change must be safe to repeat.

        Args:
          request: A change or a confirmed read; its `request_id` is replaced.
          kind: Class of the answer; has `request_id`.
        """
        request_id, request = _number(request)
        inbox = _Inbox(request_id, kind)
        deadline = time.monotonic() + self._settings.timeout_s
        attempts: dict[str, str] = {}
        target = self._choose_first()
        while time.monotonic() < deadline:
            sent = self._send(self._peers[target], request)
            attempts[target] = "no answer" if sent else "queue is full"
            try_until = min(time.monotonic() + TRY_S, deadline)
            answer = self._await(inbox, try_until)
            if answer is not None:
                self._leader_id = target
                return result.Success(answer)
            if inbox.refusal is not None:
                attempts[target] = inbox.refusal.cause
                self._pause(inbox, deadline)
            target = self._choose_next(target, inbox.take_refusal())
        return result.Failure(self._give_up(request, attempts))

    def _choose_first(self) -> str:
        return self._leader_id or next(iter(self._peers))

    def _choose_next(
        self, target: str, refusal: operator_messages.NotLeader | None
    ) -> str:
        if refusal is not None and refusal.leader_id not in ("", target):
            self._learn(refusal)
            if refusal.leader_id in self._peers:
                return refusal.leader_id
        names = list(self._peers)
        return names[(names.index(target) + 1) % len(names)]

    def _learn(self, refusal: operator_messages.NotLeader) -> None:
        known = refusal.leader_id in self._peers
        if not known and refusal.leader_address:
            self._peers[refusal.leader_id] = endpoint.Peer(
                peer_id=refusal.leader_id, address=refusal.leader_address
            )

    def _await(self, inbox: "_Inbox[AnswerT]", until: float) -> AnswerT | None:
        while not inbox.answers and inbox.refusal is None:
            left = until - time.monotonic()
            if left <= 0:
                return None
            self._receive(inbox, left)
        return inbox.find_freshest()

    def _pause(self, inbox: "_Inbox[AnswerT]", deadline: float) -> None:
        left = deadline - time.monotonic()
        self._receive(inbox, max(0.0, min(PAUSE_S, left)))

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
                inbox.take(received)

    def _give_up(
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
    """Answers to one request; everything else that arrives is passed over."""

    def __init__(self, request_id: str, kind: type[AnswerT]) -> None:
        self._request_id = request_id
        self._kind = kind
        self.answers: dict[str, AnswerT] = {}
        self.refusal: operator_messages.NotLeader | None = None

    def take(self, received: endpoint.Received) -> None:
        try:
            message = operator_messages.OPERATOR_MESSAGES.decode(
                received.data, peer=received.sender_id
            )
        except errors.CodecError:
            # A damaged answer counts as none; the request is sent again.
            return
        if message.request_id != self._request_id:
            return
        if isinstance(message, operator_messages.NotLeader):
            self.refusal = message
        elif isinstance(message, self._kind):
            self.answers[received.sender_id] = message

    def take_refusal(self) -> operator_messages.NotLeader | None:
        refusal, self.refusal = self.refusal, None
        return refusal

    def find_freshest(self) -> AnswerT | None:
        return min(self.answers.values(), key=_read_staleness, default=None)


def _read_staleness(answer: object) -> float:
    staleness: float = getattr(answer, "stale_s", 0.0)
    return staleness


def _number(
    request: operator_messages.OperatorMessage,
) -> tuple[str, operator_messages.OperatorMessage]:
    request_id = uuid.uuid4().hex
    return request_id, dataclasses.replace(request, request_id=request_id)
