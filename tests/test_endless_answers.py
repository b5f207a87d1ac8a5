"""Tests of answers that never end, on real sockets.

A faulty server may send bytes that are no answer until its client closes the
connection.
"""

import time

from bench import admin as admin_lib
from bench import backend
from bench import stand_in
from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call_chain
from lovagesaddle.http import client
from lovagesaddle.http import watchdog
from lovagesaddle.node import server_discovery
from lovagesaddle.platform import platform_headers
from tests import endless_server
from tests import fixtures
from tests import nodes

DEADLINE_S = 3.0
SHORT_S = 0.3
GAP_S = 0.01
# Limit for the head, interim answers, chunk extensions and trailers of one
# answer: 64 KiB.
HEAD_BYTES = 64 * 1024
# One read may go beyond a limit by this much.
READ_BYTES = 64 * 1024
# Limit for the bodies of all answers at a time: an eighth of a VM with 128 MB.
BODY_BYTES = 16 * 1024 * 1024
OWN = "own"
NEXT = "next"
SERVICE = "orderdesk"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _make_head(length: int, request_id: str = OWN) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n"
    return (
        f"{head}{call_chain.REQUEST_ID_HEADER}: {request_id}\r\n\r\n".encode()
    )


def _exchange(
    pool: client.ConnectionPool,
    address: str,
    request_id: str = OWN,
    *,
    deadline_s: float = DEADLINE_S,
) -> client.ExchangeResult:
    request = client.Request(
        method="GET",
        target="/",
        headers={call_chain.REQUEST_ID_HEADER: request_id},
        body=b"",
    )
    with (
        watchdog.Watchdog() as guards,
        guards.watch(
            deadline=time.monotonic() + deadline_s, is_gone=lambda: False
        ) as guard,
    ):
        return pool.exchange(address, request, guard)


def _check_rejected(
    script: endless_server.Script,
    *,
    kind: client.FailureKind = client.FailureKind.MALFORMED,
    max_bytes: int = HEAD_BYTES + READ_BYTES,
    allows_unframed: bool = True,
) -> None:
    """Asserts that an answer is rejected for its bytes, not by a timeout."""
    with (
        endless_server.EndlessServer(script) as server,
        endless_server.count_reads() as read,
        client.ConnectionPool(allows_unframed=allows_unframed) as pool,
    ):
        outcome = _exchange(pool, server.address)
        nodes.wait_for(lambda: server.closed, "the connection to be closed")
    assert isinstance(outcome, result.Failure), outcome
    assert outcome.failure().kind is kind, outcome
    assert read.value <= max_bytes, read.value


def test_bytes_that_are_no_answer_end_the_wait_at_once() -> None:
    """The first bytes show that no answer follows, so none is waited for."""
    for first in (b"x", b"HTTP/2", b"\r\n", b"{"):
        _check_rejected(endless_server.Script(first=first))


def test_line_without_an_end_is_given_up() -> None:
    """A status line or header without an end is read up to a limit."""
    for first in (
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nName: ",
        b"HTTP/1.1 200 OK\r\n",
    ):
        _check_rejected(
            endless_server.Script(first=first, repeated=b"x" * 1024)
        )


def test_status_that_can_not_follow_ends_the_wait_at_once() -> None:
    """A status line is checked as soon as it is complete."""
    for first in (b"HTTP/1.1 099 X\r\n", b"HTTP/1.1 700 X\r\n"):
        _check_rejected(endless_server.Script(first=first))


def test_headers_without_an_end_are_given_up() -> None:
    """The limit holds for all header lines together."""
    line = b"Name: " + b"x" * 32_000 + b"\r\n"
    _check_rejected(
        endless_server.Script(first=b"HTTP/1.1 200 OK\r\n", repeated=line)
    )


def test_interim_answers_without_an_end_are_given_up() -> None:
    """Interim answers without a final one are read up to a limit."""
    for interim in (b"100 Continue", b"102 Processing", b"103 Early Hints"):
        repeated = b"HTTP/1.1 " + interim + b"\r\n\r\n"
        _check_rejected(endless_server.Script(first=b"", repeated=repeated))


def test_interim_answer_is_not_taken_for_the_answer() -> None:
    """The final answer is returned after an interim one."""
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    script = endless_server.Script(first=hints + _make_head(2) + b"ok")
    with (
        endless_server.EndlessServer(script) as server,
        client.ConnectionPool(allows_unframed=True) as pool,
    ):
        outcome = _exchange(pool, server.address)
    assert outcome.unwrap().status == 200
    assert outcome.unwrap().body == b"ok"


def test_switch_of_protocols_is_no_answer() -> None:
    """A switch that was not requested is rejected; its bytes never end."""
    _check_rejected(
        endless_server.Script(
            first=b"HTTP/1.1 101 Switching Protocols\r\n\r\n", repeated=b"x"
        )
    )


