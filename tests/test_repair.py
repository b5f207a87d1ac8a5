"""Tests of member changes that a leader makes without an operator."""

import contextlib
import pathlib
import shutil

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import repair
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import retirement
from lovagesaddle.storage import store as store_lib
from tests import control_cluster
from tests import fixtures

TOLERATED = 1


def _member(
    member_id: str, replica_id: str = "", *, is_voter: bool = True
) -> entries_lib.Member:
    return entries_lib.Member(
        member_id=member_id,
        replica_id=replica_id or member_id,
        address="tcp://127.0.0.1:1",
        is_voter=is_voter,
    )


def _plan(
    *members: entries_lib.Member,
    newcomers: tuple[entries_lib.Member, ...] = (),
    unresponsive: frozenset[str] = frozenset(),
) -> entries_lib.Members | None:
    current = entries_lib.sort_members(members)
    responsive = frozenset(m.member_id for m in members) - unresponsive
    return repair.plan_repair(
        current,
        repair.Observation(
            newcomers=newcomers,
            unresponsive=unresponsive,
            responsive=responsive,
        ),
        tolerated=TOLERATED,
    )


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


def test_replacement_votes_before_the_lost_one_leaves() -> None:
    """A newcomer is added first; the unresponsive member is removed later."""
    three = (_member("a"), _member("b"), _member("c"))
    added = _plan(*three, newcomers=(_member("d"),))
    assert added is not None
    assert added.find("d") is not None
    four = (*three, _member("d"))
    assert _plan(*four) is None
    dropped = _plan(*four, unresponsive=frozenset({"b"}))
    assert dropped is not None
    assert dropped.list_voters() == ("a", "c", "d")


def test_silence_alone_drops_nobody() -> None:
    """Without a newcomer, unresponsive members of three are not removed."""
    three = (_member("a"), _member("b"), _member("c"))
    assert _plan(*three, unresponsive=frozenset({"b"})) is None
    assert _plan(*three, unresponsive=frozenset({"b", "c"})) is None


def test_minority_drops_nobody() -> None:
    """A voter is removed only if a majority of the voters is responsive."""
    four = (_member("a"), _member("b"), _member("c"), _member("d"))
    assert _plan(*four, unresponsive=frozenset({"b", "c"})) is None


def test_one_change_at_a_time() -> None:
    """A learner blocks other changes; an unresponsive learner is removed."""
    members = (
        _member("a"),
        _member("b"),
        _member("c"),
        _member("d", is_voter=False),
    )
    assert _plan(*members, newcomers=(_member("e"),)) is None
    planned = _plan(*members, unresponsive=frozenset({"d"}))
    assert planned is not None
    assert planned.find("d") is None


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
        cluster.wait_until(lambda: lost in _list_voter_names(cluster, "r9"))


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
