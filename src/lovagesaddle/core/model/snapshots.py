"""The distributed state at one version, and the difference of two versions."""

import dataclasses
import enum

from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services as services_lib


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A lovagesaddle-node process.

    Attributes:
      node_id: Name from the node's settings, unique in the mesh.
      incarnation: Rises with every start of the process; a message of an
        older incarnation changes nothing.
      failure_domain: Name of the failure domain it runs in.
      region: Name of the region the failure domain lies in.
      http_address: `ip:port` where callers and other nodes connect.
      control_address: `tcp://ip:port` of its ZeroMQ socket.
      public_key: CurveZMQ public key, Z85; empty when links are not encrypted.
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
      incarnation: Rises with every announcement after an absence.
      service: Name of the service it runs.
      node_id: Its owner.
      slots: Requests that it runs at a time.
      connections: Connections that it accepts.
      state: Whether it takes new work.
      is_warm: Whether it is known to have run for a while, so that it gets
        its full share at once.
    """

    server_id: str
    incarnation: int
    service: str
    node_id: str
    slots: int
    connections: int
    state: ServerState
    is_warm: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """One life of a node that holds claims.

    A node that restarted has forgotten its claims, so its new incarnation is
    another holder, which has no vote before it is assigned itself.

    Attributes:
      node_id: The node.
      incarnation: Its incarnation when it was assigned.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shard:
    """A group of nodes that holds the claims on some Idempotency-Keys.

    Attributes:
      number: Position in the shard map, counted from 0.
      epoch: Rises by one with every change of the holders, from 1.
      holders: Who holds claims now.
      previous: Holders of the epoch before, who hand their claims over;
        empty in epoch 1.
    """

    number: int
    epoch: int
    holders: tuple[Holder, ...]
    previous: tuple[Holder, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Everything a node routes by, at one version of the replicated log.

    Attributes:
      cluster_id: Identity of the cluster, fixed when it is founded.
      version: Log index of the last entry that is contained.
      services: Sorted by name.
      nodes: Sorted by node ID.
      servers: Sorted by server ID; every server's node is in `nodes`.
      shards: Sorted by number.
      limits: Limits on callers; None leaves those of each node's settings.
      publication: Version of the publication that brought the services; 0
        before the first one.
    """

    cluster_id: str
    version: int
    services: tuple[services_lib.Service, ...] = ()
    nodes: tuple[Node, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    shards: tuple[Shard, ...] = ()
    limits: services_lib.CallerLimits | None = None
    publication: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """What turns the snapshot at one version into a later one.

    Attributes:
      cluster_id: Identity of the cluster.
      base_version: Version the delta applies to.
      base_digest: Digest of the snapshot it applies to.
      version: Version of the result.
      digest: Digest of the result; see `configuration.digest`.
      services: Added or changed services.
      removed_services: Names.
      nodes: Added or changed nodes.
      removed_nodes: Node IDs.
      servers: Added or changed backend servers.
      removed_servers: Server IDs.
      shards: Added or changed shards.
      limits: Limits of the result, whether they changed or not.
      publication: Version of the result's publication.
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
