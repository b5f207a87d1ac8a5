"""Tests of what servers tell of their load, at the owner and on the hop."""

import dataclasses
import random
import time

import msgspec

from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import run_times
from lovagesaddle.core.routing import server_load
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
from tests import routing_mesh
from tests import test_server_limits

HEADER = header_names.DEFAULT.server_load
KIND = "lookup"


def _run(
    *loads: str,
    status: int = 200,
    options: owned_server.OwnerOptions | None = None,
) -> list[hop.RunAnswer]:
    """Returns the owner's answers while its server tells the given loads."""
    pool = test_server_limits.StatingPool()
    pool.status = status
    owner = owner_lib.Owner(
        pool=pool,
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        options=options,
    )
    owner.open(routing_mesh.make_server(0), "127.0.0.1:1", "i-1", 1)
    answers = []
    for number, load in enumerate(loads):
        pool.headers = ((HEADER, load),)
        guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
        request = routing_mesh.make_run_request(f"r.{number}")
        request = dataclasses.replace(request, route=KIND)
        answers.append(owner.run(request, guard))
    return answers


def _create(slots: int) -> admission_lib.Admission:
    return admission_lib.Admission(
        limit=concurrency_limits.FixedLimit(slots),
        order=queues.FairShareOrder(),
    )


def _tell(
    owner: admission_lib.Admission,
    now: float,
    *,
    slowdown: float | None = 1.0,
    waiting: int = 0,
    running: int = 0,
    slots: int = 4,
) -> tuple[events.Action, ...]:
    load = server_load.ServerLoad(
        running=running, waiting=waiting, slots=slots, slowdown=slowdown
    )
    return owner.step(events.LoadStated(load=load), now)


def _arrive(
    owner: admission_lib.Admission,
    name: str,
    now: float,
    *,
    target_s: float = 0.3,
    may_move: bool = True,
) -> tuple[events.Action, ...]:
    arrived = events.Arrived(
        request_id=name,
        priority=1,
        deadline=now + 10.0,
        target=now + target_s,
        kind=KIND,
        may_move=may_move,
    )
    return owner.step(arrived, now)


def _learn(
    owner: admission_lib.Admission, run_s: float, *, count: int = 20
) -> float:
    """Runs requests one after the other; returns the time of the last end."""
    now = 0.0
    for number in range(count):
        _arrive(owner, f"learn-{number}", now, may_move=False)
        now += run_s
        _tell(owner, now)
        owner.step(events.Ended(request_id=f"learn-{number}"), now)
    return now


def test_load_that_cannot_be_true_is_not_read() -> None:
    """A malformed or contradictory load weighs nothing."""
    sound = server_load.parse_server_load(" 3, 0,8,250 ")
    assert sound == server_load.ServerLoad(
        running=3, waiting=0, slots=8, slowdown=2.5
    )
    three = server_load.parse_server_load("3,0,8")
    assert three is not None
    assert three.slowdown is None
    for text in (
        *("", "3,0", "3,0,8,100,1", "9,0,8,100", "0,0,0,100", "-1,0,8,100"),
        *("0,0,8,0", "0,0,8,10001", "0,0,8,1.5", "0,0,8,nan", "0,0,8,1e2"),
        *("0,0,100001,100", "0,1234567,8,100", "0,0,\u00b2,100", "9" * 5000),
    ):
        assert server_load.parse_server_load(text) is None, text


def test_fourth_figure_reaches_the_entries() -> None:
    """Work took 2.5 times as long, and no entry knew."""
    (answer,) = _run("1,0,20,250")
    assert answer.load is not None
    slowdown = answer.load.slowdown
    assert isinstance(slowdown, float)
    assert slowdown > 1.5


def test_other_loads_leave_the_messages_as_they_were() -> None:
    """Servers that tell three figures, or nonsense, are served as before."""
    for load in ("1,0,20", "x", "21,0,20,250", "1,0,20,250,1"):
        (answer,) = _run(load)
        encoded = hop.MESSAGES.encode(answer)
        assert b"slowdown" not in encoded, load
        assert b"usual_run_s" not in encoded, load
    (answer,) = _run("1,0,20,250", status=421)
    assert answer.load is not None
    assert answer.load.slowdown is msgspec.UNSET


