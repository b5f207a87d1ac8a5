"""Wire messages of the distribution channel.

A child connects to its parent and beats; the parent answers on that
connection with beats of its own, deltas and snapshots. Replicas are parents
of the first nodes of each failure domain.
"""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.model import stamps


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Asks the leader to take a node into the mesh.

    Attributes:
      node: The node; its incarnation is assigned by the leader.
      life: Random number of this start of the process, so that a resend is
        told from another process with the same name.
      servers: Backend servers that are known already.
    """

    node: snapshots.Node
    life: bytes
    servers: tuple[snapshots.BackendServer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinAccepted:
    """Tells a node that its join stands in the log.

    Attributes:
      node_id: The node.
      life: Repeated from the join.
      incarnation: Assigned to this life.
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
    """Tells the leader that a node stops."""

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReport:
    """Tells the leader every backend server of one node.

    Attributes:
      node_id: The owner.
      incarnation: Of the owner; a report of an older one changes nothing.
      sequence: Rises with every report; an older report changes nothing.
      servers: Complete list, sorted by server ID.
    """

    node_id: str
    incarnation: int
    sequence: int
    servers: tuple[snapshots.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Carries a node's message from a replica to the leader.

    Attributes:
      origin_id: The node that sent it.
      data: The message, encoded.
    """

    origin_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardAnswer:
    """Carries the leader's answer back to the replica that forwarded.

    Attributes:
      origin_id: The node that is answered.
      data: The answer, encoded.
    """

    origin_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AckGroup:
    """Nodes of a subtree that hold the same version.

    Attributes:
      version: What they hold.
      tokens: `tokens.TOKEN_BYTES` for each node, sorted, concatenated.
    """

    version: int
    tokens: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChildBeat:
    """Heartbeat of a child; the first one attaches it.

    Attributes:
      eager: Whether the parent shall push deltas; else it sends beats only.
      version: What the child holds; 0 for nothing.
      digest: Digest of it.
      groups: Nodes of the child's subtree, itself among them; empty on a
        lazy link.
    """

    eager: bool
    version: int
    digest: bytes
    groups: tuple[AckGroup, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentBeat:
    """Heartbeat of a parent.

    Attributes:
      version: What the parent holds; 0 for nothing.
      digest: Digest of it.
      stamp: Newest leader stamp that reached the parent.
    """

    version: int
    digest: bytes
    stamp: stamps.LeaderStamp


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Detach:
    """Tells a parent that the child has another parent now."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Asks for whatever is newer than what the sender holds.

    Attributes:
      version: What the sender holds; 0 for nothing.
      digest: Digest of it; empty to get a whole snapshot.
      least: Oldest version that the sender can install.
    """

    version: int
    digest: bytes
    least: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaPush:
    """Brings a delta."""

    delta: snapshots.Delta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotPush:
    """Brings a whole snapshot.

    Attributes:
      snapshot: The state.
      digest: Its digest, which the receiver computes again.
    """

    snapshot: snapshots.Snapshot
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLater:
    """Refuses a whole snapshot for now.

    Attributes:
      after_s: Seconds after which the sender has one to give.
      helpers: Nodes that got one from the sender lately.
    """

    after_s: float
    helpers: tuple[peers.Peer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """A crash mark on its way; see `node.ports.CrashMark`."""

    fingerprint: bytes
    mark_id: bytes
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MarkSpread:
    """Brings crash marks that the receiver may not know."""

    marks: tuple[Mark, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaReport:
    """Tells the leader what the subtrees of another replica hold."""

    groups: tuple[AckGroup, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaList:
    """Tells the nodes which replicas there are now.

    Attributes:
      stamp: Leader stamp at which the list was true; the newest one counts.
      replicas: Every replica, sorted by ID.
    """

    stamp: stamps.LeaderStamp
    replicas: tuple[peers.Peer, ...]


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
    },
)
