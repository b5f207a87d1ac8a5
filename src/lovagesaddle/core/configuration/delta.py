"""Computes and applies the difference of two snapshots."""

from collections.abc import Iterable
import dataclasses
from typing import TypeVar

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import digest
from lovagesaddle.core.configuration import service_edits
from lovagesaddle.core.model import edits
from lovagesaddle.core.model import services
from lovagesaddle.core.model import snapshots

ItemT = TypeVar(
    "ItemT",
    services.Service,
    snapshots.Node,
    snapshots.BackendServer,
    snapshots.Shard,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HashedSnapshot:
    """A snapshot together with its digest.

    Attributes:
      snapshot: The state.
      accumulator: Sum over its items.
    """

    snapshot: snapshots.Snapshot
    accumulator: digest.Accumulator

    @property
    def version(self) -> int:
        """Version of the snapshot."""
        return self.snapshot.version

    @property
    def digest(self) -> bytes:
        """Digest of the snapshot."""
        return self.accumulator.to_bytes()


def hash_snapshot(snapshot: snapshots.Snapshot) -> HashedSnapshot:
    """Returns the snapshot with its digest, computed from every item."""
    return HashedSnapshot(
        snapshot=snapshot, accumulator=digest.accumulate(snapshot)
    )


def get_item_key(item: digest.Item) -> str:
    """Returns the key that is unique among items of the same class."""
    match item:
        case services.Service():
            return item.name
        case snapshots.Node():
            return item.node_id
        case snapshots.BackendServer():
            return item.server_id
        case snapshots.Shard():
            return f"{item.number:06d}"


def compute_delta(
    base: HashedSnapshot, target: HashedSnapshot
) -> snapshots.Delta:
    """Returns what turns `base` into `target`."""
    old, new = base.snapshot, target.snapshot
    return snapshots.Delta(
        cluster_id=new.cluster_id,
        base_version=old.version,
        base_digest=base.digest,
        version=new.version,
        digest=target.digest,
        services=_list_changed_services(old.services, new.services),
        removed_services=_list_removed(old.services, new.services),
        nodes=_list_changed(old.nodes, new.nodes),
        removed_nodes=_list_removed(old.nodes, new.nodes),
        servers=_list_changed(old.servers, new.servers),
        removed_servers=_list_removed(old.servers, new.servers),
        shards=_list_changed(old.shards, new.shards),
        limits=new.limits,
        publication=new.publication,
    )


def apply_delta(base: HashedSnapshot, delta: snapshots.Delta) -> HashedSnapshot:
    """Returns the snapshot that `delta` turns `base` into.

    Raises:
      errors.DigestMismatchError: The delta belongs to another cluster or
        another base, or its result is not the announced one.
    """
    _check_base(base, delta)
    old = base.snapshot
    merged = snapshots.Snapshot(
        cluster_id=old.cluster_id,
        version=delta.version,
        services=_merge_services(old.services, delta),
        nodes=merge(old.nodes, delta.nodes, delta.removed_nodes),
        servers=merge(old.servers, delta.servers, delta.removed_servers),
        shards=merge(old.shards, delta.shards, ()),
        limits=delta.limits,
        publication=delta.publication,
    )
    result = rehash_snapshot(base, merged)
    if result.digest != delta.digest:
        raise _mismatch("result differs from the announced digest")
    return result


def rehash_snapshot(
    base: HashedSnapshot, snapshot: snapshots.Snapshot
) -> HashedSnapshot:
    """Returns `snapshot` with a digest computed from what differs from base.

    Items that are shared with the base by identity cost a comparison only.
    """
    total = base.accumulator
    old = base.snapshot
    pairs: tuple[tuple[tuple[digest.Item, ...], tuple[digest.Item, ...]], ...]
    pairs = (
        (old.services, snapshot.services),
        (old.nodes, snapshot.nodes),
        (old.servers, snapshot.servers),
        (old.shards, snapshot.shards),
    )
    for before, after in pairs:
        if before is not after:
            total = _replace(total, before, after)
    if old.limits != snapshot.limits:
        total = total.replace_limits(old.limits, snapshot.limits)
    return HashedSnapshot(snapshot=snapshot, accumulator=total)


def merge(
    items: tuple[ItemT, ...],
    changed: Iterable[ItemT],
    removed: Iterable[str],
) -> tuple[ItemT, ...]:
    """Returns `items` with changes and removals, sorted by key.

    Without any, the very same tuple comes back, so that its digest need not
    be computed again.
    """
    changed, removed = tuple(changed), tuple(removed)
    if not changed and not removed:
        return items
    by_key = {get_item_key(item): item for item in items}
    for name in removed:
        by_key.pop(name, None)
    for item in changed:
        by_key[get_item_key(item)] = item
    return tuple(by_key[key] for key in sorted(by_key))


def _replace(
    total: digest.Accumulator,
    before: tuple[digest.Item, ...],
    after: tuple[digest.Item, ...],
) -> digest.Accumulator:
    old = {get_item_key(item): item for item in before}
    for item in after:
        previous = old.pop(get_item_key(item), None)
        if previous is item:
            continue
        if isinstance(previous, services.Service) and isinstance(
            item, services.Service
        ):
            total = total.replace_service(previous, item)
            continue
        if previous is not None:
            total = total.remove(previous)
        total = total.add(item)
    for item in old.values():
        total = total.remove(item)
    return total


def _merge_services(
    held: tuple[services.Service, ...], change: snapshots.Delta
) -> tuple[services.Service, ...]:
    by_name = {service.name: service for service in held}
    changed = tuple(
        service_edits.apply_service_edit(by_name.get(each.service.name), each)
        for each in change.services
    )
    return merge(held, changed, change.removed_services)


def _list_changed_services(
    old: tuple[services.Service, ...], new: tuple[services.Service, ...]
) -> tuple[edits.ServiceEdit, ...]:
    if old is new:
        return ()
    before = {service.name: service for service in old}
    return tuple(
        service_edits.compute_service_edit(before.get(service.name), service)
        for service in new
        if (held := before.get(service.name)) is not service and held != service
    )


def _list_changed(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[ItemT, ...]:
    if old is new:
        return ()
    before = {get_item_key(item): item for item in old}
    return tuple(
        item
        for item in new
        if (held := before.get(get_item_key(item))) is not item and held != item
    )


def _list_removed(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[str, ...]:
    if old is new:
        return ()
    kept = {get_item_key(item) for item in new}
    return tuple(
        get_item_key(item) for item in old if get_item_key(item) not in kept
    )


def _check_base(base: HashedSnapshot, delta: snapshots.Delta) -> None:
    if delta.cluster_id != base.snapshot.cluster_id:
        raise _mismatch(f"delta is of cluster {delta.cluster_id}")
    if delta.base_version != base.version:
        raise _mismatch(f"delta is based on version {delta.base_version}")
    if delta.base_digest != base.digest:
        raise _mismatch("delta is based on another content")
    if delta.version <= base.version:
        raise _mismatch(f"delta leads back to version {delta.version}")


def _mismatch(cause: str) -> errors.DigestMismatchError:
    return errors.DigestMismatchError(
        step="apply delta", peer="self", cause=cause
    )