def test_chunks_without_an_end_are_given_up() -> None:
    """The body of a chunked answer is limited to a share of the memory."""
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    _check_rejected(
        endless_server.Script(first=CHUNKED, repeated=chunk),
        kind=client.FailureKind.TOO_LARGE,
        max_bytes=BODY_BYTES,
    )


def test_chunks_of_single_bytes_are_given_up() -> None:
    """Framing bytes are limited too: small chunks cost time, not memory."""
    _check_rejected(
        endless_server.Script(first=CHUNKED, repeated=b"1\r\nx\r\n"),
        max_bytes=2 * HEAD_BYTES + READ_BYTES,
    )


def test_chunk_extensions_without_an_end_are_given_up() -> None:
    """Extensions are limited in one line and over all chunks."""
    for repeated in (
        b"1;" + b"x" * 1024,
        b"1;" + b"x" * 1024 + b"\r\nx\r\n",
    ):
        _check_rejected(endless_server.Script(first=CHUNKED, repeated=repeated))


def test_chunk_of_a_wrong_size_is_no_chunk() -> None:
    """A chunk size that isn't plain hexadecimal digits is malformed."""
    for size in (b"-1", b"+1", b"0x1", b"1_0", b"", b" 1", b"1" * 17, b"g"):
        _check_rejected(
            endless_server.Script(
                first=CHUNKED + size + b"\r\n", repeated=b"x" * 1024
            )
        )


def test_bytes_beyond_a_chunk_are_no_chunk() -> None:
    """Data that goes on after the end of its chunk is malformed."""
    _check_rejected(
        endless_server.Script(first=CHUNKED + b"1\r\n", repeated=b"x" * 1024)
    )


def test_trailers_without_an_end_are_given_up() -> None:
    """Trailers count towards the limit of the head."""
    for trailer in (b"Name: x\r\n", b"Name: " + b"x" * 32_000 + b"\r\n"):
        _check_rejected(
            endless_server.Script(first=CHUNKED + b"0\r\n", repeated=trailer)
        )


def test_body_without_a_length_and_an_end_is_given_up() -> None:
    """A body that ends when the connection closes is limited too."""
    _check_rejected(
        endless_server.Script(
            first=b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"x" * 1024
        ),
        kind=client.FailureKind.TOO_LARGE,
        max_bytes=BODY_BYTES,
    )


def test_length_beyond_the_memory_is_given_up_at_its_head() -> None:
    """A length beyond the limit is rejected before the body is read."""
    head = _make_head(1024 * 1024 * 1024)
    _check_rejected(
        endless_server.Script(first=head, repeated=b"x" * 1024),
        kind=client.FailureKind.TOO_LARGE,
    )


def test_answer_to_another_request_is_given_up_at_its_head() -> None:
    """On a new connection its body is not read."""
    head = _make_head(1024, "another")
    _check_rejected(endless_server.Script(first=head))


def test_dribbled_bytes_end_with_the_deadline() -> None:
    """Single bytes don't extend a wait that no watchdog watches."""
    for first in (
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nName: ",
        _make_head(100_000),
        b"HTTP/1.1 200 OK\r\n\r\n",
    ):
        # Unless the client stops, the bytes last several times the deadline.
        script = endless_server.Script(
            first=first,
            repeated=b"x",
            gap_s=GAP_S,
            max_bytes=200,
            closes=True,
        )
        with (
            endless_server.EndlessServer(script) as server,
            client.ConnectionPool(allows_unframed=True) as pool,
        ):
            request = client.Request(
                method="GET", target="/", headers={}, body=b""
            )
            guard = watchdog.Guard(time.monotonic() + SHORT_S, lambda: False)
            outcome = pool.exchange(server.address, request, guard)
        assert isinstance(outcome, result.Failure), first
        assert outcome.failure().kind is client.FailureKind.TIMEOUT, first


def test_dribbled_bytes_end_with_the_watchdog() -> None:
    """The watchdog ends the wait for an answer that arrives byte by byte."""
    for head in (_make_head(100_000), b"HTTP/1.1 200 OK\r\n\r\n"):
        script = endless_server.Script(first=head, repeated=b"x", gap_s=GAP_S)
        with (
            endless_server.EndlessServer(script) as server,
            client.ConnectionPool(allows_unframed=True) as pool,
        ):
            outcome = _exchange(pool, server.address, deadline_s=SHORT_S)
            nodes.wait_for(lambda: server.closed, "the connection's end")
        assert isinstance(outcome, result.Failure), outcome
        assert outcome.failure().kind is client.FailureKind.TIMEOUT


def test_late_answers_without_an_end_are_given_up() -> None:
    """At most two answers to earlier requests are skipped."""
    script = endless_server.Script(
        first=_make_head(2) + b"ok",
        repeated=_make_head(4, "earlier") + b"late",
        waits=True,
    )
    with (
        endless_server.EndlessServer(script) as server,
        endless_server.count_reads() as read,
        client.ConnectionPool() as pool,
    ):
        first = _exchange(pool, server.address)
        second = _exchange(pool, server.address, NEXT)
        nodes.wait_for(lambda: server.closed, "the connection to be closed")
    assert first.unwrap().body == b"ok"
    assert second.failure().kind is client.FailureKind.MALFORMED
    assert read.value <= HEAD_BYTES + READ_BYTES


