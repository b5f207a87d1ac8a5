"""Changes of the members: who votes, who stands by, and in which order.

A change takes one step at a time, each a separate entry of the log, so a new
leader continues where the previous one stopped. A voter that is lost can't
answer, so it leaves before its successor enters: as long as both are counted,
the loss of the successor would end the majority. A voter that still runs
leaves after its successor has entered.

Without an operator, the leader keeps `2 n + 1` voters for `n` tolerated losses.
Further replicas stand by as learners with a complete log. A standby takes the
place of a voter that lost its disk, is silent, or announces that it stops.
"""

from collections.abc import Iterable
import dataclasses

from lovagesaddle.core.consensus import entries as entries_lib

MAX_LEARNER_LAG_ENTRIES = 100
# Longer than an election and a restart; shorter than the time within which a
# replacement VM has to be a full member.
UNRESPONSIVE_AFTER_S = 2.5
# With 2 n + 1 voters, a majority is left after n losses.
VOTERS_PER_LOSS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A leader's view of the replicas.

    Attributes:
      leader: Member ID of the leader.
      newcomers: Replicas without a log that introduced themselves recently.
      unresponsive: Members that have not answered for `UNRESPONSIVE_AFTER_S`.
      responsive: Members that answered within an election timeout. Others
        don't become voters, since they would only make majorities harder to
        reach.
      leaving: Members that announced that they stop.
      match_indexes: Index of the last entry known to be synced, by member.
      commit: Index of the last committed entry.
    """

    leader: str
    newcomers: tuple[entries_lib.Member, ...] = ()
    unresponsive: frozenset[str] = frozenset()
    responsive: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    match_indexes: dict[str, int] = dataclasses.field(default_factory=dict)
    commit: int = 0

    def has_answered(self, member_id: str) -> bool:
        """Returns whether a member has confirmed entries to this leader."""
        return self.match_indexes.get(member_id, 0) > 0

    def is_ready(self, member_id: str) -> bool:
        """Returns whether a learner could vote at once."""
        return (
            member_id in self.responsive
            and member_id not in self.leaving
            and self.has_answered(member_id)
            and self.commit - self.match_indexes[member_id]
            <= MAX_LEARNER_LAG_ENTRIES
        )

    def has_majority(self, members: entries_lib.Members) -> bool:
        """Returns whether a majority of the voters of `members` answers."""
        voters = members.list_voters()
        return 2 * len(self.responsive.intersection(voters)) > len(voters)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One step of a change.

    Attributes:
      members: The members after it.
      reason: Why it is due, for the log.
    """

    members: entries_lib.Members
    reason: str


def count_wanted_voters(tolerated: int) -> int:
    """Returns how many voters are needed to tolerate some losses."""
    return 1 + VOTERS_PER_LOSS * tolerated


def plan_change(
    members: entries_lib.Members, observation: Observation, *, tolerated: int
) -> Change | None:
    """Returns the next step, or None if none is due.

    Args:
      members: The current members.
      observation: The leader's view of the replicas.
      tolerated: Number of replicas that may be lost at the same time; 0 leaves
        it to operators who is a member, and makes every learner a voter.
    """
    change = _finish_replacement(members)
    if change is None and tolerated:
        change = _take_in_returned(members, observation)
    for learner in _list_learners(members):
        if change is None and observation.is_ready(learner.member_id):
            change = _use_learner(members, observation, learner, tolerated)
    if change is None and tolerated:
        change = _keep_size(members, observation, tolerated)
    return change


def _finish_replacement(members: entries_lib.Members) -> Change | None:
    """Removes the member that a new voter replaces."""
    for member in members.members:
        if member.is_voter and member.replaces:
            done = dataclasses.replace(member, replaces="")
            return Change(
                members=members.put(done).drop(member.replaces),
                reason=f"{member.member_id} has taken its place",
            )
    return None


def _take_in_returned(
    members: entries_lib.Members, observation: Observation
) -> Change | None:
    """Adds the new identity of a replica that lost its disk, as a learner."""
    for newcomer in observation.newcomers:
        if members.find(newcomer.member_id) is not None:
            continue
        previous = members.find_replica(newcomer.replica_id)
        if previous is None:
            continue
        if previous.is_voter:
            learner = _make_learner(newcomer, previous.member_id)
            return Change(
                members=members.put(learner),
                reason=f"{previous.replica_id} returned without its disk",
            )
        learner = _make_learner(newcomer, previous.replaces)
        return Change(
            members=members.drop(previous.member_id).put(learner),
            reason=f"learner {previous.replica_id} returned without its disk",
        )
    return None


