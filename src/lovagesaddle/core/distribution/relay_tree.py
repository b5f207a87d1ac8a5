"""Who relays to whom: one tree for each failure domain.

Nodes of a failure domain are ranked by a hash of their ID and cut into
levels, each `FAN_OUT` times as large as the one above. A node draws its
parents from the level above by rendezvous hashing, so a node that joins or
leaves moves few others. The first level hangs on the replicas.
"""

from collections.abc import Sequence
import dataclasses
import hashlib

from lovagesaddle.core.model import peers
from lovagesaddle.core.model import snapshots

ROOT_COUNT = 8
FAN_OUT = 4
SPARE_PARENTS = 3
SPARE_REMOTES = 2
HASH_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParentPlan:
    """Parents of one node, best first.

    Attributes:
      eager: Candidates that push deltas.
      lazy: Candidates that send beats only; the first ones lie in another
        branch than the first eager one where there is one.
    """

    eager: tuple[peers.Peer, ...]
    lazy: tuple[peers.Peer, ...]


class RelayTree:
    """The tree of one failure domain at one version.

    Args:
      nodes: Every node of the failure domain.
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
        """The nodes that hang on the replicas."""
        return tuple(self._levels[0]) if self._levels else ()

    def get_depth(self, node_id: str) -> int:
        """Returns the level of a node, 0 for a root."""
        return self._level_of[node_id]

    def rank_parents(self, node_id: str) -> tuple[snapshots.Node, ...]:
        """Returns the level above a node, best first; empty for a root."""
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
        """Returns the root of the branch that a node lies in."""
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
    """Returns the candidates for the parents of a node.

    Args:
      snapshot: Whose nodes form the tree.
      node_id: The node; one that is absent hangs on the replicas.
      failure_domain: Where it runs.
      replicas: Every replica that is known.
    """
    domain = [n for n in snapshot.nodes if n.failure_domain == failure_domain]
    tree = RelayTree(domain)
    sources = tuple(
        sorted(replicas, key=lambda peer: _score(failure_domain, peer.peer_id))
    )
    roots = [root.node_id for root in tree.roots]
    if node_id in roots:
        turn = roots.index(node_id) % max(1, len(sources))
        turned = sources[turn:] + sources[:turn]
        spares = _list_remotes(snapshot, node_id, failure_domain)
        return ParentPlan(
            eager=turned + spares, lazy=turned[1:] + turned[:1] + spares
        )
    if node_id not in {node.node_id for node in domain}:
        return ParentPlan(eager=sources, lazy=sources[1:] + sources[:1])
    turn = int.from_bytes(_score(node_id, "replica")) % max(1, len(sources))
    last = sources[turn:] + sources[:turn]
    last += _list_remotes(snapshot, node_id, failure_domain)
    return _plan_below_roots(tree, node_id, last)


def _plan_below_roots(
    tree: RelayTree, node_id: str, last: tuple[peers.Peer, ...]
) -> ParentPlan:
    ranked = tree.rank_parents(node_id)
    branch = tree.find_root(ranked[0].node_id)
    others = [
        node
        for node in ranked[1 : 1 + SPARE_PARENTS * ROOT_COUNT]
        if tree.find_root(node.node_id) != branch
    ][:1]
    rest = [node for node in ranked[1:] if node not in others]
    lazy = (*others, *rest[:SPARE_PARENTS])
    eager = (ranked[0], *rest[:SPARE_PARENTS], *others)
    return ParentPlan(
        eager=tuple(make_peer(node) for node in eager) + last,
        lazy=tuple(make_peer(node) for node in lazy) + last,
    )


def _list_remotes(
    snapshot: snapshots.Snapshot, node_id: str, failure_domain: str
) -> tuple[peers.Peer, ...]:
    remote = [n for n in snapshot.nodes if n.failure_domain != failure_domain]
    remote.sort(key=lambda node: _score(node_id, node.node_id))
    return tuple(make_peer(node) for node in remote[:SPARE_REMOTES])


def make_peer(node: snapshots.Node) -> peers.Peer:
    """Returns what it takes to connect to a node."""
    return peers.Peer(
        peer_id=node.node_id,
        address=node.control_address,
        public_key=node.public_key,
    )


def _score(first: str, second: str) -> bytes:
    text = f"{first}/{second}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
