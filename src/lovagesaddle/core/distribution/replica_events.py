"""Events and actions that only the agent of a replica has."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusObserved:
    """Current state of the replica's consensus.

    Attributes:
      hashed: The newest applied snapshot.
      is_leader: Whether this replica is the leader, as a majority confirmed.
      leader: The presumed leader; None if it is unknown or this replica.
      stamp: Newest leader stamp.
      replicas: The other replicas.
      own: This replica; None while it is no member.
      current_at: Monotonic time in seconds up to which everything accepted is
        part of `hashed`; None if nothing proves a time.
    """

    hashed: delta.HashedSnapshot
    is_leader: bool
    leader: peers.Peer | None
    stamp: stamps.LeaderStamp
    replicas: tuple[peers.Peer, ...]
    own: peers.Peer | None = None
    current_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryApplied:
    """A proposed entry was applied.

    Attributes:
      ticket: Ticket of the proposal.
      version: Version that the entry produced.
    """

    ticket: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryRefused:
    """A proposed entry was refused, or its outcome is unknown.

    Attributes:
      ticket: Ticket of the proposal.
      cause: Cause of the refusal.
    """

    ticket: int
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propose:
    """Proposes an entry to the log; at most one proposal is pending.

    Attributes:
      ticket: Identifies the proposal in its result.
      command: Command of the entry.
    """

    ticket: int
    command: commands.ChangeMembership


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeliverEvidence:
    """Passes a node's report on roll-outs to what decides on them."""

    report: messages.RolloutReport


ReplicaEvent = (
    events.FrameReceived
    | events.Tick
    | ConsensusObserved
    | EntryApplied
    | EntryRefused
)
ReplicaAction = events.Action | Propose | DeliverEvidence
