"""Defines the messages of the distribution channel; `wire` encodes them.

A child connects to its parent and sends heartbeats; on that connection the
parent sends its own heartbeats, deltas and snapshots. Replicas are the parents
of the root nodes of each failure domain.
"""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core import echoes
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.model import stamps
from lovagesaddle.core.rollouts import evidence as evidence_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Asks the leader to add a node to the mesh.

    Attributes:
      node: The node; the leader assigns its incarnation.
      life: Random bytes that identify this start of the process. They
        distinguish a resend from a join of another process with the same node
        ID.
      servers: Backend servers that are already known.
    """

    node: snapshots.Node
    life: bytes
    servers: tuple[snapshots.BackendServer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinAccepted:
    """Tells a node that its join is committed to the log.

    Attributes:
      node_id: ID of the node.
      life: Copied from the join.
      incarnation: Incarnation assigned to this start of the process.
      floor: Version of the join; the node installs nothing older.
      helpers: Nodes that can serve the snapshot.
    """

    node_id: str
    life: bytes
    incarnation: int
    floor: int
    helpers: tuple[peers.Peer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Tells the leader that a node is stopping."""

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReport:
    """Reports all backend servers of one node to the leader.

    Attributes:
      node_id: ID of the node that owns the servers.
      incarnation: Incarnation of that node; a report of an older incarnation
        is ignored.
      sequence: Increases with every report; an older report is ignored.
      servers: Complete list, sorted by server ID.
    """

    node_id: str
    incarnation: int
    sequence: int
    servers: tuple[snapshots.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Forwards a node's message from a replica to the leader.

    Attributes:
      origin_id: ID of the node that sent the message.
      data: Encoded message.
    """

    origin_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardAnswer:
    """Returns the leader's answer to the replica that forwarded the message.

    Attributes:
      origin_id: ID of the node that the answer is for.
      data: Encoded answer.
    """

    origin_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AckGroup:
    """Acks of the nodes of a subtree that have installed the same version.

    Attributes:
      version: The installed version.
      tokens: Concatenation of one token per node, each of
        `tokens.TOKEN_BYTES` bytes, sorted.
    """

    version: int
    tokens: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChildBeat:
    """Heartbeat of a child; the first one attaches it to the parent.

    Attributes:
      eager: Whether the parent pushes deltas; if not, it sends heartbeats
        only.
      version: Version that the child has installed; 0 for none.
      digest: Digest of that version.
      groups: Acks of the child's subtree, including its own; empty on a lazy
        link.
      sequence: Number that the parent returns at once; `echoes.NONE` if no
        answer is due.
    """

    eager: bool
    version: int
    digest: bytes
    groups: tuple[AckGroup, ...] = ()
    sequence: int = echoes.NONE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentBeat:
    """Heartbeat of a parent.

    Attributes:
      version: Newest version of the parent; 0 for none.
      digest: Digest of that version.
      stamp: Newest leader stamp that the parent received.
      sequence: Number of the message that this one answers.
      age_s: How old `version` may be at most, in seconds: every version
        accepted longer ago is part of it. None if nothing proves an age.
    """

    version: int
    digest: bytes
    stamp: stamps.LeaderStamp
    sequence: int = echoes.NONE
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Detach:
    """Tells a parent that the child has switched to another parent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Asks for an update to the newest version of the receiver.

    Attributes:
      version: Version that the sender has installed; 0 for none.
      digest: Digest of that version; empty to request a whole snapshot.
      least: Oldest version that the sender can install.
      sequence: Number that the receiver returns with a heartbeat after the
        update; `echoes.NONE` if only the update is asked for.
    """

    version: int
    digest: bytes
    least: int
    sequence: int = echoes.NONE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaPush:
    """Carries a delta."""

    delta: snapshots.Delta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPush:
    """Carries a whole snapshot.

    Attributes:
      snapshot: The snapshot.
      digest: Digest of the snapshot, which the receiver verifies.
    """

    snapshot: snapshots.Snapshot
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLater:
    """Refuses a pull for now.

    Attributes:
      after_s: Time after which to ask the sender again, in seconds.
      helpers: Nodes that the sender recently served a whole snapshot.
    """

    after_s: float
    helpers: tuple[peers.Peer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """A crash mark on the wire; see `routing.quarantine.CrashMark`."""

    fingerprint: bytes
    mark_id: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkSpread:
    """Carries crash marks that may be new to the receiver."""

    marks: tuple[Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaReport:
    """Reports the acks of a follower replica's subtrees to the leader."""

    groups: tuple[AckGroup, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaList:
    """Informs the nodes of the current replicas.

    Attributes:
      stamp: Leader stamp at which the list was current; a list with a newer
        stamp replaces it.
      replicas: All replicas, sorted by ID.
    """

    stamp: stamps.LeaderStamp
    replicas: tuple[peers.Peer, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutReport:
    """Tells the leader how the versions of a node's servers answer.

    It is sent while a roll-out of their service runs.

    Attributes:
      node_id: Node that owns the servers.
      incarnation: Incarnation of the node.
      versions: What the servers of each version did since the order.
    """

    node_id: str
    incarnation: int
    versions: tuple[evidence_lib.Evidence, ...]


DistributionMessage = (
    Join
    | JoinAccepted
    | Leave
    | ServerReport
    | Forward
    | ForwardAnswer
    | ChildBeat
    | ParentBeat
    | Detach
    | Pull
    | DeltaPush
    | SnapshotPush
    | RetryLater
    | MarkSpread
    | ReplicaReport
    | ReplicaList
    | RolloutReport
)

DISTRIBUTION_MESSAGES: codec.Registry[DistributionMessage] = codec.Registry(
    name="distribution message",
    kinds={
        1: Join,
        2: JoinAccepted,
        3: Leave,
        4: ServerReport,
        5: Forward,
        6: ForwardAnswer,
        7: ChildBeat,
        8: ParentBeat,
        9: Detach,
        10: Pull,
        11: DeltaPush,
        12: SnapshotPush,
        13: RetryLater,
        14: MarkSpread,
        15: ReplicaReport,
        16: ReplicaList,
        17: RolloutReport,
    },
)
