"""Tests of member changes that a leader makes without an operator."""

import contextlib
import pathlib
import shutil

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import reconfiguration
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import retirement
from lovagesaddle.storage import store as store_lib
from tests import control_cluster
from tests import fixtures
from tests import replica_cluster

TOLERATED = 1
# More than the time after which a silent replica is dropped, and less than
# after a loss of the next one may follow.
CATCH_UP_S = 4.0
# The longest time for which a replaced replica goes on after SIGTERM.
LEAVE_S = 3.0
# Below the time after which a silent replica is dropped.
RESTART_S = 1.0
# Times at which another disk is lost while a change is in progress, in seconds.
LOSS_TIMES_S = tuple(step * 0.004 for step in range(60))


def _member(
    member_id: str,
    replica_id: str = "",
    *,
    is_voter: bool = True,
    replaces: str = "",
) -> entries_lib.Member:
    return entries_lib.Member(
        member_id=member_id,
        replica_id=replica_id or member_id,
        address="tcp://127.0.0.1:1",
        is_voter=is_voter,
        replaces=replaces,
    )


def _plan(
    *members: entries_lib.Member,
    newcomers: tuple[entries_lib.Member, ...] = (),
    unresponsive: frozenset[str] = frozenset(),
    leaving: frozenset[str] = frozenset(),
    behind: frozenset[str] = frozenset(),
    tolerated: int = TOLERATED,
) -> entries_lib.Members | None:
    current = entries_lib.sort_members(members)
    names = frozenset(m.member_id for m in members)
    change = reconfiguration.plan_change(
        current,
        reconfiguration.Observation(
            leader=members[0].member_id,
            newcomers=newcomers,
            unresponsive=unresponsive,
            responsive=names - unresponsive,
            leaving=leaving,
            match_indexes=dict.fromkeys(names - unresponsive - behind, 500),
            commit=500,
        ),
        tolerated=tolerated,
    )
    return None if change is None else change.members


THREE = (_member("a"), _member("b"), _member("c"))
STANDBY = _member("d", is_voter=False)


def test_replica_without_its_disk_takes_its_own_place() -> None:
    """A new identity with a member's name becomes a learner to replace it."""
    planned = _plan(
        _member("a1", "a"),
        _member("b1", "b"),
        _member("c1", "c"),
        newcomers=(_member("c2", "c"),),
        unresponsive=frozenset({"c1"}),
    )
    assert planned is not None
    learner = planned.find("c2")
    assert learner is not None
    assert (learner.is_voter, learner.replaces) == (False, "c1")
    assert planned.list_voters() == ("a1", "b1", "c1")


def test_lost_identity_leaves_before_the_new_one_votes() -> None:
    """Two identities of one replica are never counted together.

    With both as voters, a second loss of the same disk ended the majority.
    """
    learner = _member("c2", "c", is_voter=False, replaces="c1")
    voters = (_member("a1", "a"), _member("b1", "b"), _member("c1", "c"))
    for tolerated in (0, TOLERATED):
        behind = _plan(
            *voters, learner, behind=frozenset({"c2"}), tolerated=tolerated
        )
        assert behind is None
        dropped = _plan(*voters, learner, tolerated=tolerated)
        assert dropped is not None
        assert dropped.list_voters() == ("a1", "b1")
        freed = _plan(*dropped.members, tolerated=tolerated)
        assert freed is not None
        added = _plan(*freed.members, tolerated=tolerated)
        assert added is not None
        assert added.list_voters() == ("a1", "b1", "c2")


def test_replacement_stands_by_until_a_voter_leaves() -> None:
    """A fourth voter would make an even number: two losses end the majority."""
    added = _plan(*THREE, newcomers=(_member("d"),))
    assert added is not None
    assert added.list_voters() == ("a", "b", "c")
    assert added.find("d") is not None
    assert _plan(*THREE, STANDBY) is None
    promoted = _plan(*THREE, STANDBY, leaving=frozenset({"b"}))
    assert promoted is not None
    assert promoted.list_voters() == ("a", "b", "c", "d")
    demoted = _plan(*promoted.members, leaving=frozenset({"b"}))
    assert demoted is not None
    assert demoted.list_voters() == ("a", "c", "d")
    assert demoted.find("b") is not None
    assert _plan(*demoted.members, leaving=frozenset({"b"})) is None


def test_leaving_voter_stays_if_nobody_stands_by() -> None:
    """A planned restart among three replicas changes no members."""
    leaving = frozenset({"b"})
    assert _plan(*THREE, leaving=leaving) is None
    assert _plan(*THREE, STANDBY, leaving=frozenset({"b", "d"})) is None
    assert (
        _plan(*THREE, STANDBY, leaving=leaving, behind=frozenset({"d"})) is None
    )


def test_standby_takes_the_place_of_a_silent_voter() -> None:
    """The silent voter is dropped first, then the standby votes."""
    dropped = _plan(*THREE, STANDBY, unresponsive=frozenset({"b"}))
    assert dropped is not None
    assert dropped.list_voters() == ("a", "c")
    added = _plan(*dropped.members)
    assert added is not None
    assert added.list_voters() == ("a", "c", "d")


