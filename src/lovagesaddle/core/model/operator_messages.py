"""Requests of the command line to a replica, and their answers.

Every request carries a `request_id` that its answer repeats. A replica that
is not leader answers writes with `NotLeader`.
"""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishRequest:
    """Asks the leader to accept a set of services."""

    request_id: str
    command: commands.PublishServices


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditRequest:
    """Asks the leader to accept an edit of the newest publication."""

    request_id: str
    command: commands.EditPublication


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishAnswer:
    """Result of a publish, sent only once it is synced on a majority."""

    request_id: str
    result: commands.PublishResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader:
    """The replica can't take the request.

    Attributes:
      request_id: Of the request.
      leader_id: Replica believed to lead; empty when none is known.
      leader_address: `tcp://ip:port` of that replica, or empty.
      cause: Why, in one sentence.
    """

    request_id: str
    leader_id: str
    leader_address: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """Asks a replica what it knows of the cluster."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """One replica as seen by the answering one.

    Attributes:
      replica_id: Name of the replica.
      address: `tcp://ip:port`.
      role: "leader", "follower", "candidate" or "learner".
      matched_version: Last log index known to be on its disk; 0 unknown.
    """

    replica_id: str
    address: str
    role: str
    matched_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusAnswer:
    """State of the cluster as one replica sees it.

    Attributes:
      request_id: Of the request.
      replica_id: The answering replica.
      leader_id: Replica that leads, empty when none is known.
      term: Current term.
      version: Last applied version.
      publication_version: Version of the last accepted publication.
      stale_s: Seconds since the last stamp of the leader; 0 at the leader.
      replicas: Every replica of the configuration.
      node_count: Nodes in the snapshot.
      in_force_version: Version that every reporting node holds at least.
      lagging: IDs of nodes that hold less than `version`, capped.
    """

    request_id: str
    replica_id: str
    leader_id: str
    term: int
    version: int
    publication_version: int
    stale_s: float
    replicas: tuple[ReplicaStatus, ...]
    node_count: int
    in_force_version: int
    lagging: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NewestRequest:
    """Asks the leader for what is sure to be the newest publication.

    Attributes:
      request_id: Repeated by the answer.
      held_version: Version of the publication that the asking replica has
        applied, whose document need not be sent; 0 for none.
    """

    request_id: str
    held_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NewestAnswer:
    """The newest publication, confirmed by a majority after the request.

    Attributes:
      request_id: Of the request.
      publication_version: Version of the publication; 0 before the first.
      document: What it was read from, if it brought a document.
      is_held: Whether it is the publication that the request says is held;
        then the document is left out.
    """

    request_id: str
    publication_version: int
    document: documents.Document | None
    is_held: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryRequest:
    """Asks for the last publications, newest first."""

    request_id: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """An accepted publication.

    Attributes:
      version: Log index.
      publish_id: Chosen by the operator.
      operator: Who published.
      base_version: Publication it was based on.
      revisions: `name=revision` of each service, sorted.
    """

    version: int
    publish_id: str
    operator: str
    base_version: int
    revisions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HistoryAnswer:
    """Accepted publications, newest first."""

    request_id: str
    version: int
    stale_s: float
    publications: tuple[Publication, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicesRequest:
    """Asks for the services of one publication.

    Attributes:
      request_id: Repeated by the answer.
      version: Version of a publication; 0 for the last one.
    """

    request_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicesAnswer:
    """Services of one publication.

    Attributes:
      request_id: Of the request.
      found: False when the publication is not kept any more or never was.
      version: Version of the publication.
      stale_s: Seconds since the last stamp of the leader.
      services: Sorted by name.
    """

    request_id: str
    found: bool
    version: int
    stale_s: float
    services: tuple[services_lib.Service, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRequest:
    """Asks for the snapshot at the last applied version."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotAnswer:
    """The snapshot at the last applied version."""

    request_id: str
    stale_s: float
    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeReplicaRequest:
    """Asks the leader to add or remove one replica.

    Attributes:
      request_id: Repeated by the answer.
      action: "add", "remove" or "replace".
      replica_id: Replica to add, or to remove.
      address: `tcp://ip:port` of a replica to add.
      public_key: CurveZMQ public key of a replica to add, Z85.
      replaced_id: Replica that leaves when `action` is "replace".
    """

    request_id: str
    action: str
    replica_id: str
    address: str = ""
    public_key: str = ""
    replaced_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeReplicaAnswer:
    """Whether the change was accepted, and why not."""

    request_id: str
    accepted: bool
    cause: str


OperatorMessage = (
    PublishRequest
    | EditRequest
    | PublishAnswer
    | NotLeader
    | StatusRequest
    | StatusAnswer
    | HistoryRequest
    | HistoryAnswer
    | ServicesRequest
    | ServicesAnswer
    | SnapshotRequest
    | SnapshotAnswer
    | ChangeReplicaRequest
    | ChangeReplicaAnswer
    | NewestRequest
    | NewestAnswer
)

OPERATOR_MESSAGES: codec.Registry[OperatorMessage] = codec.Registry(
    name="operator message",
    kinds={
        1: PublishRequest,
        2: PublishAnswer,
        3: NotLeader,
        4: StatusRequest,
        5: StatusAnswer,
        6: HistoryRequest,
        7: HistoryAnswer,
        8: ServicesRequest,
        9: ServicesAnswer,
        10: SnapshotRequest,
        11: SnapshotAnswer,
        12: ChangeReplicaRequest,
        13: ChangeReplicaAnswer,
        14: NewestRequest,
        15: NewestAnswer,
        16: EditRequest,
    },
)
