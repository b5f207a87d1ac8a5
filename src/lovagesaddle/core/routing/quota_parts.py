"""Which nodes hold the parts of each account's quota.

Every failure domain has the same number of holders of an account, so that
entries ask in their own domain. The holders follow from the nodes of the
snapshot alone (rendezvous hashing): a node that joins or leaves moves only the
parts that it gets or had, and accounts that are new need no agreement.
"""

from collections.abc import Iterable
import hashlib

from lovagesaddle.core.model import snapshots

# With six parts, an account that sends 0.6 of its quota gets along without
# two of them.
PARTS = 6
SCORE_BYTES = 8
# Scores and node IDs of the holders of one failure domain, lowest first.
_Ranking = list[tuple[bytes, str]]


class PartMap:
    """The holders of all accounts by one list of nodes.

    Args:
      nodes: Nodes of a snapshot.
      previous: Map of the snapshot before; what it computed is kept where it
        still holds.
    """

    def __init__(
        self,
        nodes: Iterable[snapshots.Node],
        previous: "PartMap | None" = None,
    ) -> None:
        self.domain_of = {node.node_id: node.failure_domain for node in nodes}
        self._domains: dict[str, list[str]] = {}
        for node_id, domain in sorted(self.domain_of.items()):
            self._domains.setdefault(domain, []).append(node_id)
        self._per_domain = max(1, PARTS // max(1, len(self._domains)))
        self._ranked: dict[str, dict[str, _Ranking]] = {}
        self._holders: dict[str, tuple[str, ...]] = {}
        if previous is not None:
            self._take_over(previous)

    def has_same_nodes(self, nodes: Iterable[snapshots.Node]) -> bool:
        """Returns whether the holders are the same by another list."""
        other = {node.node_id: node.failure_domain for node in nodes}
        return other == self.domain_of

    def find_holders(self, account: str) -> tuple[str, ...]:
        """Returns the nodes that hold one equal part of a quota each."""
        known = self._holders.get(account)
        if known is None:
            ranked = {
                domain: sorted(
                    (compute_score(account, node_id), node_id)
                    for node_id in members
                )[-self._per_domain :]
                for domain, members in self._domains.items()
            }
            known = self._keep(account, ranked)
        return known

    def compute_share(self, account: str, node_id: str) -> float:
        """Returns the share of a quota that a node holds; 0 for none."""
        holders = self.find_holders(account)
        return 1 / len(holders) if node_id in holders else 0.0

    def _keep(
        self, account: str, ranked: dict[str, _Ranking]
    ) -> tuple[str, ...]:
        self._ranked[account] = ranked
        self._holders[account] = tuple(
            node_id for ranking in ranked.values() for _, node_id in ranking
        )
        return self._holders[account]

    def _take_over(self, previous: "PartMap") -> None:
        """Keeps rankings in which no holder left, and adds new nodes."""
        if list(previous._domains) != list(self._domains):
            return
        added = [
            (node_id, domain)
            for node_id, domain in self.domain_of.items()
            if previous.domain_of.get(node_id) != domain
        ]
        for account, held in previous._holders.items():
            if any(
                self.domain_of.get(node_id) != previous.domain_of[node_id]
                for node_id in held
            ):
                continue
            ranked = previous._ranked[account]
            for node_id, domain in added:
                entry = (compute_score(account, node_id), node_id)
                ranking = ranked[domain]
                if len(ranking) < self._per_domain or entry > ranking[0]:
                    merged = sorted((*ranking, entry))[-self._per_domain :]
                    ranked = {**ranked, domain: merged}
            self._keep(account, ranked)


def compute_score(account: str, node_id: str) -> bytes:
    """Returns the score by which nodes are ranked for an account."""
    return hashlib.blake2b(
        f"{account}\0{node_id}".encode(), digest_size=SCORE_BYTES
    ).digest()