def _use_learner(
    members: entries_lib.Members,
    observation: Observation,
    learner: entries_lib.Member,
    tolerated: int,
) -> Change | None:
    """Takes the next step that makes a ready learner a voter."""
    if learner.replaces:
        return _replace(members, observation, learner)
    voters = members.list_voters()
    wanted = count_wanted_voters(tolerated)
    if not tolerated:
        return _promote(members, learner, "an operator added it")
    if len(voters) < wanted:
        return _promote(members, learner, "a voter is missing")
    for voter in voters:
        if _is_lost(members, observation, voter):
            return _drop_voter(members, observation, voter, "it is lost")
    if len(voters) == wanted and observation.leaving.intersection(voters):
        return _promote(members, learner, "a voter announced that it stops")
    return None


def _replace(
    members: entries_lib.Members,
    observation: Observation,
    learner: entries_lib.Member,
) -> Change | None:
    """Takes the next step of a replacement by a certain learner."""
    replaced = members.find(learner.replaces)
    if replaced is None or not replaced.is_voter:
        free = dataclasses.replace(learner, replaces="")
        return Change(members=members.put(free), reason="its place is free")
    if (
        replaced.replica_id == learner.replica_id
        or replaced.member_id not in observation.responsive
    ):
        # The new identity answers, or the old one doesn't.
        return _drop_voter(
            members,
            observation,
            replaced.member_id,
            f"it is lost, {learner.member_id} is ready",
        )
    return _promote(members, learner, f"it replaces {learner.replaces}")


def _promote(
    members: entries_lib.Members, learner: entries_lib.Member, reason: str
) -> Change:
    return Change(
        members=members.put(dataclasses.replace(learner, is_voter=True)),
        reason=reason,
    )


def _drop_voter(
    members: entries_lib.Members,
    observation: Observation,
    voter: str,
    reason: str,
) -> Change | None:
    return _check_majorities(
        members, observation, Change(members=members.drop(voter), reason=reason)
    )


def _check_majorities(
    members: entries_lib.Members, observation: Observation, change: Change
) -> Change | None:
    """Returns the change if a majority answers before it and after it.

    A minority that removes voters could become a majority of the rest.
    """
    if observation.has_majority(members) and observation.has_majority(
        change.members
    ):
        return change
    return None


def _is_lost(
    members: entries_lib.Members, observation: Observation, voter: str
) -> bool:
    """Returns whether a voter is silent or its replica has a new identity."""
    if voter in observation.unresponsive:
        return True
    member = members.find(voter)
    return member is not None and any(
        learner.replica_id == member.replica_id
        and observation.has_answered(learner.member_id)
        for learner in _list_learners(members)
    )


def _keep_size(
    members: entries_lib.Members, observation: Observation, tolerated: int
) -> Change | None:
    """Limits the voters and adds newcomers as standbys."""
    if len(members.list_voters()) > count_wanted_voters(tolerated):
        return _demote_surplus(members, observation)
    learners = _list_learners(members)
    for learner in learners:
        if learner.member_id in observation.unresponsive:
            return Change(
                members=members.drop(learner.member_id),
                reason="a learner is silent",
            )
    capacity = count_wanted_voters(tolerated) + tolerated
    if len(members.members) >= capacity:
        return None
    for newcomer in observation.newcomers:
        if members.find(newcomer.member_id) is None:
            return Change(
                members=members.put(_make_learner(newcomer, "")),
                reason=f"{newcomer.replica_id} is new",
            )
    return None


def _demote_surplus(
    members: entries_lib.Members, observation: Observation
) -> Change | None:
    """Makes one voter a learner: one that stops, else one that is silent."""
    voters = members.list_voters()
    others = [v for v in voters if v != observation.leader]
    leaving = [v for v in others if v in observation.leaving]
    silent = [v for v in others if v not in observation.responsive]
    chosen = (*leaving, *silent, *reversed(others))
    if not chosen:
        return None
    member = members.find(chosen[0])
    assert member is not None
    demoted = members.put(dataclasses.replace(member, is_voter=False))
    return _check_majorities(
        members,
        observation,
        Change(
            members=demoted,
            reason=f"more voters than needed, {chosen[0]} stands by",
        ),
    )


def _list_learners(
    members: entries_lib.Members,
) -> Iterable[entries_lib.Member]:
    return tuple(m for m in members.members if not m.is_voter)


def _make_learner(
    newcomer: entries_lib.Member, replaces: str
) -> entries_lib.Member:
    return dataclasses.replace(newcomer, is_voter=False, replaces=replaces)
