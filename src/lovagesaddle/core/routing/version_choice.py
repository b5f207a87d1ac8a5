"""Chooses the version of the software that gets an attempt."""

from collections.abc import Sequence

from lovagesaddle.core.rollouts import software_versions
from lovagesaddle.core.routing import table


def choose_version(
    candidates: Sequence[table.Candidate],
    weight: int | None,
    tried: frozenset[str],
    draw: float,
) -> tuple[table.Candidate, ...]:
    """Returns the servers of the version that gets an attempt.

    Load: dozens of entries with some requests a second each, which together
    keep the share of a new version without exchanging counts. While the share
    is small, a request that the old servers can't take doesn't go to the new
    ones, so that trouble at the old ones doesn't raise it.

    Args:
      candidates: Servers that may run requests of the service.
      weight: Share of the new version, in thousandths; None if no roll-out
        runs.
      tried: IDs of servers that the request tried already.
      draw: Random number from 0 to 1, below 1.
    """
    if weight is None:
        return tuple(candidates)
    incoming = tuple(each for each in candidates if each.is_incoming)
    present = tuple(each for each in candidates if not each.is_incoming)
    is_incoming = draw * software_versions.FULL_WEIGHT < weight
    first, second = (incoming, present) if is_incoming else (present, incoming)
    if any(each.server_id not in tried for each in first):
        return first
    if is_incoming or weight >= software_versions.HALF_WEIGHT:
        return second or first
    return first
