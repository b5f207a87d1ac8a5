"""Tests of the quarantine of requests that crash backend servers."""

import dataclasses
import random

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import admission as admission_lib
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import quarantine as quarantine_lib
from lovagesaddle.core.routing import queues
from tests import fixtures

Verdict = quarantine_lib.Verdict

POISON = b"poison" + bytes(10)
COMMON = b"common" + bytes(10)
SERVERS = 7
STEP_S = 0.01
RUN_S = 0.05
CRASH_AFTER_S = 0.02
RESTART_S = 1.0
RESEND_EVERY_S = 0.1


def _crash_server(
    node: quarantine_lib.Quarantine,
    server: str,
    *running: tuple[bytes, bool],
    now: float = 0.0,
) -> tuple[quarantine_lib.SpreadMarks, ...]:
    event = quarantine_lib.ServerDied(
        server_id=server,
        incarnation=1,
        running=tuple(
            quarantine_lib.RunningRequest(
                fingerprint=fingerprint, suspected=suspected
            )
            for fingerprint, suspected in running
        ),
    )
    return node.step(event, now)


def test_second_crash_as_the_only_suspect_refuses_the_request() -> None:
    """One crash makes a suspect; a second one as a suspect refuses it."""
    node = quarantine_lib.Quarantine()
    assert node.classify(POISON, 0.0) is Verdict.CLEAR
    _crash_server(node, "s0", (POISON, False), (COMMON, False))
    assert node.classify(POISON, 0.0) is Verdict.SUSPECT
    _crash_server(node, "s1", (POISON, True), (COMMON, False))
    assert node.classify(POISON, 0.0) is Verdict.REFUSED
    assert node.classify(COMMON, 0.0) is Verdict.SUSPECT


def test_crash_reported_by_many_nodes_counts_once() -> None:
    """Marks of one crash from several nodes count as one mark."""
    node = quarantine_lib.Quarantine()
    (spread,) = _crash_server(node, "s0", (POISON, True))
    for _ in range(5):
        node.step(quarantine_lib.MarksReceived(marks=spread.marks), 0.1)
    assert node.classify(POISON, 0.1) is Verdict.SUSPECT


def test_marks_of_one_crash_differ_for_each_request() -> None:
    """Mark IDs differ by request: nodes forward each mark ID only once."""
    node = quarantine_lib.Quarantine()
    (spread,) = _crash_server(node, "s0", (POISON, False), (COMMON, True))
    mark_ids = {mark.mark_id for mark in spread.marks}
    assert len(mark_ids) == 2
    assert [mark.suspected for mark in spread.marks] == [False, True]


def test_answer_clears_a_suspect() -> None:
    """A request that ran during a crash is clear once it is answered."""
    node = quarantine_lib.Quarantine()
    _crash_server(node, "s0", (COMMON, False))
    node.step(quarantine_lib.Answered(fingerprint=COMMON), 0.1)
    assert node.classify(COMMON, 0.1) is Verdict.CLEAR


def test_late_answer_does_not_lift_a_refusal() -> None:
    """A refused request stays refused until its time is over."""
    node = quarantine_lib.Quarantine()
    _crash_server(node, "s0", (POISON, False))
    _crash_server(node, "s1", (POISON, True))
    node.step(quarantine_lib.Answered(fingerprint=POISON), 0.1)
    assert node.classify(POISON, 0.1) is Verdict.REFUSED


def test_refusal_ends_and_one_more_crash_doubles_it() -> None:
    """After a refusal a request is a suspect; a crash doubles the refusal."""
    node = quarantine_lib.Quarantine()
    _crash_server(node, "s0", (POISON, False))
    _crash_server(node, "s1", (POISON, True))
    again = quarantine_lib.REFUSAL_S + 1
    assert node.classify(POISON, again) is Verdict.SUSPECT
    _crash_server(node, "s2", (POISON, True), now=again)
    later = again + 2 * quarantine_lib.REFUSAL_S - 1
    assert node.classify(POISON, later) is Verdict.REFUSED
    forgotten = later + quarantine_lib.MARK_MEMORY_S + 2
    assert node.classify(POISON, forgotten) is Verdict.CLEAR


