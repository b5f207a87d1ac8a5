"""Member changes that a leader makes without an operator after losses.

A replica that lost its disk returns with a new identity, and a replaced VM
runs a replica that is not a member yet. Both introduce themselves; the leader
adds them as learners, and `reconfiguration.plan_change` makes them voters.
"""

import dataclasses

from lovagesaddle.core.consensus import entries as entries_lib

# Longer than an election and a restart; shorter than the time within which a
# replacement VM has to be a full member.
UNRESPONSIVE_AFTER_S = 2.5
# With 2 n + 1 voters, a majority is left after n losses.
VOTERS_PER_LOSS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A leader's view of the replicas.

    Attributes:
      newcomers: Replicas without a log that introduced themselves recently.
      unresponsive: Members that have not answered for `UNRESPONSIVE_AFTER_S`.
      responsive: Members that answered within an election timeout.
    """

    newcomers: tuple[entries_lib.Member, ...]
    unresponsive: frozenset[str]
    responsive: frozenset[str]


def plan_repair(
    members: entries_lib.Members, observation: Observation, *, tolerated: int
) -> entries_lib.Members | None:
    """Returns the members after the next step, or None if none is due.

    Args:
      members: The current members.
      observation: The leader's view of the replicas.
      tolerated: Number of replicas that may be lost at the same time.
    """
    newcomers = [
        n for n in observation.newcomers if not members.find(n.member_id)
    ]
    for newcomer in newcomers:
        replaced = members.find_replica(newcomer.replica_id)
        if replaced is not None:
            return _replace(members, newcomer, replaced)
    if any(not m.is_voter or m.replaces for m in members.members):
        return _remove_unresponsive_learner(members, observation)
    wanted = 1 + VOTERS_PER_LOSS * tolerated
    unresponsive = [
        m for m in members.members if m.member_id in observation.unresponsive
    ]
    if unresponsive and len(members.members) > wanted:
        return _remove_voter(members, unresponsive[0], observation)
    if newcomers and len(members.members) <= wanted:
        # Allows one voter more than needed, so that a replacement can vote
        # before the VM that it replaces is gone.
        return members.put(_make_learner(newcomers[0], ""))
    if newcomers and unresponsive:
        return members.put(
            _make_learner(newcomers[0], unresponsive[0].member_id)
        )
    return None


def _replace(
    members: entries_lib.Members,
    newcomer: entries_lib.Member,
    replaced: entries_lib.Member,
) -> entries_lib.Members:
    """Returns the members with a learner for a replica's new identity."""
    if replaced.is_voter:
        return members.put(_make_learner(newcomer, replaced.member_id))
    learner = _make_learner(newcomer, replaced.replaces)
    return members.drop(replaced.member_id).put(learner)


def _remove_unresponsive_learner(
    members: entries_lib.Members, observation: Observation
) -> entries_lib.Members | None:
    for member in members.members:
        if not member.is_voter and member.member_id in observation.unresponsive:
            return members.drop(member.member_id)
    return None


def _remove_voter(
    members: entries_lib.Members,
    lost: entries_lib.Member,
    observation: Observation,
) -> entries_lib.Members | None:
    voters = members.list_voters()
    if 2 * len(observation.responsive.intersection(voters)) <= len(voters):
        return None
    return members.drop(lost.member_id)


def _make_learner(
    newcomer: entries_lib.Member, replaces: str
) -> entries_lib.Member:
    return dataclasses.replace(newcomer, is_voter=False, replaces=replaces)
