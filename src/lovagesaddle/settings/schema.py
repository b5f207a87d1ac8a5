"""Settings of the programs as frozen dataclasses with validated bounds."""

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
# 0 stands for none.
OptionalSeconds = Annotated[
    float, msgspec.Meta(ge=0, le=3600, extra={"unit": units.Unit.DURATION})
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
EXPECTED_TIME: Literal["expected-time"] = "expected-time"
Placement = Literal["usual", "expected-time"]
LogLevel = Literal["debug", "info", "warning", "error"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaAddress:
    """Holds the address of a replica that a process first connects to.

    Attributes:
      replica_id: Name of the replica.
      address: `tcp://ip:port`.
      public_key: CurveZMQ public key in Z85; empty for links without
        encryption.
    """

    replica_id: Identifier
    address: ControlAddress
    public_key: PublicKey = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySettings:
    """Holds the paths of the CurveZMQ keys of a process.

    Attributes:
      secret_key_file: File with the process's own key pair; empty for links
        without encryption, which is for trials on one machine only.
      allowed_keys_file: File with the public keys that may connect, one per
        line.
    """

    secret_key_file: str = ""
    allowed_keys_file: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Holds where and how much a program logs.

    Attributes:
      level: "debug", "info", "warning" or "error".
      file: Path; empty for standard error, "-" for standard output.
      served_lines: Lines per second about served requests; 0 for all.
      failed_lines: Lines per second about failed requests; 0 for all.
    """

    level: LogLevel = "info"
    file: str = ""
    served_lines: Annotated[int, msgspec.Meta(ge=0)] = 0
    failed_lines: Annotated[int, msgspec.Meta(ge=0)] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Holds the settings of lovagesaddle-control.

    Attributes:
      replica_id: Name of this replica.
      address: `tcp://ip:port` that it binds.
      failure_domain: Failure domain of this replica.
      data_folder: Folder for the replicated log and the snapshots.
      cluster_id: ID that the cluster gets when it is founded.
      replicas: The founding replicas, including this one.
      keys: Keys for its links.
      log: Logging.
      election_timeout_s: Time without a message from the leader, in seconds,
        after which a replica starts a pre-vote.
      heartbeat_s: Time between heartbeats to the nodes, in seconds.
      lease_s: Lifetime of a node's lease without a heartbeat, in seconds.
      expiry_share: Largest share of the nodes of a failure domain whose leases
        may expire at once.
      tolerated_losses: Number of replicas that may fail at the same time. The
        leader maintains the number of replicas that this needs; 0 leaves all
        changes of replicas to operators.
      claims: Whether nodes are assigned to store claims on Idempotency-Keys;
        has to be the same at all replicas and nodes.
      seeds: `ip:port` of processes on VMs that run founding replicas. Only
        the IPs are used: a seed's replica has its IP as name and listens on
        the port of `address`.
      grace_s: Time after SIGTERM at which the process is killed, in seconds.
      exposure_share: Largest share of a service's requests that may reach a
        new version of its software before it is proved.
      rollback_bound_s: Time within which every node stops sending to a bad
        version of a service's software, in seconds; 0 if versions are not
        rolled out. Has to be the same at all replicas and nodes.
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
    grace_s: PositiveSeconds = 10.0
    exposure_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1
    rollback_bound_s: OptionalSeconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Holds the settings of lovagesaddle-node.

    Attributes:
      node_id: Name of this node.
      failure_domain: Failure domain of this node.
      region: Region of the failure domain.
      http_address: `ip:port` for callers and other nodes.
      admin_address: `ip:port` for the local backend server's announcements,
        /metrics and /healthz.
      control_address: `tcp://ip:port` that the node's control thread binds.
      cluster_id: ID of the cluster to join.
      replicas: Replicas to join through.
      keys: Keys for its links.
      log: Logging.
      heartbeat_s: Time between heartbeats, in seconds.
      max_body_bytes: Size limit of request bodies.
      memory_bytes: Memory of the process; an eighth of it is the budget for
        the answers that are being read.
      threads: Number of threads that answer callers.
      mesh_secret_file: File with the secret that all nodes share; empty for
        trials on one machine only.
      grace_s: Time after SIGTERM at which the process is killed, in seconds;
        requests that need longer are refused.
      seeds: `ip:port` of processes on VMs that run replicas. Only the IPs
        are used: a seed's replica has its IP as name and listens on the port
        of `control_address`.
      service: Service of the backend server on this VM; sent to other servers
        with each request that starts here. Empty when unknown.
      server_address: `ip:port` of that server's HTTP listener; a starting node
        asks there for the server's identity. Empty to wait for an announcement.
      hop_address: `ip:port` for other nodes; empty to serve them at
        `http_address`.
      claims: Whether Idempotency-Keys are claimed; otherwise the header is
        forwarded to the backend server like any other.
      probe: Whether local servers are probed; `no` if they send heartbeats.
      unframed_answers: Whether the end of the connection may end a server's
        answer.
      retry_share: Retries allowed to a service, as a share of its calls.
      retry_reserve: Retries beyond the share that all nodes together may
        make; 0 for a separate limit at each node.
      link_mbps: Rate of the VM's link, in megabits per second; 0 if unknown.
        Bodies of any size are then sent in one piece.
      max_table_age_s: Time within which an accepted configuration is in force,
        in seconds. A node whose table may be older gives no final refusal.
      quota_window_s: Length of the windows in which the quotas of client
        accounts hold, in seconds; 0 if quotas are not applied. Has to be the
        same at all nodes.
      quota_overrun: Share by which a quota may be exceeded in a window.
      quota_slack: Requests beyond that which may be admitted in a window.
      withdrawal_bound_s: Time after which a key of a client account that was
        taken away is refused by every node, in touch with control or not, in
        seconds; 0 for no bound. A node whose table may be older than most of
        it takes no key.
      placement: "usual" places requests by expected time only on servers that
        tell how much slower they are now; "expected-time" also on those that
        tell their load without it.
      rollback_bound_s: Time within which every node stops sending to a bad
        version of a service's software, in seconds; 0 if versions are not
        rolled out.
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
    grace_s: PositiveSeconds = 30.0
    seeds: HttpAddresses = ()
    service: OptionalIdentifier = ""
    server_address: OptionalAddress = ""
    hop_address: OptionalAddress = ""
    claims: Switch = True
    probe: Switch = True
    unframed_answers: Switch = False
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    retry_reserve: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_table_age_s: PositiveSeconds = 2.0
    placement: Placement = "usual"
    quota_window_s: OptionalSeconds = 0.0
    quota_overrun: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    withdrawal_bound_s: OptionalSeconds = 0.0
    rollback_bound_s: OptionalSeconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Holds the settings of the command line.

    Attributes:
      replicas: Replicas to ask, in any order.
      operator: Name that is shown in the history.
      keys: Keys for its links.
      timeout_s: Maximum time to wait for one answer, in seconds.
    """

    replicas: tuple[ReplicaAddress, ...]
    operator: Identifier
    keys: KeySettings = KeySettings()
    timeout_s: PositiveSeconds = 10.0
