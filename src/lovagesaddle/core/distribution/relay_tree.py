"""Relay trees, one for each failure domain.

The nodes of a failure domain are ranked by a hash of their ID and divided into
levels, each `FAN_OUT` times as large as the one above. A node selects its
parents from the level above by rendezvous hashing, so that a joining or
leaving node changes the parents of few others. The nodes of the first level,
the roots, have the replicas as parents.

The lazy parent of every node is a replica. Deltas are relayed, but what proves
that a version is the newest does not depend on other nodes.
"""

from collections.abc import Sequence
import dataclasses
import hashlib

from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

ROOT_COUNT = 8
FAN_OUT = 4
# Number of candidates from the level above that follow the best candidate.
SPARE_PARENTS = 3
# Number of candidates from other failure domains, which follow all candidates
# of the own failure domain.
REMOTE_PARENTS = 2
HASH_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentPlan:
    """Candidates for the parents of one node, best first.

    Attributes:
      eager: Candidates for the parent that pushes deltas.
      lazy: Candidates for the parent that sends heartbeats only; replicas
        first, then nodes of other branches than the first eager candidate.
    """

    eager: tuple[peers.Peer, ...]
    lazy: tuple[peers.Peer, ...]


class RelayTree:
    """The relay tree of one failure domain at one version.

    Args:
      nodes: All nodes of the failure domain.
    """

    def __init__(self, nodes: Sequence[snapshots.Node]) -> None:
        ranked = sorted(nodes, key=lambda node: _score(node.node_id, ""))
        self._levels: list[list[snapshots.Node]] = []
        size = ROOT_COUNT
        while ranked:
            self._levels.append(ranked[:size])
            ranked = ranked[size:]
            size *= FAN_OUT
        self._level_of = {
            node.node_id: depth
            for depth, level in enumerate(self._levels)
            for node in level
        }

    @property
    def roots(self) -> tuple[snapshots.Node, ...]:
        """The nodes whose parents are replicas."""
        return tuple(self._levels[0]) if self._levels else ()

    def get_depth(self, node_id: str) -> int:
        """Returns the level of a node; 0 for a root."""
        return self._level_of[node_id]

    def rank_parents(self, node_id: str) -> tuple[snapshots.Node, ...]:
        """Returns the nodes of the level above, best first; () for a root."""
        depth = self._level_of[node_id]
        if depth == 0:
            return ()
        return tuple(
            sorted(
                self._levels[depth - 1],
                key=lambda node: _score(node_id, node.node_id),
            )
        )

    def find_root(self, node_id: str) -> str:
        """Returns the ID of the root of the branch that a node belongs to."""
        for depth in range(self._level_of[node_id], 0, -1):
            above = self._levels[depth - 1]
            scores = [(_score(node_id, n.node_id), n.node_id) for n in above]
            node_id = min(scores)[1]
        return node_id


def plan_parents(
    snapshot: snapshots.Snapshot,
    node_id: str,
    failure_domain: str,
    replicas: tuple[peers.Peer, ...],
) -> ParentPlan:
    """Computes the candidates for the parents of a node.

    Args:
      snapshot: Snapshot whose nodes form the tree.
      node_id: ID of the node; one that is absent from the snapshot gets the
        replicas as parents.
      failure_domain: Failure domain of the node.
      replicas: All known replicas.
    """
    domain = [n for n in snapshot.nodes if n.failure_domain == failure_domain]
    tree = RelayTree(domain)
    ranked = tuple(
        sorted(replicas, key=lambda peer: _score(failure_domain, peer.peer_id))
    )
    root_ids = [root.node_id for root in tree.roots]
    if node_id in root_ids:
        turn = root_ids.index(node_id) % max(1, len(ranked))
        rotated = ranked[turn:] + ranked[:turn]
        remotes = _list_remotes(snapshot, node_id, failure_domain)
        return ParentPlan(
            eager=rotated + remotes, lazy=rotated[1:] + rotated[:1] + remotes
        )
    if node_id not in {node.node_id for node in domain}:
        return ParentPlan(eager=ranked, lazy=ranked[1:] + ranked[:1])
    turn = int.from_bytes(_score(node_id, "replica")) % max(1, len(ranked))
    rotated = ranked[turn:] + ranked[:turn]
    remotes = _list_remotes(snapshot, node_id, failure_domain)
    return _plan_below_roots(tree, node_id, rotated, remotes)


def _plan_below_roots(
    tree: RelayTree,
    node_id: str,
    replicas: tuple[peers.Peer, ...],
    remotes: tuple[peers.Peer, ...],
) -> ParentPlan:
    ranked = tree.rank_parents(node_id)
    branch = tree.find_root(ranked[0].node_id)
    other_branch = [
        node
        for node in ranked[1 : 1 + SPARE_PARENTS * ROOT_COUNT]
        if tree.find_root(node.node_id) != branch
    ][:1]
    rest = [node for node in ranked[1:] if node not in other_branch]
    lazy = (*other_branch, *rest[:SPARE_PARENTS])
    eager = (ranked[0], *rest[:SPARE_PARENTS], *other_branch)
    return ParentPlan(
        eager=tuple(make_peer(node) for node in eager) + replicas + remotes,
        lazy=replicas + tuple(make_peer(node) for node in lazy) + remotes,
    )


def _list_remotes(
    snapshot: snapshots.Snapshot, node_id: str, failure_domain: str
) -> tuple[peers.Peer, ...]:
    remote = [n for n in snapshot.nodes if n.failure_domain != failure_domain]
    remote.sort(key=lambda node: _score(node_id, node.node_id))
    return tuple(make_peer(node) for node in remote[:REMOTE_PARENTS])


def make_peer(node: snapshots.Node) -> peers.Peer:
    """Returns the ID, address and public key to connect to a node with."""
    return peers.Peer(
        peer_id=node.node_id,
        address=node.control_address,
        public_key=node.public_key,
    )


def _score(first: str, second: str) -> bytes:
    text = f"{first}/{second}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
