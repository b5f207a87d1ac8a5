"""Backend servers that an entry may pick, by one snapshot."""

from collections.abc import Mapping
import dataclasses

from lovagesaddle.core.model import entry_checks
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import software_versions


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A serving backend server that the balancer may pick.

    Attributes:
      server_id: `<node_id>/<service>`.
      incarnation: Incarnation of the backend server.
      node_id: Node that owns the backend server.
      failure_domain: Failure domain of the owner.
      http_address: `ip:port` of the owner.
      slots: Requests that the backend server runs at a time.
      is_warm: Whether the backend server gets its full share of requests at
        once, without a slow start.
      is_incoming: Whether the backend server is of a version that is being
        rolled out, and gets only that version's share.
    """

    server_id: str
    incarnation: int
    node_id: str
    failure_domain: str
    http_address: str
    slots: int
    is_warm: bool = False
    is_incoming: bool = False


def compile_candidates(
    snapshot: snapshots.Snapshot,
    rollouts: Mapping[str, snapshots.Rollout],
) -> dict[str, tuple[Candidate, ...]]:
    """Returns the servers of each service that may be picked, by server ID.

    Args:
      snapshot: State with the nodes and servers.
      rollouts: Newest roll-out of each service.
    """
    nodes = {node.node_id: node for node in snapshot.nodes}
    found: dict[str, list[Candidate]] = {}
    for server in snapshot.servers:
        node = nodes.get(server.node_id)
        if node is None or server.state is not snapshots.ServerState.SERVING:
            continue
        if _has_flaw(node, server):
            continue
        rollout = rollouts.get(server.service)
        software = server.software or ""
        if not software_versions.may_run(rollout, software):
            continue
        found.setdefault(server.service, []).append(
            Candidate(
                server_id=server.server_id,
                incarnation=server.incarnation,
                node_id=server.node_id,
                failure_domain=node.failure_domain,
                http_address=node.http_address,
                slots=server.slots,
                is_warm=server.is_warm,
                is_incoming=software_versions.is_on_trial(rollout, software),
            )
        )
    return {
        service: _keep_tried(tuple(servers), rollouts.get(service))
        for service, servers in found.items()
    }


def _keep_tried(
    servers: tuple[Candidate, ...], rollout: snapshots.Rollout | None
) -> tuple[Candidate, ...]:
    """Returns the servers without those of a new version that get nothing."""
    incoming = [server for server in servers if server.is_incoming]
    if rollout is None or not incoming:
        return servers
    tried = software_versions.select_tried(
        [
            (each.server_id, each.failure_domain, each.slots, each.is_warm)
            for each in incoming
        ],
        sum(each.slots for each in servers if not each.is_incoming),
        rollout.weight,
    )
    return tuple(
        each
        for each in servers
        if not each.is_incoming or each.server_id in tried
    )


def _has_flaw(node: snapshots.Node, server: snapshots.BackendServer) -> bool:
    """Returns whether an entry that another release listed can't be used."""
    return bool(
        entry_checks.find_node_flaw(node)
        or entry_checks.find_server_flaw(server)
    )
