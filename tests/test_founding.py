"""Tests of how empty replicas become a cluster, or are kept from it."""

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import founding
from lovagesaddle.core.consensus import log as log_lib
from tests import fixtures

NAMES = ("r1", "r2", "r3")


def test_first_replica_founds_with_all_the_others() -> None:
    """Only the first by name founds, and only once it heard everyone."""
    parts = {name: _make(name) for name in NAMES}
    assert not _introduce(parts["r1"], "r2")
    assert not _introduce(parts["r2"], "r1") + _introduce(parts["r2"], "r3")
    (found,) = _introduce(parts["r1"], "r3")
    assert isinstance(found, founding.StoreFoundingEntry)
    members = log_lib.decode_members(found.entry.payload)
    assert members.list_voters() == ("r1-1", "r2-1", "r3-1")


def test_emptied_replica_can_not_found_again() -> None:
    """With one peer that holds the log, founding stops with the cause."""
    for name in NAMES:
        part = _make(name)
        (stop,) = _introduce(part, "r2" if name != "r2" else "r3", has_log=True)
        assert isinstance(stop, founding.Stop)
        assert "does not know this folder" in stop.cause
        assert not _introduce(part, "r2") + _introduce(part, "r3")


def test_late_founder_waits_for_its_log() -> None:
    """A founder that the log knows waits until the log reaches it."""
    part = _make("r2")
    assert not _introduce(part, "r1", has_log=True, knows_receiver=True)


def test_newcomer_introduces_itself_and_founds_nothing() -> None:
    """Without the order to found, a replica only says who it is."""
    part = _make("r1", is_founding=False)
    sent = part.step(founding.Tick(), 0.0)
    (introduce,) = sent
    assert isinstance(introduce, founding.Introduce)
    assert introduce.introduction.member.replica_id == "r1"
    assert not introduce.introduction.has_log
    assert not part.step(founding.Tick(), founding.INTRODUCTION_INTERVAL_S / 2)
    for name in ("r2", "r3"):
        assert not _introduce(part, name)


def test_other_cluster_is_passed_over() -> None:
    """Introductions of another cluster count for nothing."""
    part = _make("r1")
    assert not _introduce(part, "r2", cluster_id="d")
    assert not _introduce(part, "r3")


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
    part: founding.Founding,
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
    return part.step(founding.Introduced(introduction=introduction), 1.0)


load_tests = fixtures.collect(__name__)