def test_bytes_after_an_answer_reach_no_other_request() -> None:
    """Bytes after an answer close its connection and are not read on."""
    for extra in (b"x" * 1024, _make_head(4) + b"more"):
        own = endless_server.Script(first=_make_head(2) + b"ok", repeated=extra)
        plain = endless_server.Script(first=_make_head(4, NEXT) + b"next")
        with (
            endless_server.EndlessServer(own, plain) as server,
            endless_server.count_reads() as read,
            client.ConnectionPool() as pool,
        ):
            first = _exchange(pool, server.address)
            second = _exchange(pool, server.address, NEXT)
            nodes.wait_for(lambda: 0 in server.closed, "the close")
        assert first.unwrap().body == b"ok"
        # The extra bytes may have arrived after the second request was sent.
        if isinstance(second, result.Success):
            assert second.unwrap().body == b"next"
        assert read.value <= HEAD_BYTES + READ_BYTES


def test_endless_answer_moves_a_request_that_may_run_twice() -> None:
    """An idempotent request is sent to another server; its slot is freed."""
    broken = endless_server.Script(first=CHUNKED, repeated=b"1\r\nx\r\n")
    garbage = endless_server.Script(first=b"", repeated=b"x")
    with (
        nodes.Mesh(nodes.make_service(SERVICE, idempotent=True)) as mesh,
        endless_server.EndlessServer(broken, garbage) as server,
        backend.Backend(stand_in.BackendOptions()) as other,
    ):
        started = [mesh.start(f"n{number}") for number in range(2)]
        for node, address in zip(
            started, (server.address, other.address), strict=True
        ):
            admin_lib.announce(node.admin_address, SERVICE, address, 1, 100)
        statuses = set()
        while len(server.requests) < 2:
            statuses.add(nodes.send(started[0].http_address).status)
        nodes.wait_for(lambda: len(server.closed) > 1, "both to be closed")
    assert statuses == {200}


def test_endless_answer_leaves_the_outcome_open() -> None:
    """A request that may have run has an unknown outcome; its slot is freed."""
    scripts = (
        endless_server.Script(first=b"", repeated=b"x"),
        endless_server.Script(first=CHUNKED, repeated=b"1\r\nx\r\n"),
        endless_server.Script(first=b"", repeated=b"HTTP/1.1 100 C\r\n\r\n"),
        endless_server.Script(first=_make_head(4, "own") + b"done"),
    )
    with (
        nodes.Mesh(nodes.make_service(SERVICE)) as mesh,
        endless_server.EndlessServer(*scripts) as server,
    ):
        node = mesh.start("n0")
        admin_lib.announce(node.admin_address, SERVICE, server.address, 1, 100)
        sent = {call_chain.REQUEST_ID_HEADER: OWN}
        replies = [
            nodes.send(node.http_address, "POST", body=b"x", **sent)
            for _ in scripts
        ]
    assert [reply.status for reply in replies] == [502, 502, 502, 200]
    for reply in replies[:-1]:
        assert reply.headers[outcomes.OUTCOME_HEADER] == "unknown"


def test_discovery_reads_no_endless_answer() -> None:
    """A node that looks for its server rejects answers that never end."""
    described = (
        f"HTTP/1.1 200 OK\r\n{platform_headers.HEADERS.instance}: i-1\r\n"
        f"{platform_headers.HEADERS.server_load}: 0,0,4\r\n"
    ).encode()
    scripts = (
        endless_server.Script(first=described + b"\r\n", repeated=b"x"),
        endless_server.Script(
            first=described + b"\r\n",
            repeated=b"x",
            gap_s=GAP_S,
            max_bytes=200,
            closes=True,
        ),
        endless_server.Script(first=described + b"Content-Length: 0\r\n\r\n"),
    )
    with (
        nodes.Mesh(nodes.make_service(SERVICE)) as mesh,
        endless_server.EndlessServer(*scripts) as server,
        endless_server.count_reads() as read,
    ):
        node = mesh.start("n0", probe=False)
        with server_discovery.ServerDiscovery(
            heartbeats=node.heartbeats,
            service=SERVICE,
            read_service=lambda: SERVICE,
            address=server.address,
            names=platform_headers.HEADERS,
            find_health_path=lambda service: f"/{service}",
            poll_interval_s=GAP_S,
        ):
            nodes.wait_for(
                lambda: not node.heartbeats.needs_discovery(),
                "the server",
            )
        assert len(server.requests) == len(scripts)
    assert read.value <= 2 * (HEAD_BYTES + READ_BYTES)


load_tests = fixtures.collect(__name__)
