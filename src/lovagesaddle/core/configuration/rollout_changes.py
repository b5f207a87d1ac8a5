"""Applies the order and the steps of roll-outs to a snapshot."""

import collections
import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import software_versions


def find_outcome(
    snapshot: snapshots.Snapshot, order: commands.StartRollout
) -> commands.RolloutOutcome | None:
    """Returns the outcome of an order by the present state.

    Load: an operator whose call got no answer sends the order again, to any
    replica and also after the roll-out has ended.

    Returns:
      ACCEPTED if the newest roll-out of the service is the ordered one, other
      outcomes if the order can't be accepted, None if it is a new one.
    """
    if all(service.name != order.service for service in snapshot.services):
        return commands.RolloutOutcome.UNKNOWN_SERVICE
    known = software_versions.find_rollout(snapshot, order.service)
    if known is None or not known.ordered_at:
        return None
    if (known.target, known.ramp_s) == (order.target, order.ramp_s):
        return commands.RolloutOutcome.ACCEPTED
    if known.phase is snapshots.RolloutPhase.RUNNING:
        return commands.RolloutOutcome.CONFLICT
    return None


def start(
    old: snapshots.Snapshot, version: int, order: commands.StartRollout
) -> snapshots.Snapshot:
    """Applies an order; one that is no new one changes nothing."""
    advanced = dataclasses.replace(old, version=version)
    if find_outcome(old, order) is not None:
        return advanced
    previous = software_versions.find_current(
        software_versions.find_rollout(old, order.service)
    )
    # The version that is in use needs no steps.
    is_done = order.target == previous
    started = snapshots.Rollout(
        service=order.service,
        target=order.target,
        ramp_s=order.ramp_s,
        ordered_at=version,
        phase=(
            snapshots.RolloutPhase.COMPLETED
            if is_done
            else snapshots.RolloutPhase.RUNNING
        ),
        weight=software_versions.FULL_WEIGHT if is_done else 0,
        previous=previous,
    )
    return _put(advanced, (started,))


def step(
    old: snapshots.Snapshot, version: int, command: commands.StepRollout
) -> snapshots.Snapshot:
    """Applies a step; one of a roll-out that does not run changes nothing."""
    advanced = dataclasses.replace(old, version=version)
    known = software_versions.find_rollout(old, command.service)
    if (
        known is None
        or known.ordered_at != command.ordered_at
        or known.phase is not snapshots.RolloutPhase.RUNNING
    ):
        return advanced
    stepped = dataclasses.replace(
        known,
        phase=command.phase,
        weight=command.weight,
        elapsed_s=max(known.elapsed_s, command.elapsed_s),
    )
    return _put(advanced, (stepped,))


def add_first_versions(snapshot: snapshots.Snapshot) -> snapshots.Snapshot:
    """Records the version of each service whose servers first state one.

    Of several versions that are first stated at once, the one of most servers
    counts.
    """
    known = {rollout.service for rollout in snapshot.rollouts or ()}
    stated: dict[str, collections.Counter[str]] = {}
    for server in snapshot.servers:
        if server.software and server.service not in known:
            counts = stated.setdefault(server.service, collections.Counter())
            counts[server.software] += 1
    if not stated:
        return snapshot
    return _put(
        snapshot,
        tuple(
            snapshots.Rollout(
                service=service,
                target=min(counts, key=lambda name: (-counts[name], name)),
                ramp_s=0.0,
                ordered_at=0,
                phase=snapshots.RolloutPhase.COMPLETED,
                weight=software_versions.FULL_WEIGHT,
            )
            for service, counts in sorted(stated.items())
        ),
    )


def _put(
    snapshot: snapshots.Snapshot, rollouts: tuple[snapshots.Rollout, ...]
) -> snapshots.Snapshot:
    return dataclasses.replace(
        snapshot, rollouts=delta.merge(snapshot.rollouts or (), rollouts, ())
    )