def test_three_figures_place_by_time_where_settings_say_so() -> None:
    """Uneven servers without a slowdown were left to the usual placement."""
    options = owned_server.OwnerOptions(assumes_usual_speed=True)
    answers = _run("1,0,4", "1,0,4", options=options)
    for answer in answers:
        assert answer.load is not None
        assert answer.load.slowdown == 1.0


def test_sound_load_counts_after_a_malformed_one() -> None:
    """A malformed load neither ends the thread nor the reports."""
    loads = ("1,0,20,250", "9" * 5000, "1,0,20,x")
    assert all(
        answer.load is not None and answer.load.slowdown is not msgspec.UNSET
        for answer in _run(*loads)
    )


def test_owner_holds_back_what_its_server_cannot_start() -> None:
    """Work of callers that left filled a server, which reset connections."""
    owner = _create(4)
    for name in "abcd":
        _arrive(owner, name, 0.0, may_move=False)
    _arrive(owner, "e", 0.0, target_s=5.0, may_move=False)
    assert not _tell(owner, 0.1, running=4, waiting=2)
    assert not owner.step(events.Ended(request_id="a"), 0.1)
    assert owner.held_back == 2
    admitted = owner.step(events.Tick(), 0.4)
    assert [each.request_id for each in _admitted(admitted)] == ["e"]


def _admitted(actions: tuple[events.Action, ...]) -> list[events.Admitted]:
    return [each for each in actions if isinstance(each, events.Admitted)]


def test_fewer_slots_than_announced_are_kept() -> None:
    """A server that has become smaller is not filled by its old size."""
    owner = _create(4)
    _tell(owner, 0.0, slots=2)
    for name in "abc":
        _arrive(owner, name, 0.0, target_s=5.0, may_move=False)
    assert (owner.running, owner.waiting) == (2, 1)


def test_long_runs_do_not_make_short_ones_hopeless() -> None:
    """3% of the work takes 7 times as long, and the mean followed it."""
    source = random.Random(3)
    times = run_times.RunTimes()
    steady = run_times.SteadyRunTimes(run_times.RunTimes())
    highest = highest_steady = 0.0
    for _ in range(2000):
        run_s = 0.7 if source.random() < 0.03 else 0.1
        times.record(KIND, run_s)
        steady.record(KIND, run_s)
        highest = max(highest, times.estimate(KIND))
        highest_steady = max(highest_steady, steady.estimate(KIND))
    assert highest > 0.2
    assert highest_steady < 0.16


def test_work_that_would_be_late_here_is_refused_at_once() -> None:
    """A slowed server kept requests that another would answer in time."""
    owner = _create(4)
    now = _learn(owner, 0.1)
    _tell(owner, now, slowdown=4.0)
    assert _admitted(_arrive(owner, "idle", now))
    (refused,) = _arrive(owner, "late", now)
    assert isinstance(refused, events.Refused)
    assert refused.reason is events.RefusalReason.EXPECTED_LATE
    assert _admitted(_arrive(owner, "last", now, may_move=False))
    assert _admitted(_arrive(owner, "patient", now, target_s=1.0))


def test_retry_after_tells_when_a_slot_is_free() -> None:
    """Callers came back while the slots were still in use, or much later."""
    owner = _create(1)
    now = _learn(owner, 0.1)
    _arrive(owner, "first", now)
    (refused,) = _arrive(owner, "late", now + 0.02, target_s=0.12)
    assert isinstance(refused, events.Refused)
    assert 0.07 < refused.retry_after_s < 0.09


def test_server_that_tells_nothing_new_counts_as_usual() -> None:
    """Reports stopped in a slow moment, and the server got nothing more."""
    owner = _create(4)
    now = _learn(owner, 0.1)
    _tell(owner, now, slowdown=4.0)
    _arrive(owner, "running", now)
    assert _admitted(_arrive(owner, "later", now + 0.6))


def test_server_that_lies_is_known_by_its_run_times() -> None:
    """A server told that it was idle and as fast as usual, and was not."""
    owner = _create(4)
    _learn(owner, 0.1)
    now = _learn(owner, 0.5, count=40)
    _arrive(owner, "running", now)
    (refused,) = _arrive(owner, "late", now)
    assert isinstance(refused, events.Refused)


load_tests = fixtures.collect(__name__)
