"""Tests of exchanges over pooled connections."""

from collections.abc import Callable, Iterator
from concurrent import futures
import contextlib
import socket
import threading
import time
from unittest import mock

from bench import backend
from bench import stand_in
from returns import result

from lovagesaddle.core.routing import call_chain
from lovagesaddle.http import client
from lovagesaddle.http import watchdog
from tests import fixtures
from tests import nodes

LONG_S = 10.0
# More than the kernel buffers for a receiver that does not read, and less than
# it buffers for the sender.
BUFFERED_BYTES = 256 * 1024
NARROW_WINDOW_BYTES = 4096


@contextlib.contextmanager
def _open_server() -> Iterator[backend.Backend]:
    with backend.Backend(stand_in.BackendOptions()) as server:
        yield server


def _exchange(
    pool: client.ConnectionPool,
    server: backend.Backend,
    request_id: str = "r",
    *,
    deadline_s: float = LONG_S,
    guard: watchdog.Guard | None = None,
    **headers: str,
) -> client.ExchangeResult:
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    sent[call_chain.REQUEST_ID_HEADER] = request_id
    request = client.Request(
        method="POST", target="/", headers=sent, body=b"body"
    )
    if guard is None:
        guard = watchdog.Guard(time.monotonic() + deadline_s, lambda: False)
    return pool.exchange(server.address, request, guard)


def _get_kind(outcome: client.ExchangeResult) -> client.FailureKind:
    return outcome.failure().kind


def test_broken_answers_are_no_answers() -> None:
    """A truncated answer, or that of another request, is refused."""
    with _open_server() as server, client.ConnectionPool() as pool:
        cut = _exchange(pool, server, Act="truncate")
        crossed = _exchange(pool, server, Act="cross")
        lost = _exchange(pool, server, Act="lose-answer")
    assert _get_kind(cut) is client.FailureKind.TRUNCATED
    assert _get_kind(crossed) is client.FailureKind.MALFORMED
    assert _get_kind(lost) is client.FailureKind.CLOSED


def test_trailing_answer_reaches_no_other_request() -> None:
    """Bytes after a complete answer are not read as the next answer."""
    with _open_server() as server, client.ConnectionPool() as pool:
        for number in range(5):
            first = _exchange(pool, server, f"first-{number}", Act="trail")
            second = _exchange(pool, server, f"second-{number}")
            for outcome, expected in ((first, "first"), (second, "second")):
                if isinstance(outcome, result.Success):
                    own = f"{expected}-{number}".encode()
                    assert own in outcome.unwrap().body


def test_late_answer_closes_its_connection() -> None:
    """An answer after the deadline is not read for the next request."""
    with _open_server() as server, client.ConnectionPool() as pool:
        late = _exchange(pool, server, "late", deadline_s=0.05, Run_Ms="300")
        after = _exchange(pool, server, "after")
    assert _get_kind(late) is client.FailureKind.TIMEOUT
    assert b'"after"' in after.unwrap().body


def test_cancelled_wait_closes_its_connection() -> None:
    """Ending the guard ends the request at the server."""
    gone: list[bool] = []
    with (
        _open_server() as server,
        client.ConnectionPool() as pool,
        watchdog.Watchdog() as guards,
        guards.watch(
            deadline=time.monotonic() + LONG_S, is_gone=lambda: bool(gone)
        ) as guard,
    ):
        gone.append(True)
        cancelled = _exchange(pool, server, guard=guard, Run_Ms="9000")
        nodes.wait_for(lambda: not server.state.running, "the run to end")
    assert _get_kind(cancelled) is client.FailureKind.CANCELLED


def test_cancelled_request_is_not_delivered_from_the_buffer() -> None:
    """Cancelling a request discards the bytes that were not sent yet."""
    body = b"x" * BUFFERED_BYTES
    request = client.Request(method="POST", target="/", headers={}, body=body)
    guard = watchdog.Guard(time.monotonic() + LONG_S, lambda: False)
    with (
        socket.socket() as listener,
        futures.ThreadPoolExecutor(1) as pool,
        client.ConnectionPool() as connections,
    ):
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_WINDOW_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        cancelled = pool.submit(
            connections.exchange, f"{host}:{port}", request, guard
        )
        accepted, _ = listener.accept()
        with accepted:
            arrived = len(accepted.recv(1))
            guard.end(watchdog.EndReason.CANCELLED)
            assert _get_kind(cancelled.result()) is (
                client.FailureKind.CANCELLED
            )
            with contextlib.suppress(ConnectionResetError):
                while part := accepted.recv(65536):
                    arrived += len(part)
    assert arrived < BUFFERED_BYTES, arrived