def test_memory_is_bounded() -> None:
    """Marks of too many requests evict only the oldest ones."""
    node = quarantine_lib.Quarantine()
    for number in range(quarantine_lib.MAX_RECORDS + 10):
        name = number.to_bytes(16, "big")
        _crash_server(node, f"s{number}", (name, False), now=number * 0.001)
    first = bytes(16)
    assert node.classify(first, 5.0) is Verdict.CLEAR
    assert node.classify(name, 5.0) is Verdict.SUSPECT


def test_fingerprint_separates_its_fields() -> None:
    """Requests that differ in any field have different fingerprints."""

    def compute(method: str, target: str, body: bytes) -> bytes:
        return quarantine_lib.compute_fingerprint(
            method=method,
            service="desk",
            route="r",
            target=target,
            body_digest=body,
        )

    found = {
        compute("GET", "/a", b""),
        compute("GET", "/b", b""),
        compute("POST", "/a", b""),
        compute("GET", "/a", b"x"),
    }
    assert len(found) == 4


def test_owner_runs_one_suspect_at_a_time() -> None:
    """Suspects wait for each other while other requests run."""
    owner = admission_lib.Admission(
        limit=concurrency_limits.FixedLimit(4), order=queues.DeadlineOrder()
    )

    def arrive(name: str, suspect: bool) -> int:
        event = admission_events.Arrived(
            request_id=name,
            priority=services.Priority.NORMAL,
            deadline=9.0,
            suspect=suspect,
        )
        return len(owner.step(event, 0.0))

    counts = [arrive("a", True), arrive("b", True), arrive("c", False)]
    assert counts == [1, 0, 1]
    (admitted,) = owner.step(admission_events.Ended(request_id="a"), 0.1)
    assert isinstance(admitted, admission_events.Admitted)
    assert admitted.request_id == "b"


@dataclasses.dataclass(kw_only=True)
class Run:
    """A request that runs on a server."""

    name: bytes
    server: int
    entry: int
    since: float
    suspected: bool
    resent: int = 0


class Mesh:
    """Simulates servers with an owner and entry each; marks spread late."""

    def __init__(self, *, entries: int, spread_s: float) -> None:
        self.spread_s = spread_s
        self.random = random.Random(7)
        self.entries = entries
        self.now = 0.0
        self.nodes = [quarantine_lib.Quarantine() for _ in range(SERVERS)]
        self.up_at = [0.0] * SERVERS
        self.incarnations = [1] * SERVERS
        self.runs: list[Run] = []
        self.spreading: list[tuple[float, quarantine_lib.SpreadMarks]] = []
        self.crashes = 0
        self.refused_good = 0
        self.answered_good = 0
        self.resends: list[tuple[float, bytes]] = []

    def send(self, name: bytes, entry: int) -> bool:
        """Sends a request through an entry; returns False if it is refused."""
        verdict = self.nodes[entry].classify(name, self.now)
        up = [s for s in range(SERVERS) if self.up_at[s] <= self.now]
        if verdict is Verdict.REFUSED:
            return False
        if not up:
            return True
        server = up[self.random.randrange(len(up))]
        hinted = verdict is Verdict.SUSPECT
        seen = self.nodes[server].classify(name, self.now, hinted=hinted)
        if seen is Verdict.REFUSED:
            return False
        suspected = seen is Verdict.SUSPECT
        busy = any(r.suspected and r.server == server for r in self.runs)
        if suspected and busy:
            self.resends.append((self.now + RUN_S, name))
            return True
        self.runs.append(
            Run(
                name=name,
                server=server,
                entry=entry,
                since=self.now,
                suspected=suspected,
            )
        )
        return True

    def advance(self) -> None:
        """Advances the time by one step."""
        self.now += STEP_S
        for at, spread in tuple(self.spreading):
            if at <= self.now:
                self.spreading.remove((at, spread))
                for node in self.nodes:
                    node.step(
                        quarantine_lib.MarksReceived(marks=spread.marks),
                        self.now,
                    )
        for run in tuple(self.runs):
            age_s = self.now - run.since
            if run.name == POISON and age_s >= CRASH_AFTER_S:
                self._crash(run.server)
            elif age_s >= RUN_S and run in self.runs:
                self.runs.remove(run)
                self.answered_good += 1
                answered = quarantine_lib.Answered(fingerprint=run.name)
                for number in {run.server, run.entry}:
                    self.nodes[number].step(answered, self.now)

    def _crash(self, server: int) -> None:
        crashed = [run for run in self.runs if run.server == server]
        self.runs = [run for run in self.runs if run.server != server]
        self.crashes += 1
        event = quarantine_lib.ServerDied(
            server_id=f"s{server}",
            incarnation=self.incarnations[server],
            running=tuple(
                quarantine_lib.RunningRequest(
                    fingerprint=run.name, suspected=run.suspected
                )
                for run in crashed
            ),
        )
        for spread in self.nodes[server].step(event, self.now):
            self.spreading.append((self.now + self.spread_s, spread))
            # The end of its attempt tells the entry of the crash.
            for entry in range(self.entries if self.entries == 1 else 0):
                self.nodes[entry].step(
                    quarantine_lib.MarksReceived(marks=spread.marks), self.now
                )
        self.incarnations[server] += 1
        self.up_at[server] = self.now + RESTART_S
        self.resends.extend(
            (self.now + 0.2, run.name) for run in crashed if run.name != POISON
        )


