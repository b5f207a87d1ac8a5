"""Steps of a member change: a learner becomes a voter and replaces another.

A new replica starts as a learner and becomes a voter once it has caught up;
only then the replica that it replaces is removed. Every step is a separate
entry of the log, so a new leader continues where the previous one stopped.
"""

import dataclasses

from lovagesaddle.core.consensus import entries as entries_lib

MAX_LEARNER_LAG_ENTRIES = 100


def plan_change(
    members: entries_lib.Members,
    match_indexes: dict[str, int],
    responsive: frozenset[str],
    commit: int,
) -> entries_lib.Members | None:
    """Returns the members after the next step, or None if none is due.

    Args:
      members: The current members.
      match_indexes: Index of the last entry known to be synced, by member.
      responsive: Members that answered recently. Others don't become voters,
        since they would only make majorities harder to reach.
      commit: Index of the last committed entry.
    """
    for member in members.members:
        if member.is_voter and member.replaces:
            done = dataclasses.replace(member, replaces="")
            return members.put(done).drop(member.replaces)
    for member in members.members:
        if member.is_voter or member.member_id not in responsive:
            continue
        reached = match_indexes.get(member.member_id, 0)
        if reached > 0 and commit - reached <= MAX_LEARNER_LAG_ENTRIES:
            return members.put(dataclasses.replace(member, is_voter=True))
    return None