def test_surplus_voter_becomes_a_standby() -> None:
    """Four voters of an earlier release become three again.

    A silent one is chosen first, never the leader.
    """
    four = (*THREE, _member("d"))
    planned = _plan(*four)
    assert planned is not None
    assert planned.list_voters() == ("a", "b", "c")
    planned = _plan(*four, unresponsive=frozenset({"b"}))
    assert planned is not None
    assert planned.list_voters() == ("a", "c", "d")


def test_silence_alone_drops_nobody() -> None:
    """Without a standby, unresponsive members of three are not removed."""
    assert _plan(*THREE, unresponsive=frozenset({"b"})) is None
    assert _plan(*THREE, unresponsive=frozenset({"b", "c"})) is None


def test_minority_drops_nobody() -> None:
    """A voter is removed only if a majority of the others is responsive."""
    four = (*THREE, _member("d"))
    assert _plan(*four, unresponsive=frozenset({"b", "c"})) is None
    assert _plan(*THREE, STANDBY, unresponsive=frozenset({"b", "c"})) is None


def test_one_standby_for_each_tolerated_loss() -> None:
    """More newcomers wait; an unresponsive learner is removed."""
    members = (*THREE, STANDBY)
    assert _plan(*members, newcomers=(_member("e"),)) is None
    planned = _plan(*members, unresponsive=frozenset({"d"}))
    assert planned is not None
    assert planned.find("d") is None


def test_disk_lost_after_a_planned_replacement_ends_nothing() -> None:
    """Any one disk may be lost once the replaced voter has left.

    The replaced voter is gone for good; it stayed one of four voters, so that
    two of four were missing.
    """
    for number, at_s in enumerate(LOSS_TIMES_S):
        cluster, old, others = _begin_replacement(seed=number)
        _wait_until_left(cluster, old)
        cluster.destroy(old)
        cluster.run(at_s)
        lost = others[number % len(others)]
        cluster.return_without_disk(lost, f"{lost}-2")
        cluster.check_accepted_kept()


def test_disk_lost_during_a_planned_replacement_ends_nothing() -> None:
    """Any one disk may be lost while the replaced voter is leaving."""
    for number, at_s in enumerate(LOSS_TIMES_S):
        cluster, old, others = _begin_replacement(seed=number)
        cluster.run(at_s)
        lost = others[number % len(others)]
        cluster.return_without_disk(lost, f"{lost}-2")
        _wait_until_left(cluster, old)
        cluster.destroy(old)
        cluster.check_accepted_kept()


def test_disk_lost_again_at_any_moment_of_its_repair_ends_nothing() -> None:
    """One machine loses its disk twice in a row; the others are enough."""
    for number, at_s in enumerate(LOSS_TIMES_S):
        cluster = _start_cluster(seed=number)
        leader = cluster.wait_for_leader()
        lost = cluster.get(leader).members.list_others(leader)[0]
        cluster.publish(b"before")
        cluster.return_without_disk(lost, f"{lost}-2")
        cluster.run(at_s)
        cluster.return_without_disk(f"{lost}-2", f"{lost}-3")
        cluster.check_accepted_kept()
        cluster.run(CATCH_UP_S)
        assert len(cluster.find_committed_members().list_voters()) == 3


def test_silent_removal_is_repaired_within_the_time_of_a_successor() -> None:
    """A voter that is removed without notice is replaced by a standby."""
    cluster = _start_cluster(seed=7)
    leader = cluster.wait_for_leader()
    gone = cluster.get(leader).members.list_others(leader)[0]
    cluster.destroy(gone)
    cluster.add_host("n1")
    cluster.run(CATCH_UP_S)
    voters = cluster.find_committed_members().list_voters()
    assert "n1" in voters
    assert gone not in voters
    cluster.return_without_disk(leader, f"{leader}-2")
    cluster.check_accepted_kept()


def test_rolling_restart_keeps_every_replica() -> None:
    """Replicas that stop in turn and return keep their logs and identities."""
    cluster = _start_cluster(seed=9)
    cluster.add_host("n1")
    cluster.run(CATCH_UP_S)
    names = cluster.find_committed_members().list_others("")
    for name in names:
        _stop(cluster, name)
        cluster.publish(f"while {name} stops".encode())
        cluster.run(RESTART_S)
        cluster.crash(name)
        cluster.run(RESTART_S)
        cluster.restart(name)
        cluster.run(RESTART_S)
    members = cluster.find_committed_members()
    assert members.list_others("") == names
    assert len(members.list_voters()) == 3
    cluster.check_accepted_kept()


def _start_cluster(seed: int) -> replica_cluster.Cluster:
    cluster = replica_cluster.Cluster(seed=seed)
    cluster.manage_members(tolerated=TOLERATED)
    cluster.wait_for_leader()
    return cluster


