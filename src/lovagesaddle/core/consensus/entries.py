"""Data that replicas store: entries, members, hard state and snapshots."""

import dataclasses
import enum


class EntryKind(enum.Enum):
    """What an entry of the log contains."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the replicated log.

    Attributes:
      index: Position in the log, counted from 1; also the version of the
        configuration.
      term: Term of the leader that appended it.
      kind: What it contains.
      payload: Encoded command or members; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One replica of the cluster.

    Attributes:
      member_id: Identity that was drawn when its data folder was created; a
        replica that lost its disk returns with another one.
      replica_id: Name from its settings.
      address: `tcp://ip:port` that it binds to.
      public_key: CurveZMQ public key in Z85; empty if links are unencrypted.
      is_voter: Whether the member votes and counts for majorities; False for a
        learner.
      replaces: ID of the member to remove once this member is a voter, or
        empty.
    """

    member_id: str
    replica_id: str
    address: str
    public_key: str = ""
    is_voter: bool = True
    replaces: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """The replicas of the cluster, sorted by member ID."""

    members: tuple[Member, ...] = ()

    def list_voters(self) -> tuple[str, ...]:
        """Returns the IDs of the members that count for majorities."""
        return tuple(m.member_id for m in self.members if m.is_voter)

    def list_others(self, own_id: str) -> tuple[str, ...]:
        """Returns the IDs of all members except `own_id`."""
        return tuple(m.member_id for m in self.members if m.member_id != own_id)

    def find(self, member_id: str) -> Member | None:
        """Returns the member with that ID, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def find_replica(self, replica_id: str) -> Member | None:
        """Returns the member with that replica name, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def put(self, member: Member) -> "Members":
        """Returns a copy with one member added or changed."""
        kept = [m for m in self.members if m.member_id != member.member_id]
        return sort_members((*kept, member))

    def drop(self, member_id: str) -> "Members":
        """Returns a copy without one member."""
        return Members(
            members=tuple(m for m in self.members if m.member_id != member_id)
        )


def sort_members(members: tuple[Member, ...]) -> Members:
    """Returns `members` in the order of their IDs, the same at any replica."""
    return Members(
        members=tuple(sorted(members, key=lambda member: member.member_id))
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HardState:
    """Election state that must survive a restart.

    Attributes:
      term: Highest term that the replica has seen.
      vote: Member it voted for in that term; empty for none.
    """

    term: int = 0
    vote: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Image:
    """A snapshot that replaces the log up to one index.

    Attributes:
      index: Index of the last entry included; 0 if there is none.
      term: Term of that entry.
      members: Members as of that entry.
      data: The application's encoded state.
    """

    index: int = 0
    term: int = 0
    members: Members = Members()
    data: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RestoredState:
    """State that storage restored at the start of a replica.

    Attributes:
      hard_state: Term and vote.
      image: Newest snapshot.
      entries: Entries after the snapshot, without gaps.
    """

    hard_state: HardState = HardState()
    image: Image = Image()
    entries: tuple[Entry, ...] = ()
