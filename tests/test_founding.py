"""Tests of the founding of a cluster by replicas with empty logs."""

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import log as log_lib
from tests import fixtures

NAMES = ("r1", "r2", "r3")


def test_first_replica_founds_with_all_the_others() -> None:
    """Only the first replica by name founds, after all introductions."""
    replicas = {name: _make(name) for name in NAMES}
    assert not _introduce(replicas["r1"], "r2")
    assert not _introduce(replicas["r2"], "r1") + _introduce(
        replicas["r2"], "r3"
    )
    (found,) = _introduce(replicas["r1"], "r3")
    assert isinstance(found, founding.StoreFoundingEntry)
    members = log_lib.decode_members(found.entry.payload)
    assert members.list_voters() == ("r1-1", "r2-1", "r3-1")


def test_emptied_replica_can_not_found_again() -> None:
    """Founding stops with a cause if a peer already has a log."""
    for name in NAMES:
        replica = _make(name)
        (stop,) = _introduce(
            replica, "r2" if name != "r2" else "r3", has_log=True
        )
        assert isinstance(stop, founding.Stop)
        assert "does not know this folder" in stop.cause
        assert not _introduce(replica, "r2") + _introduce(replica, "r3")


def test_late_founder_waits_for_its_log() -> None:
    """A founder that is a member in a peer's log waits for replication."""
    replica = _make("r2")
    assert not _introduce(replica, "r1", has_log=True, knows_receiver=True)


def test_newcomer_introduces_itself_and_founds_nothing() -> None:
    """A replica that was not told to found only introduces itself."""
    replica = _make("r1", is_founding=False)
    sent = replica.step(founding.Tick(), 0.0)
    (introduce,) = sent
    assert isinstance(introduce, founding.Introduce)
    assert introduce.introduction.member.replica_id == "r1"
    assert not introduce.introduction.has_log
    assert not replica.step(
        founding.Tick(), founding.INTRODUCTION_INTERVAL_S / 2
    )
    for name in ("r2", "r3"):
        assert not _introduce(replica, name)


def test_other_cluster_is_passed_over() -> None:
    """Introductions of another cluster are ignored."""
    replica = _make("r1")
    assert not _introduce(replica, "r2", cluster_id="d")
    assert not _introduce(replica, "r3")


def _make(name: str, *, is_founding: bool = True) -> founding.Founding:
    return founding.Founding(
        cluster_id="c",
        own=_member(name),
        founders=NAMES,
        is_founding=is_founding,
    )


def _member(name: str) -> entries_lib.Member:
    return entries_lib.Member(
        member_id=f"{name}-1", replica_id=name, address=f"tcp://{name}"
    )


def _introduce(
    replica: founding.Founding,
    name: str,
    *,
    cluster_id: str = "c",
    has_log: bool = False,
    knows_receiver: bool = False,
) -> tuple[founding.Action, ...]:
    introduction = founding.Introduction(
        cluster_id=cluster_id,
        member=_member(name),
        is_founding=not has_log,
        has_log=has_log,
        knows_receiver=knows_receiver,
    )
    return replica.step(founding.Introduced(introduction=introduction), 1.0)


load_tests = fixtures.collect(__name__)