def test_refused_connection_proves_that_nothing_was_sent() -> None:
    """A request counts as not sent only if no connection was opened."""
    with _open_server() as server, client.ConnectionPool() as pool:
        server.close()
        refused = _exchange(pool, server)
    assert _get_kind(refused) is client.FailureKind.NOT_SENT


def test_dead_idle_connection_is_not_reused() -> None:
    """A connection that the server closed while idle is replaced."""
    with _open_server() as server, client.ConnectionPool() as pool:
        _exchange(pool, server).unwrap()
        server.cut_connections()
        again = _exchange(pool, server, "again")
    assert b'"again"' in again.unwrap().body


def test_connections_to_addresses_that_are_gone_are_closed() -> None:
    """Each kept a descriptor until the process ended.

    An address that is never used again does not keep its connections open.
    """
    with (
        _open_server() as gone,
        _open_server() as other,
        client.ConnectionPool() as pool,
        mock.patch.object(client, "SWEEP_S", 0.0),
    ):
        assert isinstance(_exchange(pool, gone), result.Success)
        assert pool.idle_count == 1
        later = time.monotonic() + client.MAX_IDLE_S + 1
        with mock.patch.object(time, "monotonic", lambda: later):
            guard = watchdog.Guard(later + LONG_S, lambda: False)
            assert isinstance(
                _exchange(pool, other, guard=guard), result.Success
            )
        assert pool.idle_count == 1


def test_ambiguous_answers_are_refused() -> None:
    """An answer whose end is ambiguous is refused."""
    length = b"Content-Length: 1\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n"
    heads = (
        length + length,
        length + chunked,
        b"Transfer-Encoding: gzip\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length : 1\r\n",
        b"",
    )
    for head in heads:
        raw = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n1\r\nx\r\n0\r\n\r\n"
        assert _ask_raw(raw) is client.FailureKind.MALFORMED, head
    assert _ask_raw(b"HTTP/2 200\r\n\r\n") is client.FailureKind.MALFORMED
    cut = b"HTTP/1.1 200 OK\r\n" + chunked + b"\r\n9\r\nx"
    assert _ask_raw(cut) is client.FailureKind.TRUNCATED


