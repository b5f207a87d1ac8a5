"""Events and actions that distribution parts exchange with their shells."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A frame arrived.

    Attributes:
      sender_id: Who sent it.
      route: Connection to answer on; empty for a connection of one's own.
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
    """The local backend server joined, changed or drains."""

    server: snapshots.BackendServer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerWithdrawn:
    """The local backend server is gone."""

    server_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarksRaised:
    """Crash marks of this process, to be spread."""

    marks: tuple[messages.Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveAsked:
    """The process is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a frame over one's own connection to a peer."""

    peer: peers.Peer
    frame: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Send a frame on the connection a message came over."""

    route: bytes
    frame: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disconnect:
    """Close one's own connection to a peer."""

    peer: peers.Peer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Install:
    """Swap the configuration in force at this node."""

    stamped: delta.HashedSnapshot


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliverMarks:
    """Hand crash marks of other nodes to the HTTP half."""

    marks: tuple[messages.Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """Write one log line.

    Attributes:
      event: What happened, a few words.
      peer: The process it concerns; empty for none.
      version: Version it concerns; 0 for none.
      reason: Why, in a few words.
      candidates: Processes that were weighed, best first.
      size: Bytes of the frame that it is about; 0 for none.
      overdue_ms: Time for which a newer version was known and not there, in
        milliseconds; None where that says nothing.
    """

    event: str
    peer: str = ""
    version: int = 0
    reason: str = ""
    candidates: tuple[str, ...] = ()
    size: int = 0
    overdue_ms: int | None = None


NodeEvent = (
    Arrival
    | Tick
    | ServerAnnounced
    | ServerWithdrawn
    | MarksRaised
    | LeaveAsked
)
Action = Send | Answer | Disconnect | Install | DeliverMarks | LogLine


def describe(
    event: str, arrival: Arrival, *, version: int = 0, reason: str = ""
) -> LogLine:
    """Returns the log line for what became of an arrival."""
    return LogLine(
        event=event, peer=arrival.sender_id, version=version, reason=reason
    )


def refuse(arrival: Arrival, reason: str) -> LogLine:
    """Returns the log line for a message that is passed over."""
    return describe("message refused", arrival, reason=reason)
