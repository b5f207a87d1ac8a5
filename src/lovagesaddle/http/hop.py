"""The hop from an entry to an owner: messages and their signature.

A request travels in one signed envelope, so that nobody without the mesh's
secret can speak as an entry, and no owner's refusal can be forged.
"""

import dataclasses
import enum
import hashlib
import hmac

from lovagesaddle.core import codec
from lovagesaddle.core import errors
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import headers as headers_lib

RUN_PATH = "/.lovagesaddle/run"
QUARANTINED = "quarantined"
DIGEST_BYTES = 32
HASH = "sha256"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRequest:
    """Asks an owner to run one attempt.

    Attributes:
      attempt_id: Unique for each attempt; an owner takes it once.
      server_id: Backend server that was picked.
      incarnation: Its incarnation in the entry's table.
      method: Upper-case method.
      target: Path and query.
      headers: For the backend server.
      body: The whole body, or its last part.
      remaining_ms: Time to the deadline, in milliseconds.
      route: Name of the route.
      priority: Of the route.
      fingerprint: Digest of method, route, target and body.
      target_ms: Time to the moment until which an answer is worth most, in
        milliseconds, negative when it has passed; None for no such moment.
      suspect: Whether the entry knows that it may crash a server.
      offset: Bytes of the body that were sent before, in parts.
    """

    attempt_id: str
    server_id: str
    incarnation: int
    method: str
    target: str
    headers: headers_lib.Headers
    body: bytes
    remaining_ms: int
    priority: int
    fingerprint: bytes
    route: str = ""
    target_ms: int | None = None
    suspect: bool = False
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyOffer:
    """Asks an owner whether, and waits until, a large body may be sent.

    Attributes:
      attempt_id: Of the attempt that it belongs to.
      server_id: Backend server that was picked.
      body_bytes: Size of the body.
      remaining_ms: Time to the deadline, in milliseconds.
      priority: Of the route.
      route: Name of the route.
    """

    attempt_id: str
    server_id: str
    body_bytes: int
    remaining_ms: int
    priority: int
    route: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyPart:
    """A part of a body whose turn it is.

    Attributes:
      attempt_id: Of the attempt.
      server_id: Backend server that was picked.
      offset: Bytes of the body before it.
      data: The part.
    """

    attempt_id: str
    server_id: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyTaken:
    """The next part of a body may be sent; nothing of it has run.

    Attributes:
      attempt_id: Of the attempt.
    """

    attempt_id: str


class RunOutcome(enum.Enum):
    """How an attempt ended at its owner.

    ANSWERED: the backend server gave a whole answer.
    REFUSED: the request was not handed over.
    SHED: the backend server says that it did not run the request.
    TIMEOUT: the deadline passed after the hand-over.
    CRASHED: the backend server died or closed without an answer.
    BROKEN: the answer was cut or malformed.
    CANCELLED: the entry gave up.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    SHED = "shed"
    TIMEOUT = "timeout"
    CRASHED = "crashed"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunAnswer:
    """What became of an attempt.

    Attributes:
      attempt_id: Of the request.
      outcome: How it ended.
      cause: Why it was refused or failed, in a few words.
      retry_after_s: When room is expected; only with a refusal.
      status: HTTP status of a whole answer.
      headers: Of a whole answer.
      body: Of a whole answer.
      load: State of the backend server.
      marks: The crash mark of the request when the server died.
    """

    attempt_id: str
    outcome: RunOutcome
    cause: str = ""
    retry_after_s: float = 0.0
    status: int = 0
    headers: headers_lib.Headers = ()
    body: bytes = b""
    load: load_reports.LoadReport | None = None
    marks: tuple[quarantine.CrashMark, ...] = ()


HopMessage = RunRequest | RunAnswer | BodyOffer | BodyPart | BodyTaken

MESSAGES: codec.Registry[HopMessage] = codec.Registry(
    name="hop message",
    kinds={
        1: RunRequest,
        2: RunAnswer,
        3: BodyOffer,
        4: BodyPart,
        5: BodyTaken,
    },
)


class EnvelopeSigner:
    """Signs envelopes with the secret that all nodes of a mesh share.

    Args:
      secret: Of the mesh.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.sha256(secret).digest()

    def sign(self, message: HopMessage) -> bytes:
        """Returns the signature followed by the encoded message."""
        data = MESSAGES.encode(message)
        return hmac.digest(self._key, data, HASH) + data

    def verify(self, envelope: bytes, *, peer: str) -> HopMessage:
        """Returns the message of an envelope.

        Raises:
          errors.CodecError: The signature or the message is wrong.
        """
        signature, data = envelope[:DIGEST_BYTES], envelope[DIGEST_BYTES:]
        expected = hmac.digest(self._key, data, HASH)
        if not hmac.compare_digest(signature, expected):
            raise errors.CodecError(
                step="check signature",
                peer=peer,
                cause="the sender does not hold the secret of the mesh",
            )
        return MESSAGES.decode(data, peer=peer)
