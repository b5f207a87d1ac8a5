"""Leases of nodes: last ack, reported version and expiry of each node."""

from collections.abc import Iterable
import dataclasses

from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import tokens
from lovagesaddle.core.model import snapshots

# Share of a lease after which a node without an ack counts as unresponsive.
SUSPECT_LEASE_SHARE = 0.5
# An expiry counts against the cap of its failure domain for this time, so that
# failures some seconds apart are capped together.
RECENT_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SweepResult:
    """Result of a check for lapsed leases.

    Attributes:
      expired: Nodes to expire, since their lease lapsed.
      blocked_domains: Failure domains in which no node is expired, since too
        many of their nodes are unresponsive at once; sorted.
    """

    expired: tuple[snapshots.Node, ...]
    blocked_domains: tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """Lease and reported version of one node.

    Attributes:
      node: The node.
      renewed_at: Monotonic time of the last renewal, in seconds.
      version: Newest version that it acked; 0 before the first ack.
      is_expiring: Whether its expiry was requested since the last renewal.
    """

    node: snapshots.Node
    renewed_at: float
    version: int = 0
    is_expiring: bool = False


class Leases:
    """Manages one lease for each node of the snapshot.

    Args:
      lease_s: Time until a lease that is not renewed lapses, in seconds.
      expiry_share: Largest share of the nodes of a failure domain to expire
        at once; a cap below one node counts as one.
    """

    def __init__(self, *, lease_s: float, expiry_share: float) -> None:
        self._lease_s = lease_s
        self._expiry_share = expiry_share
        self._leases: dict[bytes, Lease] = {}
        self._expired_at: dict[str, list[float]] = {}

    def set_nodes(self, nodes: Iterable[snapshots.Node], now: float) -> None:
        """Replaces the set of nodes; each new node gets a full lease."""
        current: dict[bytes, Lease] = {}
        for node in nodes:
            token = tokens.make_token(node.node_id, node.incarnation)
            lease = self._leases.get(token)
            if lease is None:
                lease = Lease(node=node, renewed_at=now)
            lease.node = node
            current[token] = lease
        self._leases = current

    def renew_all(self, now: float) -> None:
        """Renews every lease, when this replica starts or stops leading."""
        for lease in self._leases.values():
            lease.renewed_at = now
            lease.is_expiring = False

    def record_acks(
        self, groups: tuple[messages.AckGroup, ...], now: float
    ) -> None:
        """Renews the leases of the nodes that a report names.

        Tokens of earlier incarnations of a node are ignored.
        """
        for group in groups:
            for token in tokens.split_tokens(group.tokens):
                lease = self._leases.get(token)
                if lease is not None:
                    lease.renewed_at = now
                    lease.is_expiring = False
                    lease.version = max(lease.version, group.version)

    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes that did not ack `version` yet, sorted."""
        return tuple(
            sorted(
                lease.node.node_id
                for lease in self._leases.values()
                if lease.version < version
            )
        )

    def get_lowest_acked_version(self) -> int | None:
        """Returns the lowest acked version; None if no node acked any."""
        reported = [
            lease.version for lease in self._leases.values() if lease.version
        ]
        return min(reported, default=None)

    def list_renewed(self, since: float) -> tuple[snapshots.Node, ...]:
        """Returns the nodes that acked a version and renewed since `since`."""
        return tuple(
            lease.node
            for lease in self._leases.values()
            if lease.version and lease.renewed_at >= since
        )

    def make_ack_groups(self) -> tuple[messages.AckGroup, ...]:
        """Returns the newest ack of every node, grouped by version."""
        return acks.merge(
            (messages.AckGroup(version=lease.version, tokens=token),)
            for token, lease in self._leases.items()
            if lease.version
        )

    def sweep(self, now: float) -> SweepResult:
        """Returns the nodes to expire, within the cap of each domain.

        Nodes without an ack for half a lease already count against the cap, so
        that in a partition the first ones to lapse are not expired either.
        """
        expired: list[snapshots.Node] = []
        blocked: list[str] = []
        for domain, leases in self._group_domains().items():
            lapsed = [
                lease
                for lease in leases
                if now - lease.renewed_at > self._lease_s
            ]
            if not lapsed:
                continue
            if self._is_allowed(domain, leases, now):
                expired.extend(self._expire(lapsed, domain, now))
            else:
                blocked.append(domain)
        return SweepResult(
            expired=tuple(expired), blocked_domains=tuple(sorted(blocked))
        )

    def _expire(
        self, lapsed: list[Lease], domain: str, now: float
    ) -> list[snapshots.Node]:
        for lease in lapsed:
            if not lease.is_expiring:
                lease.is_expiring = True
                self._expired_at[domain].append(now)
        return [lease.node for lease in lapsed]

    def _group_domains(self) -> dict[str, list[Lease]]:
        domains: dict[str, list[Lease]] = {}
        for lease in self._leases.values():
            domains.setdefault(lease.node.failure_domain, []).append(lease)
        return domains

    def _is_allowed(self, domain: str, leases: list[Lease], now: float) -> bool:
        recent = [
            at
            for at in self._expired_at.get(domain, ())
            if now - at < RECENT_EXPIRY_S
        ]
        self._expired_at[domain] = recent
        suspect_s = self._lease_s * SUSPECT_LEASE_SHARE
        present = [lease for lease in leases if not lease.is_expiring]
        unresponsive = sum(
            now - lease.renewed_at > suspect_s for lease in present
        )
        size = len(present) + len(recent)
        allowed = max(1, int(size * self._expiry_share))
        return unresponsive + len(recent) <= allowed
