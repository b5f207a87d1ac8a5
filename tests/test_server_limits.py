"""Tests of backend servers that state a limit, or that they are leaving."""

import dataclasses
import time

from returns import result

from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import known_statements
from lovagesaddle.core.routing import quarantine
from lovagesaddle.core.routing import server_statements
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from tests import fixtures
from tests import routing_mesh

LIMIT = 2.0
ARRIVALS = 200
# The target: in no window does a server get more than this share of what its
# limit allows, and a few requests beside it.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
INSTANCE = "i-1"
BORN_MS = 1000


class StatingPool(client.ConnectionPool):
    """Answers each request at once, with the given headers.

    Attributes:
      headers: Headers of the answers; None to break off without an answer.
      status: Status of the answers.
      sent_at: When each request was sent.
    """

    def __init__(self, *headers: tuple[str, str]) -> None:
        super().__init__()
        self.headers: tuple[tuple[str, str], ...] | None = headers
        self.status = 200
        self.sent_at: list[float] = []

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Returns an empty answer, or its failure."""
        del request, guard
        self.sent_at.append(time.monotonic())
        if self.headers is None:
            return result.Failure(
                client.ExchangeError(
                    step="read answer",
                    peer=address,
                    cause="truncated",
                    kind=client.FailureKind.TRUNCATED,
                )
            )
        return result.Success(
            client.Reply(status=self.status, headers=self.headers, body=b"")
        )


def count_most(sent_at: list[float]) -> int:
    """Returns the most requests in any window."""
    return max(
        sum(start <= each < start + WINDOW_S for each in sent_at)
        for start in sent_at
    )


def _make_owner(
    pool: client.ConnectionPool, born_ms: int = BORN_MS
) -> owner_lib.Owner:
    owner = owner_lib.Owner(
        pool=pool, shared_quarantine=shared_quarantine_lib.SharedQuarantine()
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1", INSTANCE, born_ms)
    return owner


def _run(
    owner: owner_lib.Owner,
    attempt_id: str,
    known: known_statements.KnownStatement | None = None,
) -> hop.RunAnswer:
    guard = watchdog.Guard(time.monotonic() + 60.0, lambda: False)
    request = routing_mesh.make_run_request(attempt_id)
    return owner.run(dataclasses.replace(request, known=known), guard)


def _know(
    *,
    born_ms: int = BORN_MS,
    rate_limit: float | None = None,
    is_leaving: bool = False,
) -> known_statements.KnownStatement:
    return known_statements.KnownStatement(
        instance=INSTANCE,
        born_ms=born_ms,
        rate_limit=rate_limit,
        is_leaving=is_leaving,
    )


def test_server_gets_no_more_than_its_stated_limit() -> None:
    """A server named a limit and got as many requests as before."""
    pool = StatingPool(("Server-Limit", str(LIMIT)))
    owner = _make_owner(pool)
    answers = [_run(owner, f"r.{n}") for n in range(ARRIVALS)]
    allowed = ALLOWED_SHARE * LIMIT * WINDOW_S + ALLOWED_EXTRA
    assert count_most(pool.sent_at) <= allowed
    refused = [a for a in answers if a.outcome is hop.RunOutcome.REFUSED]
    assert len(refused) == ARRIVALS - len(pool.sent_at)


def test_server_that_states_that_it_leaves_gets_nothing_new() -> None:
    """A server that left said so in its answers only, and was used on."""
    pool = StatingPool(("Server-Leaving", "1"))
    owner = _make_owner(pool)
    assert _run(owner, "r.1").outcome is hop.RunOutcome.ANSWERED
    answer = _run(owner, "r.2")
    assert answer.cause == admission_events.RefusalReason.DRAINING.value
    assert len(pool.sent_at) == 1


def test_announcement_does_not_restore_a_server_that_states_it_leaves() -> None:
    """A leaving server announced itself as ready as before."""
    pool = StatingPool(("Server-Leaving", "1"))
    owner = owner_lib.Owner(
        pool=pool, shared_quarantine=shared_quarantine_lib.SharedQuarantine()
    )
    servers = local_servers.LocalServers(node_id="n0", owner=owner)
    announcement = local_servers.Announcement(
        service="desk", address="127.0.0.1:1", slots=4, connections=4
    )
    servers.announce(announcement)
    assert _run(owner, "r.1").outcome is hop.RunOutcome.ANSWERED
    servers.announce(announcement)
    assert (
        _run(owner, "r.2").cause
        == admission_events.RefusalReason.DRAINING.value
    )
    # After a failed connect another process may have taken its place.
    servers.record_probe_failure("desk")
    servers.announce(announcement)
    assert _run(owner, "r.3").outcome is hop.RunOutcome.ANSWERED


def test_restarted_owner_keeps_the_limit_that_entries_know() -> None:
    """The server got a full load until it answered its restarted owner."""
    pool = StatingPool()
    pool.headers = None
    owner = _make_owner(pool)
    known = _know(rate_limit=LIMIT)
    answers = [_run(owner, f"r.{n}", known) for n in range(ARRIVALS)]
    assert {answer.stated for answer in answers} == {known}
    allowed = ALLOWED_SHARE * LIMIT * WINDOW_S + ALLOWED_EXTRA
    assert count_most(pool.sent_at) <= allowed


def test_limit_known_of_another_process_is_ignored() -> None:
    """A server that took over the name of another one was held to its limit."""
    owner = _make_owner(StatingPool())
    known = _know(born_ms=BORN_MS - 1, rate_limit=0.0)
    for number in range(5):
        answer = _run(owner, f"r.{number}", known)
        assert answer.outcome is hop.RunOutcome.ANSWERED
        assert answer.stated == _know()


def test_restarted_owner_sends_nothing_to_a_server_known_to_leave() -> None:
    """After a restart of its node, a server that had left was in use again."""
    pool = StatingPool()
    owner = _make_owner(pool)
    answer = _run(owner, "r.1", _know(is_leaving=True))
    assert answer.cause == admission_events.RefusalReason.DRAINING.value
    # Other entries need not know.
    answer = _run(owner, "r.2")
    assert answer.cause == admission_events.RefusalReason.DRAINING.value
    assert answer.stated == _know(is_leaving=True)
    assert not pool.sent_at


def test_server_of_unknown_start_is_refused_only_to_who_knows_it_leaves() -> (
    None
):
    """A server found by its health check may be the one that left, or not."""
    owner = _make_owner(StatingPool(), born_ms=0)
    known = _know(is_leaving=True)
    answer = _run(owner, "r.1", known)
    assert answer.cause == admission_events.RefusalReason.DRAINING.value
    assert _run(owner, "r.2").outcome is hop.RunOutcome.ANSWERED
    owner.identify(routing_mesh.make_server(0), BORN_MS + 1)
    answer = _run(owner, "r.3", known)
    assert answer.outcome is hop.RunOutcome.ANSWERED


def test_entry_forgets_a_limit_that_ended_but_no_departure() -> None:
    """The end of a limit is told by the owner; leaving has no end."""
    known = known_statements.KnownStatements()
    known.record("s", _know(rate_limit=3.0))
    known.record("s", _know())
    assert known.find("s") is None
    known.record("s", _know(is_leaving=True))
    known.record("s", _know())
    assert known.find("s") == _know(is_leaving=True)
    known.record("s", _know(born_ms=BORN_MS + 1))
    assert known.find("s") is None


def test_malformed_limit_neither_sets_nor_ends_one() -> None:
    """A garbled header of one answer must not change what others stated."""
    pool = StatingPool(("Server-Limit", "0.5"))
    owner = _make_owner(pool)
    _run(owner, "r.1")
    pool.headers = (("Server-Limit", "-3"),)
    assert _run(owner, "r.2").outcome is hop.RunOutcome.ANSWERED
    assert _run(owner, "r.3").outcome is hop.RunOutcome.REFUSED
    for text in ("", "nan", "inf", "-1", "x", "\u0663", "1" * 99):
        stated = server_statements.parse_statement(
            (("server-limit", text),), header_names.DEFAULT
        )
        assert stated.rate_limit is None
        shown = text[: server_statements.MAX_LIMIT_CHARS]
        assert stated.malformed == repr(shown)


def test_refusal_of_the_server_does_not_end_its_limit() -> None:
    """A server in need refused a request and got the full load again."""
    pool = StatingPool(("Server-Limit", "0.5"))
    owner = _make_owner(pool)
    _run(owner, "r.1")
    for status, marker in ((503, "Request-Not-Run"), (421, "Server-Leaving")):
        pool.status, pool.headers = status, ((marker, "1"),)
        owner.open(routing_mesh.make_server(0), "127.0.0.1:1", INSTANCE)
        answer = _run(owner, f"r.{status}")
        assert answer.outcome is hop.RunOutcome.SHED
        assert answer.stated == dataclasses.replace(
            _know(rate_limit=0.5), born_ms=0
        )


def test_answer_that_says_nothing_of_the_request_clears_no_suspect() -> None:
    """A request went on crashing servers while others shed it unrun."""
    shared = shared_quarantine_lib.SharedQuarantine()
    pool = StatingPool()
    owner = owner_lib.Owner(pool=pool, shared_quarantine=shared)
    owner.open(routing_mesh.make_server(0), "127.0.0.1:1", INSTANCE, BORN_MS)
    request = routing_mesh.make_run_request("a")
    mark = quarantine.make_mark(
        server_id="crashed",
        incarnation=1,
        fingerprint=request.fingerprint,
        suspected=False,
    )
    shared.add_marks((mark,))
    not_run = (header_names.DEFAULT.not_run, "1")
    for status, headers, verdict in (
        (503, (not_run,), quarantine.Verdict.SUSPECT),
        (400, (not_run,), quarantine.Verdict.SUSPECT),
        (421, (), quarantine.Verdict.SUSPECT),
        (503, (), quarantine.Verdict.SUSPECT),
        (429, (), quarantine.Verdict.SUSPECT),
        (500, (), quarantine.Verdict.CLEAR),
    ):
        pool.status, pool.headers = status, headers
        _run(owner, f"attempt-{status}-{len(headers)}")
        assert shared.classify(request.fingerprint) is verdict, status


load_tests = fixtures.collect(__name__)
