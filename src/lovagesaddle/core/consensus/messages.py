"""Messages between the replicas, and their envelope."""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core.consensus import entries as entries_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A message with its two ends.

    Attributes:
      cluster_id: Cluster of the sender; another one's messages are dropped.
      sender: Member ID.
      receiver: Member ID; a replica drops what is not for its identity.
      payload: A message of MESSAGES.
    """

    cluster_id: str
    sender: str
    receiver: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """Asks for a vote, or whether one would be given.

    Attributes:
      term: Term to be elected in.
      last_index: Index of the candidate's last entry.
      last_term: Term of that entry.
      is_pre: Whether this only asks, and binds nobody.
      is_transfer: Whether the leader itself asked for the election.
    """

    term: int
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VoteAnswer:
    """Answers a VoteRequest.

    Attributes:
      term: Term of the request if granted, else the voter's own.
      is_granted: Whether the vote is given.
      is_pre: As in the request.
    """

    term: int
    is_granted: bool
    is_pre: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Carries entries, the commit index and the leader's authority.

    Attributes:
      term: The leader's term.
      previous_index: Index of the entry before the first one carried.
      previous_term: Term of that entry.
      entries: Consecutive entries, maybe none.
      commit_index: Last entry known to be on a majority.
      round: Number of the leader's heartbeat, echoed by the answer.
      counter: Newest round that a majority confirmed.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[entries_lib.Entry, ...]
    commit_index: int
    round: int
    counter: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendAnswer:
    """Answers an AppendRequest.

    Attributes:
      term: The follower's term.
      is_accepted: Whether the logs match up to `index`.
      index: Last entry synced that matches the leader's log; when refused,
        the last entry that may still match.
      previous_index: As in the request.
      round: As in the request.
    """

    term: int
    is_accepted: bool
    index: int
    previous_index: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ImageRequest:
    """Carries a piece of a snapshot to a follower that lags too far.

    Attributes:
      term: The leader's term.
      image: The snapshot with `data` cut to this piece.
      offset: Position of the piece in the whole data, in bytes.
      total: Length of the whole data, in bytes.
      round: Number of the leader's heartbeat.
      counter: Newest round that a majority confirmed.
    """

    term: int
    image: entries_lib.Image
    offset: int
    total: int
    round: int
    counter: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ImageAnswer:
    """Says which piece of a snapshot a follower needs next.

    Attributes:
      term: The follower's term.
      index: Index of the snapshot.
      offset: Bytes held; the total length means that all are there.
      round: As in the request.
    """

    term: int
    index: int
    offset: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferRequest:
    """Asks a follower to be elected at once, since its leader stops."""

    term: int


Message = (
    VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | ImageRequest
    | ImageAnswer
    | TransferRequest
)

MESSAGES: codec.Registry[Message] = codec.Registry(
    name="consensus message",
    kinds={
        1: VoteRequest,
        2: VoteAnswer,
        3: AppendRequest,
        4: AppendAnswer,
        5: ImageRequest,
        6: ImageAnswer,
        7: TransferRequest,
    },
)


def carries_started_term(message: Message) -> bool:
    """Returns whether a message's term was really started by someone."""
    match message:
        case VoteRequest():
            return not message.is_pre
        case VoteAnswer():
            return not (message.is_pre and message.is_granted)
    return True
