"""Settings of the programs, as frozen data with their bounds."""

import dataclasses
from typing import Annotated, Literal

import msgspec

from lovagesaddle.core.configuration import units

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Identifier = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
PositiveSeconds = Annotated[
    float, msgspec.Meta(gt=0, le=3600, extra={"unit": units.Unit.DURATION})
]
Size = Annotated[int, msgspec.Meta(ge=0, extra={"unit": units.Unit.SIZE})]
ControlAddress = Annotated[
    str, msgspec.Meta(pattern=r"^tcp://[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$")
]
HttpAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$")
]
PublicKey = Annotated[str, msgspec.Meta(pattern=r"^(\S{40})?$")]
HttpAddresses = Annotated[
    tuple[HttpAddress, ...],
    msgspec.Meta(extra={"unit": units.Unit.WORDS}),
]
Switch = Annotated[bool, msgspec.Meta(extra={"unit": units.Unit.SWITCH})]
OptionalAddress = Annotated[
    str, msgspec.Meta(pattern=r"^([0-9]+(\.[0-9]+){3}:[0-9]{1,5})?$")
]
OptionalIdentifier = Annotated[
    str, msgspec.Meta(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?$")
]
NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
LogLevel = Literal["debug", "info", "warning", "error"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaAddress:
    """A replica that a process connects to at first.

    Attributes:
      replica_id: Its name.
      address: `tcp://ip:port`.
      public_key: CurveZMQ public key, Z85; empty when links are plain.
    """

    replica_id: Identifier
    address: ControlAddress
    public_key: PublicKey = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySettings:
    """CurveZMQ keys of a process.

    Attributes:
      secret_key_file: File with the process's own key pair; empty for links
        without encryption, which is for trials on one machine only.
      allowed_keys_file: File with the public keys that may connect, one a
        line.
    """

    secret_key_file: str = ""
    allowed_keys_file: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Where and how much a program logs.

    Attributes:
      level: "debug", "info", "warning" or "error".
      file: Path; empty for standard error, "-" for standard output.
      served_lines: Lines a second about requests that were served; 0 for all.
      failed_lines: Lines a second about requests that failed; 0 for all.
    """

    level: LogLevel = "info"
    file: str = ""
    served_lines: Annotated[int, msgspec.Meta(ge=0)] = 0
    failed_lines: Annotated[int, msgspec.Meta(ge=0)] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of lovagesaddle-control.

    Attributes:
      replica_id: Name of this replica.
      address: `tcp://ip:port` that it binds.
      failure_domain: Where it runs.
      data_folder: Folder for the log and the snapshots.
      cluster_id: Identity that the first start founds the cluster with.
      replicas: The founding replicas, this one among them.
      keys: Keys of its links.
      log: Logging.
      election_timeout_s: Silence of the leader before a pre-vote.
      heartbeat_s: Time between heartbeats to the nodes.
      lease_s: Lifetime of a node's lease without a heartbeat.
      expiry_share: Largest share of a failure domain to expire at once.
      tolerated_losses: Replicas that may be lost at a time. The leader keeps
        enough of them by itself; 0 leaves all changes to operators.
      claims: Whether nodes are assigned to hold claims on Idempotency-Keys;
        the same at every replica and node.
      seeds: `ip:port` of processes on VMs that run founding replicas. Only
        the IPs count: a seed's replica bears its IP as a name and listens at
        the port of `address`.
    """

    replica_id: Identifier
    address: ControlAddress
    failure_domain: Identifier
    data_folder: NonEmpty
    cluster_id: Identifier
    replicas: tuple[ReplicaAddress, ...]
    keys: KeySettings = KeySettings()
    log: LogSettings = LogSettings()
    election_timeout_s: PositiveSeconds = 0.5
    heartbeat_s: PositiveSeconds = 1.0
    lease_s: PositiveSeconds = 6.0
    expiry_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.34
    claims: Switch = True
    tolerated_losses: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    seeds: HttpAddresses = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of lovagesaddle-node.

    Attributes:
      node_id: Name of this node.
      failure_domain: Where it runs.
      region: Region of the failure domain.
      http_address: `ip:port` for callers and other nodes.
      admin_address: `ip:port` for the local backend server's announcements,
        /metrics and /healthz.
      control_address: `tcp://ip:port` that the control thread binds.
      cluster_id: Identity of the cluster to follow.
      replicas: Replicas to join through.
      keys: Keys of its links.
      log: Logging.
      heartbeat_s: Time between heartbeats.
      max_body_bytes: Largest request body that is read.
      memory_bytes: Memory of the process; an eighth of it is for the answers
        that are read at a time.
      threads: Threads that answer callers.
      mesh_secret_file: File with the secret that all nodes share; empty for
        trials on one machine only.
      drain_s: Longest time that a stop waits for requests in progress.
      seeds: `ip:port` of processes on VMs that run replicas. Only the IPs
        count: a seed's replica bears its IP as a name and listens at the port
        of `control_address`.
      service: Service of the backend server on this VM, told to other
        servers with each request that begins here; empty when unknown.
      server_address: `ip:port` where that server answers HTTP; it is asked
        who it is when the node starts. Empty to wait for its announcement.
      hop_address: `ip:port` for other nodes; empty to take them at
        `http_address`.
      claims: Whether an Idempotency-Key is claimed; else the header is passed
        on to the backend server as any other.
      probe: Whether local servers are probed; no where they send beats.
      unframed_answers: Whether a server's answer may end with its connection.
      retry_share: Retries allowed to a service, as a share of its calls.
      retry_reserve: Retries beyond the share that all nodes together may
        make; 0 for a bound of each node's own.
      link_mbps: Rate of the VM's own link, in megabits a second; 0 if unknown,
        then bodies travel whole whatever their size.
    """

    node_id: Identifier
    failure_domain: Identifier
    region: Identifier
    http_address: HttpAddress
    admin_address: HttpAddress
    control_address: ControlAddress
    cluster_id: Identifier
    replicas: tuple[ReplicaAddress, ...]
    keys: KeySettings = KeySettings()
    log: LogSettings = LogSettings()
    heartbeat_s: PositiveSeconds = 1.0
    max_body_bytes: Size = 16 * 1024 * 1024
    memory_bytes: Size = 1024 * 1024 * 1024
    threads: Annotated[int, msgspec.Meta(ge=1, le=512)] = 32
    mesh_secret_file: str = ""
    drain_s: PositiveSeconds = 30.0
    seeds: HttpAddresses = ()
    service: OptionalIdentifier = ""
    server_address: OptionalAddress = ""
    hop_address: OptionalAddress = ""
    claims: Switch = True
    probe: Switch = True
    unframed_answers: Switch = False
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    retry_reserve: Annotated[int, msgspec.Meta(ge=0)] = 0
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the command line.

    Attributes:
      replicas: Replicas to ask, in any order.
      operator: Name that the history shows.
      keys: Keys of its links.
      timeout_s: Time to wait for one answer.
    """

    replicas: tuple[ReplicaAddress, ...]
    operator: Identifier
    keys: KeySettings = KeySettings()
    timeout_s: PositiveSeconds = 10.0
