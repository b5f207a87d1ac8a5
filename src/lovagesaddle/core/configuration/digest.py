"""Computes an additive digest of a snapshot, which deltas can update.

The digest is the sum, modulo 2**128, of one BLAKE2b hash for each item, where
each route of a service is hashed separately. To change an item, its old hash
is subtracted and its new one added. The cost of checking a delta thus depends
on the size of the delta, not on the number of nodes, backend servers or other
routes. The digest detects lost, mixed-up and corrupted updates; it doesn't
detect forged ones, which the encrypted links keep out.
"""

import dataclasses
import hashlib

import msgspec

from lovagesaddle.core.configuration import route_changes
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
    | services.ClientAccount
    | snapshots.Rollout
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accumulator:
    """Running sum of item hashes.

    Attributes:
      total: Sum of the hashes, modulo 2**128.
    """

    total: int = 0

    def add(self, item: Item) -> "Accumulator":
        """Returns the sum after adding an item."""
        return Accumulator((self.total + hash_item(item)) % _MODULUS)

    def remove(self, item: Item) -> "Accumulator":
        """Returns the sum after removing an item that was added before."""
        return Accumulator((self.total - hash_item(item)) % _MODULUS)

    def replace_service(
        self, old: services.Service, new: services.Service
    ) -> "Accumulator":
        """Returns the sum after replacing `old` by `new`."""
        difference = _hash_without_routes(new) - _hash_without_routes(old)
        for change in route_changes.list_route_changes(old, new):
            if change.old is not None:
                difference -= _hash_route(old.name, change.old)
            if change.new is not None:
                difference += _hash_route(new.name, change.new)
        return Accumulator((self.total + difference) % _MODULUS)

    def replace_limits(
        self,
        old: services.CallerLimits | None,
        new: services.CallerLimits | None,
    ) -> "Accumulator":
        """Returns the sum after replacing the limits on callers."""
        difference = hash_limits(new) - hash_limits(old)
        return Accumulator((self.total + difference) % _MODULUS)

    def to_bytes(self) -> bytes:
        """Returns the digest as `DIGEST_BYTES` bytes, big-endian."""
        return self.total.to_bytes(DIGEST_BYTES, "big")


def hash_limits(limits: services.CallerLimits | None) -> int:
    """Returns the hash of the limits on callers; 0 if there are none."""
    return 0 if limits is None else _hash(limits)


def hash_item(item: Item) -> int:
    """Returns the hash of one item, over its class name and content."""
    if isinstance(item, services.Service):
        return _hash_without_routes(item) + sum(
            _hash_route(item.name, route) for route in item.routes
        )
    return _hash(item)


def _hash_without_routes(service: services.Service) -> int:
    return _hash(route_changes.strip_routes(service))


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
    """Returns the sum of the hashes of all items of a snapshot."""
    groups: tuple[tuple[Item, ...], ...] = (
        snapshot.services,
        snapshot.nodes,
        snapshot.servers,
        snapshot.shards,
        snapshot.accounts or (),
        snapshot.rollouts or (),
    )
    total = sum(hash_item(item) for group in groups for item in group)
    return Accumulator((total + hash_limits(snapshot.limits)) % _MODULUS)