def _begin_replacement(
    seed: int,
) -> tuple[replica_cluster.Cluster, str, tuple[str, ...]]:
    """Starts a successor, and the stop of a voter a while later.

    Returns:
      The cluster, the voter that stops, and the other replicas.
    """
    cluster = _start_cluster(seed)
    cluster.add_host("n1")
    cluster.run(CATCH_UP_S)
    names = cluster.find_committed_members().list_others("n1")
    old = names[seed // 2 % len(names)]
    _stop(cluster, old)
    return cluster, old, ("n1", *(name for name in names if name != old))


def _wait_until_left(cluster: replica_cluster.Cluster, name: str) -> None:
    cluster.run_until(
        lambda: cluster.get(name).has_left_voters,
        limit_s=LEAVE_S,
        must=False,
    )


def _stop(cluster: replica_cluster.Cluster, name: str) -> None:
    cluster.step(name, events.Leave())


def test_stopped_replica_leaves_the_voters_before_it_ends() -> None:
    """A disk lost right after a planned replacement doesn't end the control.

    The stopped replica stayed among four voters, so that two were missing.
    """
    with control_cluster.ControlCluster(tolerated_losses=TOLERATED) as cluster:
        cluster.publish("p1", 0)
        cluster.add("r9")
        cluster.wait_until(lambda: _is_member(cluster, "r9"))
        old = cluster.find_leader()
        cluster.stop(old)
        lost, other = (n for n in cluster.list_running() if n != "r9")
        assert old not in _list_voter_names(cluster, other)
        cluster.stop(lost)
        shutil.rmtree(cluster.make_settings(lost).data_folder)
        cluster.start(lost)
        answer = cluster.publish("p2", 1)
        assert answer.result is not None
        cluster.wait_until(lambda: _count_voters_if_voter(cluster, lost) == 3)


def test_wiped_replica_is_repaired_without_an_operator() -> None:
    """A replica that restarts with an empty folder becomes a voter again."""
    with control_cluster.ControlCluster(tolerated_losses=TOLERATED) as cluster:
        cluster.publish("p1", 0)
        lost = cluster.find_leader()
        cluster.stop(lost)
        shutil.rmtree(cluster.make_settings(lost).data_folder)
        cluster.start(lost)
        cluster.wait_until(lambda: _count_voters_if_voter(cluster, lost) == 3)


def test_replica_at_another_address_stands_in_for_a_lost_one() -> None:
    """A newcomer replaces a lost replica, which later returns as a newcomer."""
    with control_cluster.ControlCluster(tolerated_losses=TOLERATED) as cluster:
        cluster.publish("p1", 0)
        lost = next(
            name for name in cluster.programs if name != cluster.find_leader()
        )
        cluster.stop(lost)
        cluster.add("r9")
        cluster.wait_until(lambda: _count_known_voters(cluster, "r9") == 3)
        cluster.wait_until(lambda: lost not in _list_voter_names(cluster, "r9"))
        cluster.start(lost)
        error = cluster.wait(lost)
        assert "no member any more" in str(error)
        folder = pathlib.Path(cluster.make_settings(lost).data_folder)
        retirement.mark_retired(folder, disk_lib.LocalDisk())
        cluster.start(lost)
        cluster.wait_until(lambda: _is_member(cluster, lost))
        assert len(_list_voter_names(cluster, "r9")) == 3


def test_retired_folder_starts_anew_after_a_crash_at_any_point() -> None:
    """A folder marked as retired never reuses its old log or identity."""
    with contextlib.ExitStack() as stack:
        folder = fixtures.make_folder(stack)
        old = _open(folder, "old")
        retirement.mark_retired(folder, disk_lib.LocalDisk())
        (folder / identity_lib.IDENTITY_NAME).unlink()
        assert _open(folder, "new") != old
        assert _open(folder, "newer") == "new"


def _open(folder: pathlib.Path, member_id: str) -> str:
    identity = identity_lib.Identity(
        cluster_id="c", replica_id="r", member_id=member_id
    )
    with store_lib.Store(folder=folder, identity=identity) as store:
        return store.identity.member_id


def _is_member(cluster: control_cluster.ControlCluster, name: str) -> bool:
    program = cluster.programs[name]
    members = program._consensus.replica.members
    return members.find(program._store.identity.member_id) is not None


def _list_voter_names(
    cluster: control_cluster.ControlCluster, name: str
) -> list[str]:
    members = cluster.programs[name]._consensus.replica.members.members
    return [m.replica_id for m in members if m.is_voter]


def _count_known_voters(
    cluster: control_cluster.ControlCluster, name: str
) -> int:
    return len(_list_voter_names(cluster, name))


def _count_voters_if_voter(
    cluster: control_cluster.ControlCluster, name: str
) -> int:
    replica = cluster.programs[name]._consensus.replica
    own = cluster.programs[name]._store.identity.member_id
    voters = replica.members.list_voters()
    return len(voters) if own in voters else 0


load_tests = fixtures.collect(__name__)
