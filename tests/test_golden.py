"""Compares transcripts of sessions with golden files, byte for byte.

`make golden` rewrites the files; review the difference before a commit.
"""

import difflib
import os
import pathlib

from features.support import calls

from tests import fixtures
from tests import sessions

FOLDER = pathlib.Path(__file__).resolve().parent / "golden"
RENEW_VARIABLE = "LOVAGESADDLE_RENEW_GOLDEN"


def test_first_start_to_first_answer() -> None:
    """Three proxies start, a publish is in force, a caller is answered."""
    session = sessions.FleetSession()
    session.start("a1", "b1", "c1")
    session.announce("a1", "b1", "c1")
    session.publish("ana", 1)
    session.send("A", token=False)
    session.send("B")
    session.calls.answer("B")
    _compare("first_start.txt", session.transcript)


def test_conflicting_publishes() -> None:
    """Two operators publish on one base; the loser publishes on a new base."""
    session = sessions.PublishingSession()
    first = session.send_publish("ana", 1, base=0, publish_id="p1")
    session.record_answer(first)
    base = session.read_accepted().publication_version
    ana = session.send_publish("ana", 2, base=base, publish_id="p2")
    luis = session.send_publish("luis", 3, base=base, publish_id="p3")
    session.record_answer(ana)
    session.record_answer(luis)
    session.record_answer(
        session.send_publish("luis", 3, base=base, publish_id="p3")
    )
    base = session.read_accepted().publication_version
    session.record_answer(
        session.send_publish("luis", 3, base=base, publish_id="p4")
    )
    session.record_history()
    _compare("conflicting_publishes.txt", session.transcript)


def test_leader_loss_in_a_publish() -> None:
    """The leader crashes before it answers; a resend gets the result."""
    session = sessions.PublishingSession()
    session.record_answer(
        session.send_publish("ana", 1, base=0, publish_id="p1")
    )
    base = session.read_accepted().publication_version
    lost = session.send_publish("ana", 2, base=base, publish_id="p2")
    leader = session.find_leader()
    session.record_event(f"{leader} is lost")
    session.crash(leader)
    session.record_answer(lost)
    session.record_answer(
        session.send_publish("ana", 2, base=base, publish_id="p2")
    )
    session.record_event(f"{leader} returns")
    session.restart(leader)
    session.settle()
    session.record_history()
    _compare("leader_loss.txt", session.transcript)


def test_drain_under_traffic() -> None:
    """A server drains while it runs requests and new ones arrive."""
    session = _start_fleet()
    session.send("A")
    session.send("B")
    session.drain("a1")
    session.send("C")
    session.run(1.0)
    session.send("D")
    for name in ("A", "B", "C", "D"):
        session.calls.answer(name)
    _compare("drain_under_traffic.txt", session.transcript)


def test_crashing_request() -> None:
    """A request crashes two servers and is refused afterwards."""
    session = _start_fleet()
    for number in range(1, 5):
        session.send(f"X#{number}", idempotent=True)
        while running := _find_crash_target(session):
            session.calls.crash(running)
        for server in session.calls.servers.values():
            session.calls.restart(server, sessions.SLOTS)
        session.run(0.5)
    session.send("B")
    session.calls.answer("B")
    _compare("crashing_request.txt", session.transcript)


def test_rolling_replacement() -> None:
    """Every proxy and its backend server are replaced, one at a time."""
    session = _start_fleet()
    for number, node_id in enumerate(("a1", "b1", "c1")):
        session.send(f"before{number}")
        session.drain(node_id)
        session.send(f"during{number}")
        session.calls.answer(f"before{number}")
        session.calls.answer(f"during{number}")
        session.run(1.0)
        session.leave(node_id)
        session.start(node_id)
        session.announce(node_id)
    session.publish("ana", 2)
    session.send("last")
    session.calls.answer("last")
    _compare("rolling_replacement.txt", session.transcript)


def _start_fleet() -> sessions.FleetSession:
    session = sessions.FleetSession()
    session.start("a1", "b1", "c1")
    session.announce("a1", "b1", "c1")
    session.publish("ana", 1)
    session.transcript.replace_all("started as in first_start.txt")
    return session


def _find_crash_target(
    session: sessions.FleetSession,
) -> calls.BackendServer | None:
    for server in session.calls.servers.values():
        if any(attempt.startswith("X#") for attempt in server.running):
            return server
    return None


def _compare(name: str, transcript: sessions.Transcript) -> None:
    path = FOLDER / name
    seen = transcript.render()
    if os.environ.get(RENEW_VARIABLE):
        path.write_text(seen, encoding="utf-8")
        return
    golden = path.read_text(encoding="utf-8")
    difference = difflib.unified_diff(
        golden.splitlines(keepends=True),
        seen.splitlines(keepends=True),
        fromfile=f"golden/{name}",
        tofile="this run",
    )
    text = "".join(difference)
    assert not text, f"\n{text}run make golden if the change is intended"


load_tests = fixtures.collect(__name__)
