"""Tests of the scheduler of large bodies on an owner's link."""

import time

from lovagesaddle.core.routing import body_scheduler
from lovagesaddle.http import watchdog
from lovagesaddle.node import body_receiver as body_receiver_lib
from tests import fixtures

LINK_BYTES_S = 100_000.0
PART_BYTES = 10_000


def _describe(actions: tuple[body_scheduler.Action, ...]) -> list[str]:
    return [
        f"{type(action).__name__.lower()} {action.attempt_id}"
        for action in actions
    ]


def _offer(
    scheduler: body_scheduler.BodyScheduler,
    name: str,
    *,
    now: float = 0.0,
    body_bytes: int = 60_000,
    priority: int = 1,
    latest_at: float = 10.0,
) -> list[str]:
    event = body_scheduler.Offered(
        attempt_id=name,
        body_bytes=body_bytes,
        priority=priority,
        latest_at=latest_at,
    )
    return _describe(scheduler.step(event, now))


def _withdraw(
    scheduler: body_scheduler.BodyScheduler, name: str, now: float = 0.0
) -> list[str]:
    return _describe(
        scheduler.step(body_scheduler.Withdrawn(attempt_id=name), now)
    )


def test_link_carries_a_bounded_number_of_bodies() -> None:
    """The next body is granted when one before it has arrived."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    assert _offer(scheduler, "a") == ["granted a"]
    assert _offer(scheduler, "b") == ["granted b"]
    assert _offer(scheduler, "c") == []
    assert _offer(scheduler, "d", priority=0) == []
    assert scheduler.wait_s == 2.4
    assert _withdraw(scheduler, "a", 0.6) == ["granted d"]
    assert _withdraw(scheduler, "d", 0.9) == ["granted c"]
    assert _withdraw(scheduler, "b", 0.9) == []
    assert scheduler.wait_s == 0.0


def test_body_that_would_come_too_late_is_declined_at_once() -> None:
    """It doesn't wait until its deadline for a grant."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    assert _offer(scheduler, "a", latest_at=0.5) == ["declined a"]
    assert _offer(scheduler, "b") == ["granted b"]
    assert _offer(scheduler, "c", latest_at=1.1) == ["declined c"]
    assert _offer(scheduler, "d", latest_at=1.3) == ["granted d"]
    assert _offer(scheduler, "e", latest_at=1.7) == ["declined e"]


def test_waiting_body_is_declined_when_the_link_becomes_slow() -> None:
    """A waiting body that a slower link can't carry in time is declined."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    for name in ("a", "b"):
        granted = _offer(scheduler, name, body_bytes=100_000)
        assert granted == [f"granted {name}"]
    assert _offer(scheduler, "c", latest_at=2.7) == []
    declined: list[str] = []
    for number in range(1, 6):
        for name in ("a", "b"):
            event = body_scheduler.PartArrived(
                attempt_id=name, part_bytes=PART_BYTES
            )
            declined += _describe(scheduler.step(event, number * 0.8))
    assert declined == ["declined c"]


def test_idle_link_is_used_at_its_stated_rate() -> None:
    """A slow period doesn't make an owner decline bodies after its end."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    now = 0.0
    for number in range(20):
        assert _offer(scheduler, f"slow-{number}", now=now, latest_at=now + 9.0)
        for _ in range(3):
            now += 0.95
            event = body_scheduler.PartArrived(
                attempt_id=f"slow-{number}", part_bytes=PART_BYTES // 10
            )
            scheduler.step(event, now)
        _withdraw(scheduler, f"slow-{number}", now)
    now += 60.0
    # The body takes 0.6 s at the stated rate.
    assert _offer(scheduler, "a", now=now, latest_at=now + 1.5) == ["granted a"]


def test_unused_transfer_expires() -> None:
    """An entry that is gone doesn't block the link for the others."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    for name in ("a", "b", "c"):
        _offer(scheduler, name)
    event = body_scheduler.PartArrived(attempt_id="b", part_bytes=PART_BYTES)
    scheduler.step(event, 0.5)
    assert scheduler.expires_at == body_scheduler.IDLE_TIMEOUT_S
    actions = scheduler.step(
        body_scheduler.Tick(), body_scheduler.IDLE_TIMEOUT_S
    )
    assert _describe(actions) == ["expired a", "granted c"]


def test_entry_that_disconnects_leaves_the_queue() -> None:
    """Its body is not granted."""
    scheduler = body_scheduler.BodyScheduler(LINK_BYTES_S)
    for name in ("a", "b", "c", "d"):
        _offer(scheduler, name)
    assert _withdraw(scheduler, "c") == []
    assert _withdraw(scheduler, "a", 0.6) == ["granted d"]


def test_part_size_follows_the_rate_of_the_link() -> None:
    """A part takes PART_DURATION_S; an unknown rate gives no parts."""
    assert body_scheduler.compute_part_bytes(0.0) == 0
    assert (
        body_scheduler.compute_part_bytes(1e3) == body_scheduler.MIN_PART_BYTES
    )
    assert body_scheduler.compute_part_bytes(279e3) == 13_950
    assert body_scheduler.compute_part_bytes(125e6) == 6_250_000


def _open(
    body_receiver: body_receiver_lib.BodyReceiver, name: str, body_bytes: int
) -> body_receiver_lib.Decision | None:
    deadline = time.monotonic() + 60.0
    return body_receiver.offer(
        body_scheduler.Offered(
            attempt_id=name,
            body_bytes=body_bytes,
            priority=1,
            latest_at=deadline,
        ),
        watchdog.Guard(deadline, lambda: False),
    )


def test_body_is_joined_from_its_parts() -> None:
    """The body is joined from its parts in order, and returned once."""
    body_receiver = body_receiver_lib.BodyReceiver(LINK_BYTES_S)
    assert isinstance(_open(body_receiver, "a", 5), body_scheduler.Granted)
    assert body_receiver.add_part("a", 0, b"ab")
    assert body_receiver.add_part("a", 2, b"cd")
    assert body_receiver.finish("a", 4, b"e") == b"abcde"
    assert body_receiver.finish("a", 4, b"e") is None


def test_body_with_a_gap_or_an_excess_is_not_run() -> None:
    """A lost, repeated or surplus part invalidates a body."""
    for parts, last in (
        (((2, b"cd"),), (4, b"e")),
        (((0, b"ab"), (0, b"ab")), (4, b"e")),
        (((0, b"abcdef"),), (6, b"")),
        (((0, b"ab"),), (2, b"cd")),
    ):
        body_receiver = body_receiver_lib.BodyReceiver(LINK_BYTES_S)
        _open(body_receiver, "a", 5)
        for offset, data in parts:
            body_receiver.add_part("a", offset, data)
        assert body_receiver.finish("a", *last) is None, parts
        assert isinstance(_open(body_receiver, "b", 5), body_scheduler.Granted)


load_tests = fixtures.collect(__name__)
