"""Messages between an entry and an owner, and their signatures.

Each message is sent in an envelope signed with the mesh's secret, so that
nobody without the secret can impersonate an entry or forge an owner's refusal.
"""

import dataclasses
import enum
import hashlib
import hmac

import msgspec

from lovagesaddle.core import codec
from lovagesaddle.core import errors
from lovagesaddle.core.routing import known_statements
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import headers as headers_lib

RUN_PATH = "/.lovagesaddle/run"
QUARANTINED = "quarantined"
ROUTE_OUTDATED = "route-outdated"
DIGEST_BYTES = 32
HASH = "sha256"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunRequest:
    """Asks an owner to run one attempt.

    Attributes:
      attempt_id: Unique for each attempt; an owner accepts it once.
      server_id: Backend server that was picked.
      incarnation: Incarnation of that server in the entry's table.
      method: Upper-case method.
      target: Path and query.
      headers: For the backend server.
      body: The whole body, or its last part.
      remaining_ms: Time to the deadline, in milliseconds.
      priority: Priority of the route.
      fingerprint: Digest of method, service, route, target and body.
      route: Name of the route.
      target_ms: Time left of the route's target latency, in milliseconds;
        negative once it has passed, None when the route has no target.
      suspect: Whether the entry knows that the request may crash a server.
      offset: Bytes of the body that were sent before in parts.
      known: What the entry knows that the server has stated, which the owner
        forgets when it restarts; None if nothing.
      publication: Publication by which the entry routed the request; 0 if the
        owner is not to check the route.
      account: Name of the client account that sent the request; unset
        without one.
      account_rank: Priority of that account; unset without one.
      key_id: Start of the digest of the key that the request carried;
        unset without an account.
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
    known: known_statements.KnownStatement | None = None
    publication: int = 0
    account: str | msgspec.UnsetType = msgspec.UNSET
    account_rank: int | msgspec.UnsetType = msgspec.UNSET
    key_id: bytes | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyOffer:
    """Asks an owner to accept a large body.

    The owner answers the offer once the body may be sent.

    Attributes:
      attempt_id: ID of the attempt.
      server_id: Backend server that was picked.
      body_bytes: Size of the whole body, in bytes.
      remaining_ms: Time to the deadline, in milliseconds.
      priority: Priority of the route.
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
    """Carries one part of a body that the owner has accepted.

    Attributes:
      attempt_id: ID of the attempt.
      server_id: Backend server that was picked.
      offset: Bytes of the body before this part.
      data: The bytes of this part.
    """

    attempt_id: str
    server_id: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyTaken:
    """Allows the next part of a body to be sent; the request has not run yet.

    Attributes:
      attempt_id: ID of the attempt.
    """

    attempt_id: str


class RunOutcome(enum.Enum):
    """Outcomes that an owner reports for an attempt.

    ANSWERED: the backend server sent a complete answer.
    REFUSED: the request was not passed to the backend server.
    SHED: the backend server reported that it did not run the request.
    TIMEOUT: the deadline passed after the request was passed to the server.
    CRASHED: the backend server died or closed without an answer.
    BROKEN: the answer was truncated or malformed.
    CANCELLED: the entry cancelled the attempt.
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
    """Reports the outcome of an attempt, with the backend server's answer.

    Attributes:
      attempt_id: ID of the attempt.
      outcome: How the attempt ended.
      cause: Why it was refused or failed, in a few words.
      retry_after_s: Time until capacity is expected, in seconds; only with a
        refusal.
      status: HTTP status of a complete answer.
      headers: Headers of a complete answer.
      body: Body of a complete answer.
      load: Load of the backend server.
      marks: The crash mark of the request if the server died.
      stated: What the server has stated, if anything, or if the request told
        of an earlier statement.
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
    stated: known_statements.KnownStatement | None = None


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
    """Signs and verifies envelopes with the secret that all nodes share.

    Args:
      secret: Secret of the mesh.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.sha256(secret).digest()

    def sign(self, message: HopMessage) -> bytes:
        """Returns the signature followed by the encoded message."""
        data = MESSAGES.encode(message)
        return hmac.digest(self._key, data, HASH) + data

    def verify(self, envelope: bytes, *, peer: str) -> HopMessage:
        """Returns the message of an envelope whose signature is valid.

        Raises:
          errors.CodecError: The signature or the message is invalid.
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
