"""Tests of frames, merged acks, the rate limiter and the backoff."""

import random

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import stamps
from tests import fixtures

BEAT = messages.ParentBeat(
    version=70_000,
    digest=bytes(range(16)),
    stamp=stamps.LeaderStamp(term=3, counter=70_000),
)


def test_a_frame_comes_back_as_it_was() -> None:
    """Compressed and plain frames decode to the encoded message."""
    later = messages.RetryLater(after_s=0.5)
    for message in (BEAT, later):
        frame = wire.encode(message)
        assert wire.decode(frame, peer="n1") == message
        assert wire.name_kind(frame) == type(message).__name__


def test_an_idle_beat_is_small() -> None:
    """The frame of a heartbeat does not contain its field names."""
    assert len(wire.encode(BEAT)) <= 44


def test_damaged_frames_are_refused() -> None:
    """Empty, truncated and unknown frames raise an error that has the peer."""
    frame = wire.encode(BEAT)
    for bad in (b"", frame[:-4], b"\xff" + frame[1:], b"\x7f{}", b"\x88x"):
        try:
            wire.decode(bad, peer="n1")
        except errors.CodecError as error:
            assert error.peer == "n1"
            continue
        raise AssertionError(bad)


def test_folded_acks_count_a_node_once() -> None:
    """Of a node that is reported twice only the newest version counts."""
    a, b, c = b"aaaaaa", b"bbbbbb", b"cccccc"
    reports = (
        (messages.AckGroup(version=4, tokens=a + b),),
        (
            messages.AckGroup(version=5, tokens=b),
            messages.AckGroup(version=3, tokens=c),
        ),
    )
    for order in (reports, reports[::-1]):
        assert acks.merge(order) == (
            messages.AckGroup(version=5, tokens=b),
            messages.AckGroup(version=4, tokens=a),
            messages.AckGroup(version=3, tokens=c),
        )


def test_refused_snapshots_are_spread_over_time() -> None:
    """Requests beyond the burst get distinct turns at the steady rate."""
    limiter = rate_limiter.RateLimiter(rate=4.0, burst=2)
    waits = [limiter.acquire(0.0) for _ in range(10)]
    assert waits[:2] == [0.0, 0.0]
    assert waits[2:] == [0.25 * turn for turn in range(1, 9)]
    assert limiter.acquire(10.0) == 0.0


def test_backoff_is_jittered_and_capped() -> None:
    """The mean delay doubles up to the cap; `reset` restores the first."""
    backoff = backoff_lib.Backoff(
        first_s=1.0, cap_s=4.0, random=random.Random(1)
    )
    delays = [backoff.draw() for _ in range(50)]
    assert 0.5 <= delays[0] <= 1.5 and len(set(delays)) == 50
    assert all(2.0 <= delay <= 6.0 for delay in delays[2:])
    backoff.reset()
    assert backoff.draw() <= 1.5


load_tests = fixtures.collect(__name__)
