"""Events and actions of the distribution state machines.

The I/O layer passes events in and carries out the returned actions.
"""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence as evidence_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FrameReceived:
    """A frame arrived.

    Attributes:
      sender_id: ID of the process that sent it.
      route: Connection to answer on; empty if this process opened the
        connection.
      frame: Encoded message.
    """

    sender_id: str
    route: bytes
    frame: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerAnnounced:
    """The local backend server joined, changed or is draining."""

    server: snapshots.BackendServer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerWithdrawn:
    """The local backend server is gone."""

    server_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarksRaised:
    """This process created crash marks, which are sent to every node."""

    marks: tuple[messages.Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceCounted:
    """The owner counted how its servers answer during a roll-out."""

    versions: tuple[evidence_lib.Evidence, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveRequested:
    """The process is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstallFailed:
    """The version that was to be installed last could not be put in force."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProofRequested:
    """A caller's request waits until the age of the version is proved."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a frame on the connection that this process opens to a peer."""

    peer: peers.Peer
    frame: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Sends a frame on the connection that a message arrived on."""

    route: bytes
    frame: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disconnect:
    """Closes the connection that this process opened to a peer."""

    peer: peers.Peer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Install:
    """Replaces the configuration in force at this node."""

    hashed: delta.HashedSnapshot


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordProof:
    """Records up to which time the installed version is complete.

    Attributes:
      current_at: Monotonic time in seconds; everything that was accepted
        before it is part of the installed version.
    """

    current_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliverMarks:
    """Passes crash marks of other nodes to the HTTP side of the node."""

    marks: tuple[messages.Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Writes one log line.

    Attributes:
      event: Name of the event.
      peer: ID of the process that it concerns; empty for none.
      version: Version that it concerns; 0 for none.
      reason: Cause of the event; empty if it needs none.
      candidates: IDs of the processes considered, best first.
      size: Size of the frame that it concerns, in bytes; 0 for none.
      overdue_ms: Time from when the version was known to exist until it was
        installed, in milliseconds; None if the event installs no version.
      age_ms: How old the installed version may be, in milliseconds; None if
        nothing proves an age or the event does not concern it.
    """

    event: str
    peer: str = ""
    version: int = 0
    reason: str = ""
    candidates: tuple[str, ...] = ()
    size: int = 0
    overdue_ms: int | None = None
    age_ms: int | None = None


NodeEvent = (
    FrameReceived
    | Tick
    | ServerAnnounced
    | ServerWithdrawn
    | MarksRaised
    | LeaveRequested
    | InstallFailed
    | ProofRequested
    | EvidenceCounted
)
Action = (
    Send | Answer | Disconnect | Install | RecordProof | DeliverMarks | LogLine
)


def make_log_line(
    event: str, received: FrameReceived, *, version: int = 0, reason: str = ""
) -> LogLine:
    """Returns a log line about a received frame."""
    return LogLine(
        event=event, peer=received.sender_id, version=version, reason=reason
    )


def make_refusal_line(received: FrameReceived, reason: str) -> LogLine:
    """Returns the log line for a message that is ignored."""
    return make_log_line("message refused", received, reason=reason)
