"""Events that a replica handles and actions that it returns."""

import dataclasses
import enum

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import messages


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message for this member arrived."""

    sender: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A command to append to the log.

    Attributes:
      proposal_id: Chosen by the shell, unique until the process ends.
      payload: Encoded command.
    """

    proposal_id: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propose:
    """Commands to append in one batch."""

    proposals: tuple[Proposal, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProposeMembers:
    """A proposed change of the members.

    Attributes:
      proposal_id: Chosen by the shell, unique until the process ends.
      members: The members after the change; it adds or removes at most one
        voter.
    """

    proposal_id: int
    members: entries_lib.Members


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """A read that must see everything committed before it began.

    Attributes:
      proposal_id: Chosen by the shell, unique until the process ends.
    """

    proposal_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Persisted:
    """All writes up to and including a Persist action are synced."""

    sync_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ImageTaken:
    """The shell encoded the application's state after applying `index`."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InitializeLog:
    """Appends the first entry of a new cluster if the log is empty."""

    entry: entries_lib.Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership:
    """Another replica should lead."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """The process is about to stop; others should lead and vote."""


Event = (
    Tick
    | MessageReceived
    | Propose
    | ProposeMembers
    | Read
    | Persisted
    | ImageTaken
    | InitializeLog
    | TransferLeadership
    | Leave
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message, which may be lost."""

    receiver: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Persist:
    """Writes the fields in their order and syncs, then reports Persisted.

    Attributes:
      sync_id: Number of the write; increases with every Persist.
      hard_state: New term and vote, or None if unchanged.
      image: Snapshot that replaces all entries up to its index, or None.
      drop_log: Whether the snapshot also replaces all later entries.
      entries: Entries to append; stored entries from the index of the first
        one on are dropped.
    """

    sync_id: int
    hard_state: entries_lib.HardState | None = None
    image: entries_lib.Image | None = None
    drop_log: bool = False
    entries: tuple[entries_lib.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Applies committed entries in order."""

    entries: tuple[entries_lib.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restore:
    """Replaces the application's state with a snapshot."""

    image: entries_lib.Image


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resolve:
    """Reports that a proposal was applied, or that a read may be answered.

    Attributes:
      proposal_id: ID of the proposal or read.
      index: Index at which the proposal was applied. For a read, the last
        index that was committed when it began; it has been applied.
    """

    proposal_id: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Reports that this replica will not resolve a proposal or read.

    Attributes:
      proposal_id: ID of the proposal or read.
      cause: Why, in one sentence.
      is_unknown: Whether the proposal may still be committed.
    """

    proposal_id: int
    cause: str
    is_unknown: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoleChanged:
    """Reports that the role, the term or the known leader changed.

    Attributes:
      role: Current role of this replica.
      term: Current term.
      leader: Member ID of the leader; empty if none is known.
    """

    role: Role
    term: int
    leader: str


Action = Send | Persist | Apply | Restore | Resolve | Refuse | RoleChanged
