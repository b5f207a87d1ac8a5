"""Leases of nodes: who was heard, what it holds, and who has expired."""

from collections.abc import Iterable
import dataclasses

from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import tokens
from lovagesaddle.core.model import snapshots

SUSPECT_LEASE_SHARE = 0.5
RECENT_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SweepResult:
    """Who may be expired now, and where expiry is held back.

    Attributes:
      expired: Nodes whose lease lapsed.
      held_domains: Failure domains with too many silent nodes at once.
    """

    expired: tuple[snapshots.Node, ...]
    blocked_domains: tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """What is known of one node.

    Attributes:
      node: The node.
      heard_at: When a report named it last.
      version: Newest version it reported; 0 before the first report.
      is_expiring: Whether its expiry was asked for.
    """

    node: snapshots.Node
    renewed_at: float
    version: int = 0
    is_expiring: bool = False


class Leases:
    """Keeps one lease for each node of the snapshot.

    Args:
      lease_s: Lifetime of a lease that is not renewed, in seconds.
      expiry_share: Largest share of a failure domain to expire at once.
    """

    def __init__(self, *, lease_s: float, expiry_share: float) -> None:
        self._lease_s = lease_s
        self._expiry_share = expiry_share
        self._leases: dict[bytes, Lease] = {}
        self._recent: dict[str, list[float]] = {}

    def set_nodes(self, nodes: Iterable[snapshots.Node], now: float) -> None:
        """Takes the nodes of a new version; new ones get a fresh lease."""
        kept: dict[bytes, Lease] = {}
        for node in nodes:
            token = tokens.make_token(node.node_id, node.incarnation)
            lease = self._leases.get(token)
            if lease is None:
                lease = Lease(node=node, renewed_at=now)
            lease.node = node
            kept[token] = lease
        self._leases = kept

    def renew_all(self, now: float) -> None:
        """Starts every lease anew, for a new leader."""
        for lease in self._leases.values():
            lease.renewed_at = now
            lease.is_expiring = False

    def record_acks(
        self, groups: tuple[messages.AckGroup, ...], now: float
    ) -> None:
        """Takes a report; tokens of past lives change nothing."""
        for group in groups:
            for token in tokens.split_tokens(group.tokens):
                lease = self._leases.get(token)
                if lease is not None:
                    lease.renewed_at = now
                    lease.is_expiring = False
                    lease.version = max(lease.version, group.version)

    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes that did not report `version` yet, sorted."""
        return tuple(
            sorted(
                lease.node.node_id
                for lease in self._leases.values()
                if lease.version < version
            )
        )

    def get_lowest_acked_version(self) -> int | None:
        """Returns the lowest reported version; None without any report."""
        reported = [
            lease.version for lease in self._leases.values() if lease.version
        ]
        return min(reported, default=None)

    def list_renewed(self, since: float) -> tuple[snapshots.Node, ...]:
        """Returns the nodes that reported a version and were heard since."""
        return tuple(
            lease.node
            for lease in self._leases.values()
            if lease.version and lease.renewed_at >= since
        )

    def make_ack_groups(self) -> tuple[messages.AckGroup, ...]:
        """Returns what is known of every node that reported."""
        return acks.merge(
            (messages.AckGroup(version=lease.version, tokens=token),)
            for token, lease in self._leases.items()
            if lease.version
        )

    def sweep(self, now: float) -> SweepResult:
        """Returns the nodes to expire, within the cap of each domain.

        Nodes that are silent for half a lease count to the share already,
        so that the first ones to lapse in a partition are held back too.
        """
        expired: list[snapshots.Node] = []
        held: list[str] = []
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
                held.append(domain)
        return SweepResult(
            expired=tuple(expired), blocked_domains=tuple(sorted(held))
        )

    def _expire(
        self, lapsed: list[Lease], domain: str, now: float
    ) -> list[snapshots.Node]:
        for lease in lapsed:
            if not lease.is_expiring:
                lease.is_expiring = True
                self._recent[domain].append(now)
        return [lease.node for lease in lapsed]

    def _group_domains(self) -> dict[str, list[Lease]]:
        domains: dict[str, list[Lease]] = {}
        for lease in self._leases.values():
            domains.setdefault(lease.node.failure_domain, []).append(lease)
        return domains

    def _is_allowed(self, domain: str, leases: list[Lease], now: float) -> bool:
        recent = [
            at
            for at in self._recent.get(domain, ())
            if now - at < RECENT_EXPIRY_S
        ]
        self._recent[domain] = recent
        suspect_s = self._lease_s * SUSPECT_LEASE_SHARE
        present = [lease for lease in leases if not lease.is_expiring]
        silent = sum(now - lease.renewed_at > suspect_s for lease in present)
        size = len(present) + len(recent)
        allowed = max(1, int(size * self._expiry_share))
        return silent + len(recent) <= allowed
