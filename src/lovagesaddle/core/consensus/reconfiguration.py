"""The next change that brings the members to what operators asked for.

A new replica starts as a learner, votes once it has caught up, and only then
does the replica that it replaces leave. Every step is an entry of its own, so
any leader carries on where another one stopped.
"""

import dataclasses

from lovagesaddle.core.consensus import entries as entries_lib

MAX_LEARNER_LAG = 100


def plan_change(
    members: entries_lib.Members,
    match_indexes: dict[str, int],
    responsive: frozenset[str],
    commit: int,
) -> entries_lib.Members | None:
    """Returns the members after the next step, or None if none is due.

    Args:
      members: The present members.
      match_indexes: Last entry known to be synced at each member.
      responsive: Members that answered lately; a vote that never comes would
        only make majorities harder to reach.
      commit: Last committed entry.
    """
    for member in members.members:
        if member.is_voter and member.replaces:
            done = dataclasses.replace(member, replaces="")
            return members.put(done).drop(member.replaces)
    for member in members.members:
        if member.is_voter or member.member_id not in responsive:
            continue
        reached = match_indexes.get(member.member_id, 0)
        if reached > 0 and commit - reached <= MAX_LEARNER_LAG:
            return members.put(dataclasses.replace(member, is_voter=True))
    return None
