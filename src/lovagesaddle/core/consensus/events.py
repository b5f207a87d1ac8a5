"""What happens to a replica and what it wants done."""

import dataclasses
import enum

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import messages


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message for this member arrived."""

    sender: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A command that waits for its place in the log.

    Attributes:
      proposal_id: Chosen by the shell, unique in its life.
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
    """A change of the members.

    Attributes:
      proposal_id: Chosen by the shell, unique in its life.
      members: The members after the change; they differ by one voter at most.
    """

    proposal_id: int
    members: entries_lib.Members


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """A read that must see everything committed before it began.

    Attributes:
      proposal_id: Chosen by the shell, unique in its life.
    """

    proposal_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Persisted:
    """Everything up to a Persist action is synced."""

    sync_id: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ImageTaken:
    """The shell encoded the application's state after applying `index`."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InitializeLog:
    """The first entry of a new cluster's log, for an empty log only."""

    entry: entries_lib.Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership:
    """The process is about to stop; another replica should lead."""


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
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message; it may be lost."""

    receiver: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Persist:
    """Write and sync, in this order, then report Persisted.

    Attributes:
      sync_id: Rises with every Persist.
      hard_state: New term and vote, or None if unchanged.
      image: Snapshot that replaces everything up to its index, or None.
      drop_log: Whether the image also replaces every later entry.
      entries: Entries to append; the first one's index cuts off whatever
        stands there and after it.
    """

    sync_id: int
    hard_state: entries_lib.HardState | None = None
    image: entries_lib.Image | None = None
    drop_log: bool = False
    entries: tuple[entries_lib.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Apply committed entries, in order."""

    entries: tuple[entries_lib.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restore:
    """Replace the application's state by a snapshot."""

    image: entries_lib.Image


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resolve:
    """A proposal was applied at `index`, or a read may be answered.

    A read's index is the last entry committed when it began; it is applied.
    """

    proposal_id: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """A proposal will not be answered.

    Attributes:
      proposal_id: Of the proposal.
      cause: Why, in one sentence.
      is_unknown: Whether it may still be committed.
    """

    proposal_id: int
    cause: str
    is_unknown: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoleChanged:
    """The role, the term or the believed leader changed."""

    role: Role
    term: int
    leader: str


Action = Send | Persist | Apply | Restore | Resolve | Refuse | RoleChanged
