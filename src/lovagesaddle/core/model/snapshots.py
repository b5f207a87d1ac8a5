"""Defines the state that is distributed to nodes, whole and as deltas."""

import dataclasses
import enum

import msgspec

from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib

# Largest number of requests that a backend server runs at a time.
MAX_SLOTS = 100_000


class ServerState(enum.Enum):
    """Whether a backend server accepts new requests."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A lovagesaddle-node process.

    Attributes:
      node_id: Name from the node's settings, unique in the mesh.
      incarnation: Increases with every start of the process; messages of an
        older incarnation are ignored.
      failure_domain: Name of the failure domain that the node runs in.
      region: Name of the region of the failure domain.
      http_address: `ip:port` that callers and other nodes connect to.
      control_address: `tcp://ip:port` of the node's ZeroMQ socket.
      public_key: CurveZMQ public key in Z85; empty when links are not
        encrypted.
    """

    node_id: str
    incarnation: int
    failure_domain: str
    region: str
    http_address: str
    control_address: str
    public_key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server that announced itself to the node on its VM.

    Attributes:
      server_id: `<node_id>/<service>`, unique in the mesh.
      incarnation: Increases with every announcement after an absence.
      service: Name of the service that it runs.
      node_id: ID of its owner, the node on its VM.
      slots: Number of requests that it runs concurrently.
      connections: Number of connections that it accepts.
      state: Whether the server accepts new requests.
      is_warm: Whether the server is known to have been running for a while,
        so that it gets its full share of requests at once.
      software: Version of the software that the server runs; unset where
        versions are not rolled out.
    """

    server_id: str
    incarnation: int
    service: str
    node_id: str
    slots: int
    connections: int
    state: ServerState
    is_warm: bool = False
    software: str | msgspec.UnsetType = msgspec.UNSET


class RolloutPhase(enum.Enum):
    """Phase of a roll-out; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """The newest roll-out of a version of a service's software.

    The first version that a service's servers announce counts as a completed
    roll-out without an order.

    Attributes:
      service: Name of the service.
      target: Version of the software that is brought in.
      ramp_s: Time in which the operator wants it done, in seconds.
      ordered_at: Log index of the order, which identifies the roll-out; 0
        without an order.
      phase: What has become of it.
      weight: Share of the service's requests that may go to the target
        version, in thousandths.
      previous: Version that it replaces; empty if none was known.
      elapsed_s: Time from the order to the last step, in seconds.
    """

    service: str
    target: str
    ramp_s: float
    ordered_at: int
    phase: RolloutPhase
    weight: int
    previous: str = ""
    elapsed_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """One incarnation of a node that holds claims.

    A node loses its claims when it restarts, so its new incarnation counts as
    a different holder, which has no vote until it is itself assigned.

    Attributes:
      node_id: ID of the node.
      incarnation: Incarnation of the node when it was assigned.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shard:
    """A group of nodes that holds the claims on some Idempotency-Keys.

    Attributes:
      number: Position in the shard map, counted from 0.
      epoch: Starts at 1 and increases by one with every change of holders.
      holders: Current holders of the claims.
      previous: Holders in the previous epoch, which hand over their claims;
        empty in epoch 1.
    """

    number: int
    epoch: int
    holders: tuple[Holder, ...]
    previous: tuple[Holder, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The routing state of nodes at one version of the replicated log.

    Attributes:
      cluster_id: Identity of the cluster, set when it is founded.
      version: Log index of the last entry that the snapshot includes.
      services: Services sorted by name.
      nodes: Nodes sorted by node ID.
      servers: Backend servers sorted by server ID; the node of each server
        is in `nodes`.
      shards: Shards sorted by number.
      limits: Limits on callers; if None, each node uses its own settings.
      publication: Version of the publication that the services are from; 0
        before the first one.
      accounts: Client accounts sorted by name; unset where there are none.
      rollouts: Newest roll-out of each service, sorted by service; unset
        where there has been none.
    """

    cluster_id: str
    version: int
    services: tuple[services_lib.Service, ...] = ()
    nodes: tuple[Node, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    shards: tuple[Shard, ...] = ()
    limits: services_lib.CallerLimits | None = None
    publication: int = 0
    accounts: tuple[services_lib.ClientAccount, ...] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    rollouts: tuple[Rollout, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The difference between the snapshot at one version and a later one.

    Attributes:
      cluster_id: Identity of the cluster.
      base_version: Version of the snapshot that the delta applies to.
      base_digest: Digest of the snapshot that the delta applies to.
      version: Version of the result.
      digest: Digest of the result; see `configuration.digest`.
      services: Added or changed services.
      removed_services: Names of removed services.
      nodes: Added or changed nodes.
      removed_nodes: IDs of removed nodes.
      servers: Added or changed backend servers.
      removed_servers: IDs of removed backend servers.
      shards: Added or changed shards.
      limits: Limits on callers in the result, whether or not they changed.
      publication: Version of the result's publication.
      accounts: Added or changed client accounts; unset for none.
      removed_accounts: Names of removed client accounts; unset for none.
      rollouts: Added or changed roll-outs; unset for none.
      removed_rollouts: Services whose roll-outs are removed; unset for none.
    """

    cluster_id: str
    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    services: tuple[edits.ServiceEdit, ...] = ()
    removed_services: tuple[str, ...] = ()
    nodes: tuple[Node, ...] = ()
    removed_nodes: tuple[str, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    removed_servers: tuple[str, ...] = ()
    shards: tuple[Shard, ...] = ()
    limits: services_lib.CallerLimits | None = None
    publication: int = 0
    accounts: tuple[services_lib.ClientAccount, ...] | msgspec.UnsetType = (
        msgspec.UNSET
    )
    removed_accounts: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    rollouts: tuple[Rollout, ...] | msgspec.UnsetType = msgspec.UNSET
    removed_rollouts: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