def _resend_poison(entries: int, spread_s: float) -> Mesh:
    mesh = Mesh(entries=entries, spread_s=spread_s)
    sent = 0
    for tick in range(int(50 * RESEND_EVERY_S / STEP_S) + 200):
        if tick % int(RESEND_EVERY_S / STEP_S) == 0 and sent < 50:
            mesh.send(POISON, sent % entries)
            sent += 1
        due = [each for each in mesh.resends if each[0] <= mesh.now]
        mesh.resends = [each for each in mesh.resends if each not in due]
        names = [name for _, name in due]
        names += [COMMON, tick.to_bytes(16, "big"), b"!" + bytes(15)]
        for name in names:
            if not mesh.send(name, mesh.random.randrange(SERVERS)):
                mesh.refused_good += 1
        mesh.advance()
    return mesh


def test_poison_resent_through_one_entry_kills_two_servers() -> None:
    """50 resends through one entry crash at most 2 servers."""
    mesh = _resend_poison(entries=1, spread_s=1.0)
    assert mesh.crashes <= quarantine_lib.MARKS_TO_REFUSE, mesh.crashes
    assert mesh.refused_good == 0, mesh.refused_good
    assert mesh.answered_good > 1000


def test_poison_resent_through_all_entries_is_bounded_by_the_spread() -> None:
    """50 resends crash 2 servers, and one for each sent in two spread times."""
    for spread_s in (0.1, 0.3, 1.0):
        mesh = _resend_poison(entries=SERVERS, spread_s=spread_s)
        during_spread = round(spread_s / RESEND_EVERY_S)
        bound = quarantine_lib.MARKS_TO_REFUSE + 2 * during_spread
        assert mesh.crashes <= bound, (spread_s, mesh.crashes)
        assert mesh.refused_good == 0, (
            spread_s,
            mesh.refused_good,
        )


def test_mark_of_a_crash_before_the_last_answer_is_ignored() -> None:
    """A crash before the last answer was caused by another request."""
    node = quarantine_lib.Quarantine()
    node.step(quarantine_lib.Answered(fingerprint=COMMON), 2.0)
    marks = tuple(
        quarantine_lib.make_mark(
            server_id=f"s{number}",
            incarnation=1,
            fingerprint=COMMON,
            suspected=True,
            age_s=1.0,
        )
        for number in range(5)
    )
    node.step(quarantine_lib.MarksReceived(marks=marks), 2.5)
    assert node.classify(COMMON, 2.5, hinted=True) is Verdict.CLEAR


def test_answered_request_is_refused_after_four_crashes() -> None:
    """A request that was answered before is refused after four crashes."""
    node = quarantine_lib.Quarantine()
    node.step(quarantine_lib.Answered(fingerprint=POISON), 0.0)
    for number in range(quarantine_lib.UNSUSPECTED_MARKS_TO_REFUSE):
        assert node.classify(POISON, 1.0) is Verdict.CLEAR
        _crash_server(node, f"s{number}", (POISON, False), now=1.0)
    assert node.classify(POISON, 1.0) is Verdict.REFUSED


load_tests = fixtures.collect(__name__)
