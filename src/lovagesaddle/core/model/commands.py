"""Defines the commands of the replicated log and their results."""

import dataclasses
import enum

import msgspec

from lovagesaddle.core import codec
from lovagesaddle.core.model import documents
from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib
from lovagesaddle.core.model import snapshots


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoundCluster:
    """Sets the identity of the cluster; the first command of every log."""

    cluster_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindUse:
    """A kind of route beyond those of every deployment, as a document uses it.

    Attributes:
      kind: Name of the kind.
      place: Where the document first names it, for the cause of a refusal.
    """

    kind: str
    place: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishServices:
    """Replaces the whole set of services in one transaction.

    Attributes:
      publish_id: ID chosen by the operator. A resend of an accepted publish
        gets the first result again.
      operator: Name of the operator, for the history.
      base_version: Version of the last publication that the operator saw;
        0 when the operator saw none. Ignored if `document` is given.
      services: The complete set, sorted by name.
      document: Document that the services were read from, if it is stored.
      limits: Limits on callers; if None, each node uses its own settings.
      accounts: Client accounts, sorted by name; unset for none.
      kinds: Additional kinds of routes that the document uses; unset for none.
    """

    publish_id: str
    operator: str
    base_version: int
    services: tuple[services_lib.Service, ...]
    document: documents.Document | None = None
    limits: services_lib.CallerLimits | None = None
    accounts: tuple[services_lib.ClientAccount, ...] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    kinds: tuple[KindUse, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditPublication:
    """A PublishServices command as an edit of the newest publication.

    Attributes:
      publish_id: As in PublishServices.
      operator: As in PublishServices.
      base_version: As in PublishServices.
      edited: Version of the publication that the edit applies to.
      services: Edit that turns its services into those of PublishServices.
      document: As in PublishServices, but as an edit.
      limits: As in PublishServices.
      accounts: Client accounts that the edit adds or changes; unset for none.
      removed_accounts: Names of those that it removes; unset for none.
      kinds: As in PublishServices.
    """

    publish_id: str
    operator: str
    base_version: int
    edited: int
    services: edits.ServicesEdit
    document: edits.DocumentEdit | None = None
    limits: services_lib.CallerLimits | None = None
    accounts: tuple[services_lib.ClientAccount, ...] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    removed_accounts: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    kinds: tuple[KindUse, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PackedCommand:
    """Another command in compressed form, for the log.

    Attributes:
      data: Kind and payload of the command, compressed with zlib.
    """

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembership:
    """Applies a batch of joins, changes and leaves.

    A change with an older incarnation than the state has is ignored.

    Attributes:
      nodes: Nodes that join or change.
      servers: Backend servers that join or change.
      gone_nodes: Nodes that left or expired; their backend servers are
        removed with the nodes.
      gone_servers: Backend servers that left or expired.
    """

    nodes: tuple[snapshots.Node, ...] = ()
    servers: tuple[snapshots.BackendServer, ...] = ()
    gone_nodes: tuple["Incarnation", ...] = ()
    gone_servers: tuple["Incarnation", ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Incarnation:
    """One incarnation of a node or backend server.

    Attributes:
      member_id: Node ID or server ID.
      incarnation: Incarnation number.
    """

    member_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AssignShards:
    """Replaces the given shards, each with one of a higher epoch."""

    shards: tuple[snapshots.Shard, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddKind:
    """Lets later documents use an additional kind of route."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRollout:
    """Orders a roll-out of a version of a service's software.

    Attributes:
      service: Name of the service.
      target: Version of the software to bring in.
      ramp_s: Time in which it is to be done, in seconds.
    """

    service: str
    target: str
    ramp_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StepRollout:
    """Changes the share of a running roll-out, or ends it.

    Attributes:
      service: Name of the service.
      ordered_at: Log index of its order; the step of another one is ignored.
      phase: Phase after the step.
      weight: Share of the target version after the step, in thousandths.
      elapsed_s: Time since the order, in seconds.
    """

    service: str
    ordered_at: int
    phase: snapshots.RolloutPhase
    weight: int
    elapsed_s: float


class RolloutOutcome(enum.Enum):
    """Outcome of the order of a roll-out."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN_SERVICE = "unknown-service"
    DISABLED = "disabled"


class PublishOutcome(enum.Enum):
    """Outcome of a publish."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishResult:
    """Result of applying a PublishServices command.

    Attributes:
      outcome: Whether the publish was accepted.
      version: Version of the new publication if accepted; version of the
        winning publication on a conflict; otherwise 0.
      winner_id: On a conflict, publish ID of the winning publication;
        otherwise empty.
      winner_operator: On a conflict, operator of the winning publication;
        otherwise empty.
      causes: Why the publish was not accepted, one sentence each.
    """

    outcome: PublishOutcome
    version: int
    winner_id: str = ""
    winner_operator: str = ""
    causes: tuple[str, ...] = ()


Command = (
    FoundCluster
    | PublishServices
    | ChangeMembership
    | AssignShards
    | AddKind
    | StartRollout
    | StepRollout
)

# The log stores publications as edits where possible.
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
        7: AddKind,
        8: StartRollout,
        9: StepRollout,
    },
)
