"""Events and actions that a replica's side of distribution adds."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observed:
    """What the replica's consensus knows now.

    Attributes:
      stamped: The applied snapshot.
      is_leader: Whether this replica leads, confirmed by a majority.
      leader: The believed leader, if another replica is.
      stamp: Newest leader stamp.
      replicas: The other replicas.
      own: This replica; None while it is no member.
    """

    stamped: delta.HashedSnapshot
    is_leader: bool
    leader: peers.Peer | None
    stamp: stamps.LeaderStamp
    replicas: tuple[peers.Peer, ...]
    own: peers.Peer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryApplied:
    """A proposed entry is applied.

    Attributes:
      ticket: Of its proposal.
      version: Its version.
    """

    ticket: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryRefused:
    """A proposed entry was refused or is in doubt."""

    ticket: int
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propose:
    """Offer an entry to the log; one is under way at a time."""

    ticket: int
    command: commands.ChangeMembership


SourceEvent = (
    events.Arrival | events.Tick | Observed | EntryApplied | EntryRefused
)
SourceAction = events.Action | Propose
