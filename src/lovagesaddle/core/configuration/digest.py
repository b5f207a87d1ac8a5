"""Digest of a snapshot that a delta updates at the cost of its own size.

The digest is the sum, modulo 2**128, of one BLAKE2b hash for each item, where
each route of a service is an item of its own. An item that changes is
subtracted and added again, so checking a delta costs the delta and neither the
fleet nor the other routes. It guards against lost, crossed and damaged updates;
forged updates are kept out by the encrypted links.
"""

import dataclasses
import hashlib

import msgspec

from lovagesaddle.core.configuration import service_changes
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots

DIGEST_BYTES = 16
_MODULUS = 1 << (8 * DIGEST_BYTES)
_ENCODER = msgspec.msgpack.Encoder()

Item = (
    services.Service
    | snapshots.Node
    | snapshots.BackendServer
    | snapshots.Shard
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accumulator:
    """Running sum of item hashes.

    Attributes:
      total: Sum modulo 2**128.
    """

    total: int = 0

    def add(self, item: Item) -> "Accumulator":
        """Returns the sum with one more item."""
        return Accumulator((self.total + hash_item(item)) % _MODULUS)

    def remove(self, item: Item) -> "Accumulator":
        """Returns the sum without an item that was added before."""
        return Accumulator((self.total - hash_item(item)) % _MODULUS)

    def replace_service(
        self, old: services.Service, new: services.Service
    ) -> "Accumulator":
        """Returns the sum with another state of a service."""
        change = _hash_head(new) - _hash_head(old)
        for each in service_changes.list_route_changes(old, new):
            if each.old is not None:
                change -= _hash_route(old.name, each.old)
            if each.new is not None:
                change += _hash_route(new.name, each.new)
        return Accumulator((self.total + change) % _MODULUS)

    def replace_limits(
        self,
        old: services.CallerLimits | None,
        new: services.CallerLimits | None,
    ) -> "Accumulator":
        """Returns the sum with other limits on callers."""
        change = hash_limits(new) - hash_limits(old)
        return Accumulator((self.total + change) % _MODULUS)

    def to_bytes(self) -> bytes:
        """Returns the digest, `DIGEST_BYTES` long."""
        return self.total.to_bytes(DIGEST_BYTES, "big")


def hash_limits(limits: services.CallerLimits | None) -> int:
    """Returns the hash of the limits on callers; 0 for none."""
    return 0 if limits is None else _hash(limits)


def hash_item(item: Item) -> int:
    """Returns the hash of one item, which covers its class and content."""
    if isinstance(item, services.Service):
        return _hash_head(item) + sum(
            _hash_route(item.name, route) for route in item.routes
        )
    return _hash(item)


def _hash_head(service: services.Service) -> int:
    return _hash(service_changes.strip_routes(service))


def _hash_route(service: str, route: services.Route) -> int:
    return _hash(route, service.encode())


def _hash(
    item: Item | services.Route | services.CallerLimits, owner: bytes = b""
) -> int:
    data = type(item).__name__.encode() + owner + _ENCODER.encode(item)
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )


def accumulate(snapshot: snapshots.Snapshot) -> Accumulator:
    """Returns the sum over all items of a snapshot."""
    groups: tuple[tuple[Item, ...], ...] = (
        snapshot.services,
        snapshot.nodes,
        snapshot.servers,
        snapshot.shards,
    )
    total = sum(hash_item(item) for group in groups for item in group)
    return Accumulator((total + hash_limits(snapshot.limits)) % _MODULUS)
