"""Tests of large answers that pass in parts, on real sockets."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import functools
import http.client
import socket
import threading
import time
from typing import Any
from unittest import mock

from bench import admin as admin_lib
from returns import result

from lovagesaddle.core.routing import call_chain
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import open_answers
from lovagesaddle.http import watchdog
from lovagesaddle.node import answer_parts
from lovagesaddle.node import answer_turns
from lovagesaddle.node import attempt_senders
from lovagesaddle.node import call_runner
from lovagesaddle.node import held_answers
from lovagesaddle.node import program
from tests import endless_server
from tests import fixtures
from tests import nodes
from tests import routing_mesh

SERVICE = "orderdesk"
# A period that no power of two divides, so that a lost or repeated part shows.
PATTERN = bytes(range(251))
LARGE_BYTES = 251 * 8192
CHUNK = b"fb\r\n" + PATTERN + b"\r\n"
# Parts have the smallest size on a link of this rate.
THIN_MBPS = 3.0
# Less than an entry collects before its caller gets a byte.
SMALL_BYTES = 251 * 160
# More than kernels buffer between server, owner, entry and caller.
MAX_REQUESTS = 100
BUFFERED_BYTES = 24 * 1024 * 1024

OWN_ID: dict[str, Any] = {call_chain.REQUEST_ID_HEADER: "own"}
Script = endless_server.Script
Nodes = list[program.NodeProgram]


def _make_head(length: int | None, *, is_chunked: bool = False) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"{call_chain.REQUEST_ID_HEADER}: own"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if is_chunked:
        lines.append("Transfer-Encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _make_script(length: int, sent: int, **fields: Any) -> Script:
    return Script(
        first=_make_head(length) + PATTERN * (sent // len(PATTERN)), **fields
    )


@contextlib.contextmanager
def _run_mesh(
    *servers: endless_server.EndlessServer, **fields: Any
) -> Iterator[Nodes]:
    """Runs an entry, and an owner for each server; the entry comes first."""
    service = nodes.make_service(
        SERVICE, idempotent=True, has_large_answers=True, **fields
    )
    settings: dict[str, Any] = {
        "link_mbps": THIN_MBPS,
        "unframed_answers": True,
    }
    with nodes.Mesh(service) as mesh, contextlib.ExitStack() as stack:
        started = [mesh.start("entry", **settings)]
        for number, server in enumerate(servers):
            stack.enter_context(server)
            owner = mesh.start(f"n{number}", **settings)
            admin_lib.announce(
                owner.admin_address, SERVICE, server.address, 4, 100
            )
            started.append(owner)
        yield started


def _get(address: str) -> nodes.Reply:
    return nodes.send(address, **OWN_ID)


def _open(address: str, **headers: str) -> socket.socket:
    return nodes.open_request(address, **OWN_ID, **headers)


def test_large_answer_arrives_whole() -> None:
    """Over a hop and on the owner's own node, with a length and in chunks."""
    whole = PATTERN * (LARGE_BYTES // len(PATTERN))
    chunks = _make_head(None, is_chunked=True) + CHUNK * (LARGE_BYTES // 251)
    for script in (
        _make_script(LARGE_BYTES, LARGE_BYTES),
        Script(first=chunks + b"0\r\n\r\n"),
    ):
        server = endless_server.EndlessServer(script)
        with _run_mesh(server) as started:
            for node in started:
                reply = _get(node.http_address)
                assert reply.status == 200
                assert reply.body == whole
            nodes.wait_for(
                lambda: not started[1]._owner.held.count, "the owner to end"
            )


def test_small_answer_takes_one_message() -> None:
    """One that fits a part costs no other message between the nodes."""
    server = endless_server.EndlessServer(_make_script(251, 251))
    sign = hop.EnvelopeSigner.sign
    signed: list[hop.HopMessage] = []

    def record(signer: hop.EnvelopeSigner, message: hop.HopMessage) -> bytes:
        signed.append(message)
        return sign(signer, message)

    with (
        _run_mesh(server) as started,
        mock.patch.object(hop.EnvelopeSigner, "sign", record),
    ):
        assert _get(started[0].http_address).body == PATTERN
    assert [type(each) for each in signed] == [hop.RunRequest, hop.RunAnswer]


def test_answer_that_breaks_off_never_seems_whole() -> None:
    """Neither with a length, nor in chunks, nor until the end of the link."""
    sent = 251 * 4096
    body = PATTERN * (sent // 251)
    for first in (
        _make_head(LARGE_BYTES) + body,
        _make_head(None, is_chunked=True) + CHUNK * (sent // 251),
        _make_head(None) + body,
    ):
        for closes in (True, False):
            script = Script(first=first, closes=True, resets=closes)
            if not closes and first.startswith(_make_head(None) + PATTERN):
                # An orderly close is how the server ends such an answer.
                continue
            server = endless_server.EndlessServer(script)
            with _run_mesh(server, retries=0) as started:
                _check_broken(started[0].http_address, "HTTP/1.1")
                _check_broken(started[0].http_address, "HTTP/1.0")


def _check_broken(address: str, version: str) -> None:
    host, port = address.split(":")
    head = [
        f"GET / {version}",
        f"Host: {nodes.HOST}",
        f"Authorization: Bearer {nodes.TOKEN}",
        f"{call_chain.REQUEST_ID_HEADER}: own",
    ]
    received = b""
    is_reset = False
    with socket.create_connection((host, int(port)), nodes.WAIT_S) as caller:
        caller.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            while data := caller.recv(65536):
                received += data
        except ConnectionResetError:
            is_reset = True
    answer, _, body = received.partition(b"\r\n\r\n")
    if b" 502 " in answer.split(b"\r\n")[0]:
        return
    if b"Content-Length" in answer:
        assert len(body) < LARGE_BYTES
    elif b"chunked" in answer:
        assert not body.endswith(b"0\r\n\r\n")
    else:
        assert is_reset


def test_answer_that_breaks_off_early_is_asked_for_elsewhere() -> None:
    """Nothing of it has gone to the caller, so another server may answer."""
    broken = endless_server.EndlessServer(
        _make_script(SMALL_BYTES, SMALL_BYTES // 2, closes=True)
    )
    whole = endless_server.EndlessServer(_make_script(SMALL_BYTES, SMALL_BYTES))
    with _run_mesh(broken, whole) as started:
        for _ in range(MAX_REQUESTS):
            reply = _get(started[0].http_address)
            assert (reply.status, len(reply.body)) == (200, SMALL_BYTES)
            if broken.requests:
                return
    raise AssertionError("the server that breaks off was never asked")


def test_small_answer_lost_at_its_owner_is_asked_for_elsewhere() -> None:
    """A few parts are collected before the caller gets the first byte."""
    servers = [
        endless_server.EndlessServer(_make_script(SMALL_BYTES, SMALL_BYTES))
        for _ in range(2)
    ]
    ask = attempt_senders.HttpAttemptSender.ask
    lost: list[str] = []

    def lose(sender: Any, server: Any, message: Any, guard: Any) -> Any:
        if not lost:
            lost.append(server.server_id)
            return ask(sender, server, _forget(message), guard)
        return ask(sender, server, message, guard)

    with (
        _run_mesh(*servers) as started,
        mock.patch.object(attempt_senders.HttpAttemptSender, "ask", lose),
    ):
        reply = _get(started[0].http_address)
    assert (reply.status, len(reply.body)) == (200, SMALL_BYTES)
    assert [len(server.requests) for server in servers] == [1, 1]


def _forget(pull: hop.AnswerPull) -> hop.AnswerPull:
    return dataclasses.replace(pull, attempt_id="unknown")


def test_owner_that_stops_finishes_an_answer() -> None:
    """A planned stop waits for the entry that still asks for parts."""
    server = endless_server.EndlessServer(
        _make_script(LARGE_BYTES, LARGE_BYTES)
    )
    with (
        _run_mesh(server) as started,
        futures.ThreadPoolExecutor(1) as pool,
        _open(started[0].http_address) as caller,
    ):
        received = len(caller.recv(1))
        stopped = pool.submit(started[1].shut_down)
        while data := caller.recv(65536):
            received += len(data)
            if received >= LARGE_BYTES:
                break
        caller.close()
        assert stopped.result(nodes.WAIT_S)
    assert received >= LARGE_BYTES


def test_server_is_busy_until_its_answer_is_fetched() -> None:
    """A stopping owner keeps its listener open for the entry that asks."""
    server = endless_server.EndlessServer(
        _make_script(SMALL_BYTES, SMALL_BYTES)
    )
    with _run_mesh(server) as started:
        owner = started[1]._owner
        server_id = f"n0/{SERVICE}"
        guard = watchdog.Guard(time.monotonic() + nodes.WAIT_S, lambda: False)
        request = dataclasses.replace(
            routing_mesh.make_run_request("r.1"),
            server_id=server_id,
            takes_parts=True,
        )
        first = owner.run(request, guard)
        left_bytes = first.rest_bytes or 0
        assert left_bytes and not owner.is_idle(server_id)
        # The server has sent all of it, so its slot is free.
        assert first.load is not None and first.load.running == 0
        while left_bytes:
            part = owner.held.pull(
                hop.AnswerPull(
                    attempt_id="r.1",
                    offset=SMALL_BYTES - left_bytes,
                    left_bytes=left_bytes,
                    remaining_ms=0,
                    priority=0,
                ),
                guard,
            )
            assert isinstance(part, hop.AnswerPart)
            left_bytes -= len(part.data)
        assert owner.is_idle(server_id)


def test_answer_dropped_while_it_is_read_keeps_no_memory() -> None:
    """The thread that reads a part then closes the answer."""
    request = dataclasses.replace(
        routing_mesh.make_run_request("r.1"), takes_parts=True
    )
    held = held_answers.HeldAnswers(None, 10)
    answer = mock.Mock(status=200, is_read=False)
    owned = mock.Mock()
    guard = watchdog.Guard(time.monotonic() + nodes.WAIT_S, lambda: False)
    part = open_answers.Piece(data=bytes(10), is_last=False)

    def drop(*_: Any) -> Any:
        if held.count:
            held.drop("r.1", "test")
        return result.Success(part)

    answer.take.side_effect = drop
    held.start(request, owned, answer, guard)
    held.pull(
        hop.AnswerPull(
            attempt_id="r.1",
            offset=10,
            left_bytes=10,
            remaining_ms=0,
            priority=0,
        ),
        guard,
    )
    assert (answer.abort.call_count, answer.close.call_count) == (1, 1)
    assert owned.finish.call_count == 1


def test_owner_lost_between_parts_is_not_an_end() -> None:
    """An entry whose owner forgot the answer cuts the caller's connection."""
    server = endless_server.EndlessServer(
        _make_script(LARGE_BYTES, LARGE_BYTES)
    )
    ask = attempt_senders.HttpAttemptSender.ask

    def forget(sender: Any, server: Any, message: Any, guard: Any) -> Any:
        if isinstance(message, hop.AnswerPull) and message.offset > 251 * 2048:
            started[1]._owner.held.drop(message.attempt_id, "test")
        return ask(sender, server, message, guard)

    with (
        _run_mesh(server) as started,
        mock.patch.object(attempt_senders.HttpAttemptSender, "ask", forget),
    ):
        try:
            _get(started[0].http_address)
        except (http.client.IncompleteRead, ConnectionResetError):
            return
    raise AssertionError("a part of the answer was taken for all of it")


def test_caller_that_leaves_ends_the_work_of_the_server() -> None:
    """The server's connection is closed, and its slot is free again."""
    endless = Script(first=_make_head(10**9), repeated=PATTERN)
    server = endless_server.EndlessServer(endless)
    with _run_mesh(server, timeout_s=60.0) as started:
        owned = started[1]._owner
        for node in started:
            before = len(server.closed)
            with _open(node.http_address) as caller:
                assert caller.recv(65536)
            nodes.wait_for(
                functools.partial(_has_more, server.closed, before),
                "the server's connection to close",
            )
            nodes.wait_for(lambda: not owned.held.count, "the owner to end")
            assert owned.is_idle(f"n0/{SERVICE}")


def _has_more(closed: list[int], count: int) -> bool:
    return len(closed) > count


def test_caller_that_leaves_before_the_first_part_ends_the_work() -> None:
    """The owner holds an answer of which the entry has never got a part."""
    endless = Script(first=_make_head(10**9), repeated=PATTERN)
    server = endless_server.EndlessServer(endless)
    send_first = answer_turns.AnswerTurns.send_first
    gone = threading.Event()

    def outlast(*args: Any) -> bool:
        # The turn comes just as the caller leaves.
        sent = send_first(*args)
        callers[0].close()
        gone.wait(nodes.WAIT_S)
        return sent

    run = call_runner.CallRunner._send_attempt

    def send(runner: Any, action: Any, guard: Any) -> Any:
        event = run(runner, action, guard)
        gone.set()
        return event

    with (
        _run_mesh(server, timeout_s=60.0) as started,
        mock.patch.object(answer_turns.AnswerTurns, "send_first", outlast),
        mock.patch.object(call_runner.CallRunner, "_send_attempt", send),
    ):
        callers = [_open(started[0].http_address)]
        nodes.wait_for(lambda: server.closed, "the server's connection")
        assert not started[1]._owner.held.count


def test_caller_that_does_not_read_stops_the_server() -> None:
    """Little is read ahead of it, and its route's timeout ends the answer."""
    endless = Script(first=_make_head(10**9), repeated=PATTERN)
    server = endless_server.EndlessServer(endless)
    with (
        _run_mesh(server, timeout_s=1.0) as started,
        endless_server.count_reads() as counted,
        _open(started[0].http_address) as caller,
    ):
        assert caller.recv(1)
        nodes.wait_for(lambda: server.closed, "the timeout")
        nodes.wait_for(
            lambda: not started[1]._owner.held.count, "the owner to end"
        )
        # The caller's connection is open and full, and yet nothing waits.
        nodes.wait_for(
            lambda: not started[0]._http.count_busy(), "the entry to end"
        )
    # Each byte is read from the server and from the owner.
    assert counted.value < 2 * BUFFERED_BYTES


def test_parts_of_other_sizes_are_refused() -> None:
    """An owner that ends an answer early or late is not believed."""
    for sent, is_last in ((10, True), (20, False)):
        sender = mock.create_autospec(attempt_senders.AttemptSender)
        part = hop.AnswerPart(
            attempt_id="r.1", offset=5, data=b"x" * sent, is_last=is_last
        )
        sender.ask.return_value = result.Success(part)
        request = mock.Mock(attempt_id="r.1", priority=1)
        parts = answer_parts.AnswerParts(
            sender=sender,
            server=mock.Mock(http_address="127.0.0.1:1"),
            request=request,
            answer=hop.RunAnswer(
                attempt_id="r.1",
                outcome=hop.RunOutcome.ANSWERED,
                body=b"first",
                rest_bytes=20,
            ),
            guard=mock.Mock(remaining_s=1.0),
        )
        refused = parts._pull().failure()
        assert refused.kind is client.FailureKind.MALFORMED


load_tests = fixtures.collect(__name__)
