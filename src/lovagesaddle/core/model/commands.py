"""Commands of the replicated log and what applying them answers."""

import dataclasses
import enum

from lovagesaddle.core import codec
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoundCluster:
    """First entry of every log; fixes the identity of the cluster."""

    cluster_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishServices:
    """Replaces the whole set of services in one transaction.

    Attributes:
      publish_id: Chosen by the operator; a resend gets the first answer.
      operator: Who publishes, for the history.
      base_version: Version of the last publication that the operator saw;
        0 when the operator saw none. Not judged beside a document.
      services: The complete set, sorted by name.
      document: What the services were read from, if it is kept.
      limits: Limits on callers; None leaves those of each node's settings.
    """

    publish_id: str
    operator: str
    base_version: int
    services: tuple[services_lib.Service, ...]
    document: documents.Document | None = None
    limits: services_lib.CallerLimits | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditPublication:
    """A PublishServices command as an edit of the newest publication.

    Attributes:
      publish_id: As in that command.
      operator: As in that command.
      base_version: As in that command.
      edited: Version of the publication that is edited.
      services: What turns its services into those of the command.
      document: As in that command, but as an edit.
      limits: As in that command.
    """

    publish_id: str
    operator: str
    base_version: int
    edited: int
    services: edits.ServicesEdit
    document: edits.DocumentEdit | None = None
    limits: services_lib.CallerLimits | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PackedCommand:
    """Another command in the log.

    Attributes:
      data: Its kind and payload, packed by zlib.
    """

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembership:
    """A batch of joins, changes and leaves.

    A change of an older incarnation than the one held is passed over.

    Attributes:
      nodes: Nodes that join or change.
      servers: Backend servers that join or change.
      gone_nodes: (node ID, incarnation) that left or expired, with their
        backend servers.
      gone_servers: (server ID, incarnation) that left or expired.
    """

    nodes: tuple[snapshots.Node, ...] = ()
    servers: tuple[snapshots.BackendServer, ...] = ()
    gone_nodes: tuple["Incarnation", ...] = ()
    gone_servers: tuple["Incarnation", ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Incarnation:
    """One life of a node or of a backend server.

    Attributes:
      member_id: Node ID or server ID.
      incarnation: Number of that life.
    """

    member_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AssignShards:
    """Replaces the shards that are named, each with a higher epoch."""

    shards: tuple[snapshots.Shard, ...]


class PublishOutcome(enum.Enum):
    """How a publish ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishResult:
    """What applying a PublishServices command answers.

    Attributes:
      outcome: How it ended.
      version: Version that brought the services into the log if accepted;
        version of the winning publication on a conflict; else 0.
      winner_id: Publish ID of the winner of a conflict, else empty.
      winner_operator: Operator of the winner of a conflict, else empty.
      causes: Why the publish was rejected, one sentence each.
    """

    outcome: PublishOutcome
    version: int
    winner_id: str = ""
    winner_operator: str = ""
    causes: tuple[str, ...] = ()


Command = FoundCluster | PublishServices | ChangeMembership | AssignShards

# What stands in the log, which has publications as edits where it can.
StoredCommand = Command | EditPublication

COMMANDS: codec.Registry[StoredCommand | PackedCommand] = codec.Registry(
    name="command",
    kinds={
        1: FoundCluster,
        2: PublishServices,
        3: ChangeMembership,
        4: AssignShards,
        5: EditPublication,
        6: PackedCommand,
    },
)
