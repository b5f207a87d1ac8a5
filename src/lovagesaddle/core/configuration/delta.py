"""Computes and applies the difference between two snapshots."""

from collections.abc import Iterable
import dataclasses
from typing import TypeVar

import msgspec

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
    services.ClientAccount,
    snapshots.Rollout,
)
T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HashedSnapshot:
    """A snapshot together with its digest.

    Attributes:
      snapshot: The snapshot.
      accumulator: Sum of the hashes of its items.
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
    """Returns the snapshot with its digest, computed from all items."""
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
        case services.ClientAccount():
            return item.name
        case snapshots.Rollout():
            return item.service


def compute_delta(
    base: HashedSnapshot, target: HashedSnapshot
) -> snapshots.Delta:
    """Returns the delta that turns `base` into `target`."""
    old, new = base.snapshot, target.snapshot
    return snapshots.Delta(
        cluster_id=new.cluster_id,
        base_version=old.version,
        base_digest=base.digest,
        version=new.version,
        digest=target.digest,
        services=_list_changed_services(old.services, new.services),
        removed_services=list_removed(old.services, new.services),
        nodes=list_changed(old.nodes, new.nodes),
        removed_nodes=list_removed(old.nodes, new.nodes),
        servers=list_changed(old.servers, new.servers),
        removed_servers=list_removed(old.servers, new.servers),
        shards=list_changed(old.shards, new.shards),
        limits=new.limits,
        publication=new.publication,
        accounts=unset_if_empty(
            list_changed(old.accounts or (), new.accounts or ())
        ),
        removed_accounts=unset_if_empty(
            list_removed(old.accounts or (), new.accounts or ())
        ),
        rollouts=unset_if_empty(
            list_changed(old.rollouts or (), new.rollouts or ())
        ),
        removed_rollouts=unset_if_empty(
            list_removed(old.rollouts or (), new.rollouts or ())
        ),
    )


def unset_if_empty(items: tuple[T, ...]) -> tuple[T, ...] | msgspec.UnsetType:
    """Returns the items, or unset if there are none.

    An unset field is not encoded, so that a snapshot without such items has
    the bytes and the digest of earlier releases.
    """
    return items or msgspec.UNSET


def apply_delta(base: HashedSnapshot, delta: snapshots.Delta) -> HashedSnapshot:
    """Applies `delta` to `base` and returns the resulting snapshot.

    Raises:
      errors.DigestMismatchError: The delta belongs to another cluster or
        another base, it doesn't lead to a later version, or the digest of
        the result differs from the announced one.
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
        accounts=unset_if_empty(
            merge(
                old.accounts or (),
                delta.accounts or (),
                delta.removed_accounts or (),
            )
        ),
        rollouts=unset_if_empty(
            merge(
                old.rollouts or (),
                delta.rollouts or (),
                delta.removed_rollouts or (),
            )
        ),
    )
    result = rehash_snapshot(base, merged)
    if result.digest != delta.digest:
        raise _make_error("digest of the result differs from the announced one")
    return result


def rehash_snapshot(
    base: HashedSnapshot, snapshot: snapshots.Snapshot
) -> HashedSnapshot:
    """Returns `snapshot` with its digest, updated from the digest of `base`.

    Only items that differ from the base's are hashed; an item that is the
    same object as the base's costs one comparison.
    """
    total = base.accumulator
    old = base.snapshot
    pairs: tuple[tuple[tuple[digest.Item, ...], tuple[digest.Item, ...]], ...]
    pairs = (
        (old.services, snapshot.services),
        (old.nodes, snapshot.nodes),
        (old.servers, snapshot.servers),
        (old.shards, snapshot.shards),
        (old.accounts or (), snapshot.accounts or ()),
        (old.rollouts or (), snapshot.rollouts or ()),
    )
    for before, after in pairs:
        if before is not after:
            total = _replace_items(total, before, after)
    if old.limits != snapshot.limits:
        total = total.replace_limits(old.limits, snapshot.limits)
    return HashedSnapshot(snapshot=snapshot, accumulator=total)


def merge(
    items: tuple[ItemT, ...],
    changed: Iterable[ItemT],
    removed: Iterable[str],
) -> tuple[ItemT, ...]:
    """Returns `items` with changes and removals applied, sorted by key.

    Without changes and removals the result is the same tuple object, so that
    its digest need not be computed again.
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


def _replace_items(
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
    base: tuple[services.Service, ...], delta: snapshots.Delta
) -> tuple[services.Service, ...]:
    by_name = {service.name: service for service in base}
    changed = tuple(
        service_edits.apply_service_edit(by_name.get(edit.service.name), edit)
        for edit in delta.services
    )
    return merge(base, changed, delta.removed_services)


def _list_changed_services(
    old: tuple[services.Service, ...], new: tuple[services.Service, ...]
) -> tuple[edits.ServiceEdit, ...]:
    if old is new:
        return ()
    before = {service.name: service for service in old}
    return tuple(
        service_edits.compute_service_edit(before.get(service.name), service)
        for service in new
        if (base := before.get(service.name)) is not service and base != service
    )


def list_changed(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[ItemT, ...]:
    """Returns the items that `new` adds or changes."""
    if old is new:
        return ()
    before = {get_item_key(item): item for item in old}
    return tuple(
        item
        for item in new
        if (base := before.get(get_item_key(item))) is not item and base != item
    )


def list_removed(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[str, ...]:
    """Returns the keys of the items that `new` lacks."""
    if old is new:
        return ()
    present = {get_item_key(item) for item in new}
    return tuple(
        get_item_key(item) for item in old if get_item_key(item) not in present
    )


def _check_base(base: HashedSnapshot, delta: snapshots.Delta) -> None:
    if delta.cluster_id != base.snapshot.cluster_id:
        raise _make_error(f"delta belongs to cluster {delta.cluster_id}")
    if delta.base_version != base.version:
        raise _make_error(f"delta is based on version {delta.base_version}")
    if delta.base_digest != base.digest:
        raise _make_error("delta is based on different content")
    if delta.version <= base.version:
        raise _make_error(f"version {delta.version} is not after the base's")


def _make_error(cause: str) -> errors.DigestMismatchError:
    return errors.DigestMismatchError(
        step="apply delta", peer="self", cause=cause
    )
