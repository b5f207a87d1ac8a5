"""Tests of the turns of large answers on an owner's outbound link."""

import time

from lovagesaddle.core.routing import answer_scheduler
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import answer_turns
from tests import answer_link
from tests import fixtures

LINK_BYTES_S = 100_000.0
PART_BYTES = 10_000
# A link of 6.3 Mbit/s.
THIN_BYTES_S = 787_500.0
SLOTS = 5
REPLAY_S = 60.0


def _ask(
    scheduler: answer_scheduler.AnswerScheduler,
    name: str,
    *,
    left_bytes: int = 50_000,
    now: float = 0.0,
    priority: int = 1,
    is_last: bool = False,
) -> list[str]:
    event = answer_scheduler.Asked(
        attempt_id=name,
        part_bytes=PART_BYTES,
        left_bytes=left_bytes,
        priority=priority,
        is_first=True,
        is_last=is_last,
    )
    return [each.attempt_id for each in scheduler.step(event, now)]


def _step(
    scheduler: answer_scheduler.AnswerScheduler,
    event: answer_scheduler.Event,
    now: float,
) -> list[str]:
    return [each.attempt_id for each in scheduler.step(event, now)]


def test_link_carries_a_bounded_number_of_parts() -> None:
    """The next part goes when one has arrived: by rank, then by the rest."""
    scheduler = answer_scheduler.AnswerScheduler(LINK_BYTES_S)
    assert _ask(scheduler, "a") == ["a"]
    assert _ask(scheduler, "b") == ["b"]
    assert _ask(scheduler, "long", left_bytes=90_000) == []
    assert _ask(scheduler, "short", left_bytes=20_000) == []
    assert _ask(scheduler, "urgent", left_bytes=95_000, priority=0) == []
    arrived = answer_scheduler.Arrived
    assert _step(scheduler, arrived(attempt_id="a"), 0.1) == ["urgent"]
    assert _step(scheduler, arrived(attempt_id="b"), 0.2) == ["short"]
    gone = answer_scheduler.Withdrawn(attempt_id="short")
    assert _step(scheduler, gone, 0.2) == ["long"]


def test_part_that_nobody_confirms_gives_its_turn_back() -> None:
    """A last part is confirmed by nothing; a lost entry by no message."""
    scheduler = answer_scheduler.AnswerScheduler(LINK_BYTES_S)
    assert _ask(scheduler, "last", left_bytes=PART_BYTES, is_last=True)
    assert _ask(scheduler, "lost")
    assert _ask(scheduler, "next") == []
    tick = answer_scheduler.Tick()
    assert scheduler.tick_at == 0.2
    assert _step(scheduler, tick, 0.19) == []
    assert _step(scheduler, tick, 0.2) == ["next"]
    assert _ask(scheduler, "other", now=0.3) == []
    assert _step(scheduler, tick, answer_scheduler.IDLE_TIMEOUT_S) == ["other"]


def test_request_that_the_link_cannot_serve_is_refused() -> None:
    """It has not run; the time until there is room is told."""
    scheduler = answer_scheduler.AnswerScheduler(LINK_BYTES_S)
    assert not scheduler.compute_delay(0.0, run_s=0.1, by=0.2)
    for number in range(6):
        _ask(scheduler, f"r{number}")
    # Four answers of 0.5 s wait, and its own takes 0.5 s.
    assert scheduler.compute_delay(0.0, run_s=0.1, by=2.0) == 0.5
    assert not scheduler.compute_delay(0.0, run_s=0.1, by=2.6)


def test_small_answers_do_not_wait_behind_large_ones() -> None:
    """Replays downloads and calls at one of ten servers of a thin link.

    104 downloads of 90 kB and 600 calls a second, of which the link can't carry
    all. Sent whole, downloads fill the link and calls come late.
    """
    kinds = (
        answer_link.Kind(
            name="call",
            per_s=60.0,
            run_s=0.0422,
            target_s=0.25,
            deadline_s=0.766,
            priority=0,
            answer_bytes=400,
        ),
        answer_link.Kind(
            name="download",
            per_s=10.4,
            run_s=0.133,
            target_s=0.901,
            deadline_s=2.099,
            priority=2,
            answer_bytes=90_000,
        ),
    )
    shares = [
        answer_link.AnswerLink(
            kinds,
            slots=SLOTS,
            link_bytes_s=THIN_BYTES_S,
            part_bytes=part_bytes,
        ).run(REPLAY_S)
        for part_bytes in (0, answer_scheduler.compute_part_bytes(THIN_BYTES_S))
    ]
    whole, parts = shares
    assert whole["call"] < 0.1 and whole["download"] < 0.1, whole
    assert parts["call"] > 0.99 and parts["download"] > 0.7, parts


def test_part_whose_entry_left_waits_no_longer() -> None:
    """Its turn goes to the next part."""
    turns = answer_turns.AnswerTurns(LINK_BYTES_S)
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    for name in ("a", "b"):
        assert _send(turns, name, guard)
    assert turns.wait_s > 0
    gone = watchdog.Guard(time.monotonic() + 60.0, lambda: True)
    gone.check(time.monotonic())
    assert not _send(turns, "c", gone)
    turns.record_arrival("a")
    assert _send(turns, "d", guard)


def _send(
    turns: answer_turns.AnswerTurns, name: str, guard: watchdog.Guard
) -> bool:
    pull = hop.AnswerPull(
        attempt_id=name,
        offset=0,
        left_bytes=50_000,
        remaining_ms=1000,
        priority=1,
    )
    part = hop.AnswerPart(
        attempt_id=name, offset=0, data=bytes(PART_BYTES), is_last=False
    )
    return turns.send_next(pull, part, guard)


load_tests = fixtures.collect(__name__)