def _ask_raw(answer: bytes) -> client.FailureKind:
    """Returns the failure of an exchange whose server sends `answer`."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        futures.ThreadPoolExecutor(1) as pool,
        client.ConnectionPool() as connections,
        watchdog.Watchdog() as guards,
        guards.watch(
            deadline=time.monotonic() + LONG_S, is_gone=lambda: False
        ) as guard,
    ):
        served = pool.submit(_serve_raw, listener, answer)
        host, port = listener.getsockname()
        request = client.Request(method="GET", target="/", headers={}, body=b"")
        outcome = connections.exchange(f"{host}:{port}", request, guard)
        served.result()
        return _get_kind(outcome)


def test_answer_that_closes_is_read_to_its_end() -> None:
    """A long answer with `Connection: close` is read completely."""
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n"
    body = b"x" * 2_000_000
    answer = head.replace(b"{}", str(len(body)).encode()) + body
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        futures.ThreadPoolExecutor(1) as pool,
        client.ConnectionPool() as connections,
    ):
        served = pool.submit(_serve_raw, listener, answer)
        host, port = listener.getsockname()
        request = client.Request(method="GET", target="/", headers={}, body=b"")
        guard = watchdog.Guard(time.monotonic() + LONG_S, lambda: False)
        found = connections.exchange(f"{host}:{port}", request, guard)
        served.result()
    assert found.unwrap().body == body


def _exchange_in_turn(
    serve: Callable[[socket.socket], None],
    *request_ids: str,
    requires_id: bool = True,
) -> list[client.ExchangeResult]:
    """Sends requests one after another to a server.

    Args:
      serve: Handles each accepted connection.
      request_ids: IDs of the requests.
      requires_id: Whether answers must carry the ID of their request.
    """
    is_over = threading.Event()

    def accept_all(listener: socket.socket) -> None:
        while True:
            accepted, _ = listener.accept()
            with accepted:
                if is_over.is_set():
                    return
                serve(accepted)

    outcomes = []
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        futures.ThreadPoolExecutor(1) as pool,
    ):
        served = pool.submit(accept_all, listener)
        host, port = listener.getsockname()
        with client.ConnectionPool(
            requires_request_id=requires_id, allows_unframed=True
        ) as connections:
            for request_id in request_ids:
                request = client.Request(
                    method="POST",
                    target="/",
                    headers={call_chain.REQUEST_ID_HEADER: request_id},
                    body=b"",
                )
                guard = watchdog.Guard(time.monotonic() + LONG_S, lambda: False)
                outcomes.append(
                    connections.exchange(f"{host}:{port}", request, guard)
                )
        is_over.set()
        socket.create_connection((host, port)).close()
        served.result()
    return outcomes


def test_late_second_answer_is_passed_over() -> None:
    """A second answer to an earlier request does not fail the next one."""
    head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: {}\r\n\r\n{}"
    first = head.format("one", "1.").encode()
    second = head.format("two", "2.").encode()

    def serve(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(first)
        connection.recv(65536)
        connection.sendall(first)
        connection.sendall(second)

    outcomes = _exchange_in_turn(serve, "one", "two", requires_id=False)
    bodies = [outcome.unwrap().body for outcome in outcomes]
    assert bodies == [b"1.", b"2."]


def test_late_failure_without_an_id_reaches_no_other_request() -> None:
    """On a reused connection, a failure that names no request is not taken.

    It may be a second answer to the request before.
    """
    own = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nRequest-Id: %b\r\n\r\n%b"
    late = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"

    def serve(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(own % (b"one", b"1"))
        connection.recv(65536)
        connection.sendall(late)
        connection.sendall(own % (b"two", b"2"))

    outcomes = _exchange_in_turn(serve, "one", "two")
    replies = [outcome.unwrap() for outcome in outcomes]
    assert [(r.status, r.body) for r in replies] == [(200, b"1"), (200, b"2")]


class _RepeatingServer:
    """Refuses the first request and repeats the refusal before the next answer.

    Args:
      refusal: The refusal.
      answer: Answer to every later request.
    """

    def __init__(self, refusal: bytes, answer: bytes) -> None:
        self._refusal = refusal
        self._answer = answer
        self._has_refused = False

    def serve(self, connection: socket.socket) -> None:
        """Handles one connection."""
        connection.recv(65536)
        if self._has_refused:
            connection.sendall(self._answer)
            return
        self._has_refused = True
        connection.sendall(self._refusal)
        if connection.recv(65536):
            connection.sendall(self._refusal)
            connection.sendall(self._answer)


def test_refusal_that_is_repeated_refuses_no_other_request() -> None:
    """A server writes its refusal once more before the next answer.

    The next request runs, so its caller must not hear that it did not. The
    refusal may name the request that it belongs to, or none; and a caller may
    send a request that was refused again under the same ID.
    """
    head = b"HTTP/1.1 %b\r\nContent-Length: 0\r\n%b\r\n"
    named = b"Request-Id: %b\r\n"
    for first_id, next_id, is_named in (
        ("one", "two", True),
        ("one", "two", False),
        ("one", "one", True),
    ):
        name = named % first_id.encode() if is_named else b""
        server = _RepeatingServer(
            head % (b"503 Full", name),
            head % (b"200 OK", named % next_id.encode()),
        )
        first, second = _exchange_in_turn(server.serve, first_id, next_id)
        assert first.unwrap().status == 503
        assert second.unwrap().status == 200, (first_id, next_id, is_named)


def test_head_that_ends_early_is_no_answer() -> None:
    """A server stops anywhere within the head of its answer and closes."""
    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        b"Request-Id: one\r\nContent-Length: 12\r\n\r\n"
    )
    for size in range(len(answer)):

        def serve(connection: socket.socket, size: int = size) -> None:
            connection.recv(65536)
            connection.sendall(answer[:size])

        (outcome,) = _exchange_in_turn(serve, "one")
        assert isinstance(outcome, result.Failure), answer[:size]
        assert outcome.failure().kind is not client.FailureKind.NOT_SENT


def test_request_is_not_sent_after_its_deadline() -> None:
    """A process that was paused past a deadline sends nothing afterwards.

    The thread that ends waits may not have run yet when the sender goes on.
    The failure proves that the request did not run.
    """
    runs: list[str] = []

    def record(_: stand_in.State, event: str, __: str, attempt: str) -> None:
        if event == "start":
            runs.append(attempt)

    with (
        _open_server() as server,
        client.ConnectionPool() as pool,
        mock.patch.object(stand_in.State, "record", record),
        mock.patch.object(watchdog.Watchdog, "_run"),
        watchdog.Watchdog() as guards,
    ):
        _exchange(pool, server, "first").unwrap()
        with guards.watch(
            deadline=time.monotonic(), is_gone=lambda: False
        ) as guard:
            overdue = _exchange(pool, server, "overdue", guard=guard)
        _exchange(pool, server, "last").unwrap()
    assert _get_kind(overdue) is client.FailureKind.NOT_SENT
    assert runs == ["first", "last"]


def _serve_raw(listener: socket.socket, answer: bytes) -> None:
    accepted, _ = listener.accept()
    with accepted:
        accepted.recv(65536)
        accepted.sendall(answer)


load_tests = fixtures.collect(__name__)
