"""Defines requests from the command line to a replica, and the answers.

Every request has a `request_id`, which the answer repeats. A replica that is
not the leader answers writes with `NotLeader`.
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
    """The result of a publish, sent after a majority has synced it to disk."""

    request_id: str
    result: commands.PublishResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader:
    """Reports that the replica can't process the request.

    Attributes:
      request_id: ID of the request.
      leader_id: Replica believed to be the leader; empty when unknown.
      leader_address: `tcp://ip:port` of that replica, or empty.
      cause: Reason, in one sentence.
    """

    request_id: str
    leader_id: str
    leader_address: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """Asks a replica for the state of the cluster as it knows it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """State of one replica as the answering replica knows it.

    Attributes:
      replica_id: Name of the replica.
      address: `tcp://ip:port` of the replica.
      role: "leader", "follower", "candidate" or "learner".
      matched_version: Last log index known to be on the replica's disk; 0 if
        unknown.
    """

    replica_id: str
    address: str
    role: str
    matched_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusAnswer:
    """State of the cluster as one replica knows it.

    Attributes:
      request_id: ID of the request.
      replica_id: ID of the answering replica.
      leader_id: ID of the leader; empty when unknown.
      term: Current term.
      version: Last applied version.
      publication_version: Version of the last accepted publication.
      stale_s: Seconds since the leader's last stamp; 0 on the leader.
      replicas: All replicas of the replica configuration.
      node_count: Number of nodes in the snapshot.
      in_force_version: Version that all reporting nodes have reached.
      lagging: IDs of nodes with a lower version than `version`; the number
        of IDs is limited.
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
    """Asks the leader for the newest publication, as a linearizable read.

    Attributes:
      request_id: Repeated by the answer.
      held_version: Version of the publication that the requesting replica
        has applied, so that its document need not be sent; 0 for none.
    """

    request_id: str
    held_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NewestAnswer:
    """The newest publication, confirmed by a majority after the request.

    Attributes:
      request_id: ID of the request.
      publication_version: Version of the publication; 0 before the first.
      document: Document of the publication, if it has one.
      is_held: Whether the newest publication is that of `held_version` in
        the request; the document is then omitted.
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
      version: Log index of the publication.
      publish_id: ID chosen by the operator.
      operator: Name of the operator.
      base_version: Version of the publication that it was based on.
      revisions: `name=revision` of each service, sorted by name.
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
      request_id: ID of the request.
      found: False if the publication is no longer stored or never existed.
      version: Version of the publication.
      stale_s: Seconds since the leader's last stamp.
      services: Services sorted by name.
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
    """Asks the leader to add, remove or replace one replica.

    Attributes:
      request_id: Repeated by the answer.
      action: "add", "remove" or "replace".
      replica_id: Replica to add or to remove.
      address: `tcp://ip:port` of a replica to add.
      public_key: CurveZMQ public key of a replica to add, in Z85.
      replaced_id: Replica to remove when `action` is "replace".
    """

    request_id: str
    action: str
    replica_id: str
    address: str = ""
    public_key: str = ""
    replaced_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeReplicaAnswer:
    """Reports whether the change was accepted, and if not, why."""

    request_id: str
    accepted: bool
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddKindRequest:
    """Asks the leader to let documents use an additional kind of route."""

    request_id: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddKindAnswer:
    """Names the additional kinds of the deployment, after the change.

    Attributes:
      request_id: ID of the request.
      kinds: All of them, sorted.
    """

    request_id: str
    kinds: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRolloutRequest:
    """Asks the leader to accept the order of a roll-out."""

    request_id: str
    order: commands.StartRollout


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRolloutAnswer:
    """The outcome of an order, sent once a majority has synced it to disk."""

    request_id: str
    outcome: commands.RolloutOutcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRequest:
    """Asks the leader for a roll-out, as a linearizable read.

    Attributes:
      request_id: Repeated by the answer.
      service: Service whose newest roll-out is asked for.
    """

    request_id: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutAnswer:
    """The newest roll-out of a service; None if none was ordered."""

    request_id: str
    rollout: snapshots.Rollout | None


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
    | AddKindRequest
    | AddKindAnswer
    | StartRolloutRequest
    | StartRolloutAnswer
    | RolloutRequest
    | RolloutAnswer
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
        17: AddKindRequest,
        18: AddKindAnswer,
        19: StartRolloutRequest,
        20: StartRolloutAnswer,
        21: RolloutRequest,
        22: RolloutAnswer,
    },
)
