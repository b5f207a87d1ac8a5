"""Tests of parsing the heartbeats of backend servers on the platform."""

import json
from typing import Any

from lovagesaddle.platform import heartbeats
from tests import fixtures

BEAT: dict[str, Any] = {
    "Service": "desk",
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}


def test_beat_becomes_an_announcement() -> None:
    """Every field in use is converted, and unknown fields are ignored."""
    beat = heartbeats.parse_heartbeat(
        "i-7", json.dumps({**BEAT, "New": 1}).encode()
    )
    announced = beat.announcement
    assert (announced.service, announced.slots) == ("desk", 8)
    assert (announced.instance, announced.born_ms) == ("i-7", BEAT["born"])
    assert (beat.sequence, beat.is_leaving) == (4, False)
    leaving = {**BEAT, "State": "draining"}
    assert heartbeats.parse_heartbeat(
        "i-7", json.dumps(leaving).encode()
    ).is_leaving


def test_malformed_beats_are_refused() -> None:
    """A heartbeat with a missing or invalid field is refused."""
    bodies = [b"", b"{", b"[]", b"\xff\xfe", b'"beat"']
    for name, value in (
        ("Service", ""),
        ("Service", 7),
        ("Address", "somewhere"),
        ("Slots", 0),
        ("Slots", "8"),
        ("State", "asleep"),
        ("Sequence", -1),
        ("Sequence", 1.5),
        ("born", "now"),
        ("born", 1.5),
    ):
        bodies.append(json.dumps({**BEAT, name: value}).encode())
    for name in ("Service", "Address", "Slots", "State", "Sequence"):
        left = {key: value for key, value in BEAT.items() if key != name}
        bodies.append(json.dumps(left).encode())
    for body in bodies:
        try:
            heartbeats.parse_heartbeat("i-7", body)
        except heartbeats.HeartbeatError as error:
            assert error.peer == "i-7"
        else:
            raise AssertionError(body)


def test_deregistration_may_be_empty() -> None:
    """A deregistration without a body ends the known server process."""
    assert (
        heartbeats.parse_deregistration("i-7", b"")
        == heartbeats.UNKNOWN_BORN_MS
    )
    assert heartbeats.parse_deregistration("i-7", b'{"born": 5}') == 5


load_tests = fixtures.collect(__name__)
