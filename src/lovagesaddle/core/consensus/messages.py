"""Messages between replicas, and their envelope."""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core import echoes
from lovagesaddle.core.consensus import entries as entries_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A message with its sender and receiver.

    Attributes:
      cluster_id: Cluster of the sender; a replica drops messages of other
        clusters.
      sender: Member ID.
      receiver: Member ID; a replica drops messages to other members.
      payload: Message encoded by `MESSAGES`.
    """

    cluster_id: str
    sender: str
    receiver: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """Requests a vote, or asks whether it would be granted (pre-vote).

    Attributes:
      term: Term of the election.
      last_index: Index of the candidate's last entry.
      last_term: Term of that entry.
      is_pre: Whether this is a pre-vote, which changes no term and no vote.
      is_transfer: Whether the leader itself requested the election.
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
      is_granted: Whether the vote is granted.
      is_pre: As in the request.
    """

    term: int
    is_granted: bool
    is_pre: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Sends entries and the commit index, and serves as heartbeat.

    Attributes:
      term: The leader's term.
      previous_index: Index of the entry before the first one sent.
      previous_term: Term of that entry.
      entries: Consecutive entries; may be empty.
      commit_index: Last entry known to be stored on a majority.
      round: Number of the leader's heartbeat round, echoed in the answer.
      counter: Newest round that a majority confirmed.
      sequence: Number in the follower's newest answer.
      confirmed_age_s: Time since the leader started the round `counter`, in
        seconds; None before that, and until an entry of its term is committed.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[entries_lib.Entry, ...]
    commit_index: int
    round: int
    counter: int
    sequence: int = echoes.NONE
    confirmed_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppendAnswer:
    """Answers an AppendRequest.

    Attributes:
      term: The follower's term.
      is_accepted: Whether the logs match up to `index`.
      index: If accepted, last synced entry that matches the leader's log; if
        refused, last entry that may match it.
      previous_index: As in the request.
      round: As in the request.
      sequence: Number that the leader returns, which dates its next message.
      is_leaving: Whether the follower's process is about to stop.
    """

    term: int
    is_accepted: bool
    index: int
    previous_index: int
    round: int
    sequence: int = echoes.NONE
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ImageRequest:
    """Sends a piece of a snapshot to a follower that lags too far.

    Attributes:
      term: The leader's term.
      image: The snapshot, with only this piece in `data`.
      offset: Position of the piece in the whole data, in bytes.
      total: Length of the whole data, in bytes.
      round: Number of the leader's heartbeat round, echoed in the answer.
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
    """Tells the leader which piece of a snapshot the follower needs next.

    Attributes:
      term: The follower's term.
      index: Index of the snapshot.
      offset: Number of bytes received; equals `total` once it is complete.
      round: As in the request.
    """

    term: int
    index: int
    offset: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferRequest:
    """Asks a follower to start an election at once, since the leader stops."""

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
    """Returns whether a replica has started the term of a message.

    The term of a pre-vote request, and of an answer that grants one, is only
    proposed.
    """
    match message:
        case VoteRequest():
            return not message.is_pre
        case VoteAnswer():
            return not (message.is_pre and message.is_granted)
    return True
