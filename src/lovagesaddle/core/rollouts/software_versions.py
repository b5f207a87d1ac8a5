"""Which versions of a service's software may run requests."""

from collections.abc import Iterable, Sequence
import itertools
import math
import zlib

from lovagesaddle.core.model import snapshots

FULL_WEIGHT = 1000
# A roll-out judges servers apart, so that one that is slow or faulty by itself
# does not pass for a bad version.
MIN_TRIAL_SERVERS = 3
# Room relative to the share of requests: a tried server is as busy as those
# of the version in use.
TRIAL_ROOM = 1.0
# Above it, servers of the target version may also take what those of the
# version in use can't.
HALF_WEIGHT = 500


def find_rollout(
    snapshot: snapshots.Snapshot, service: str
) -> snapshots.Rollout | None:
    """Returns the newest roll-out of a service, or None."""
    for rollout in snapshot.rollouts or ():
        if rollout.service == service:
            return rollout
    return None


def find_current(rollout: snapshots.Rollout | None) -> str:
    """Returns the version in use; empty if none is known."""
    if rollout is None:
        return ""
    if rollout.phase is snapshots.RolloutPhase.COMPLETED:
        return rollout.target
    return rollout.previous


def may_run(rollout: snapshots.Rollout | None, software: str) -> bool:
    """Returns whether servers of a version may run requests.

    Load: servers of a new version start before it is ordered, and servers
    whose version is not known yet may be of it.

    Args:
      rollout: The newest roll-out of the service; None if no server of the
        service has ever stated a version.
      software: Version of the server; empty if it is unknown.
    """
    if rollout is None:
        return True
    if rollout.phase is not snapshots.RolloutPhase.RUNNING:
        return software == find_current(rollout)
    if software == rollout.target:
        return rollout.weight > 0
    return software == rollout.previous and rollout.weight < FULL_WEIGHT


def is_on_trial(rollout: snapshots.Rollout | None, software: str) -> bool:
    """Returns whether a version is the target of a roll-out that runs."""
    return (
        rollout is not None
        and rollout.phase is snapshots.RolloutPhase.RUNNING
        and software == rollout.target
    )


def select_tried(
    incoming: Sequence[tuple[str, str, int, bool]],
    current_slots: int,
    weight: int,
) -> frozenset[str]:
    """Returns the servers of the target version that get requests.

    Load: a version that fails only under load. The few requests of the first
    part of a roll-out go to as few servers as make these as busy as the
    servers in use. All entries choose the same ones.

    Args:
      incoming: ID, failure domain, slots and warmth of each server of the
        target version.
      current_slots: Slots of the servers of the version in use.
      weight: Share of the requests, in thousandths.

    Returns:
      IDs of the servers.
    """
    if weight >= FULL_WEIGHT or not current_slots:
        return frozenset(server_id for server_id, *_ in incoming)
    needed = current_slots * weight / FULL_WEIGHT * TRIAL_ROOM
    mean_slots = sum(slots for _, _, slots, _ in incoming) / max(
        1, len(incoming)
    )
    count = max(MIN_TRIAL_SERVERS, math.ceil(needed / max(1.0, mean_slots)))
    return frozenset(itertools.islice(_alternate_domains(incoming), count))


def _alternate_domains(
    incoming: Iterable[tuple[str, str, int, bool]],
) -> Iterable[str]:
    """Returns server IDs, warm ones first and failure domains by turns."""
    ranks: dict[tuple[bool, str], int] = {}
    keyed: list[tuple[bool, int, int, str]] = []
    for server_id, domain, _, is_warm in sorted(
        incoming, key=lambda each: zlib.crc32(each[0].encode())
    ):
        rank = ranks.get((is_warm, domain), 0)
        ranks[is_warm, domain] = rank + 1
        order = zlib.crc32(server_id.encode())
        keyed.append((not is_warm, rank, order, server_id))
    return [server_id for *_, server_id in sorted(keyed)]
