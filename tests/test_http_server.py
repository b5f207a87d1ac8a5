"""Tests of the HTTP server: framing, limits and graceful stops."""

from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
import contextlib
import io
import math
import select
import socket
import threading
import types
from typing import Any
from unittest import mock

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import services
from lovagesaddle.http import channels
from lovagesaddle.http import parser
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from lovagesaddle.http import wsgi
from tests import fixtures
from tests import nodes

MAX_BODY_BYTES = 1000
THREADS = 4
LONG_BYTES = 32 * 1024 * 1024
GRACE_S = 10.0
# More descriptors than a server closes.
REUSED_PAIRS = 8
NOT_RUN = f"{outcomes.OUTCOME_HEADER}: not-run".encode()


class _Application:
    """Echoes bodies; requests to /slow wait until they are released."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.release = threading.Event()

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        request = wsgi.read_request(environ)
        self.ran.append(request.path)
        if request.path == "/slow":
            self.release.wait(nodes.WAIT_S)
        body = request.read_body()
        if request.path == "/long":
            body = bytes(LONG_BYTES)
        answer = wsgi.Answer(status=200, body=body)
        if request.path.startswith("/fail/"):
            status = int(request.path.removeprefix("/fail/"))
            outcome = outcomes.RequestOutcome.NOT_RUN
            answer = wsgi.make_failure(status, "failed", outcome)
        return wsgi.write_answer(answer, request.method, start_response)


@contextlib.contextmanager
def _serve() -> Iterator[tuple[_Application, server_lib.HttpServer]]:
    application = _Application()
    dispatcher = thread_pools.PoolDispatcher(
        threads={thread_pools.PoolKind.CALLER: THREADS},
        classify=lambda parsed: (
            thread_pools.PoolKind.REFUSAL
            if parsed.error
            else thread_pools.PoolKind.CALLER
        ),
    )
    options = server_lib.ServerOptions(
        address=nodes.ANY, max_body_bytes=MAX_BODY_BYTES
    )
    with server_lib.HttpServer(
        application=application, dispatcher=dispatcher, options=options
    ) as server:
        yield application, server


def _connect(server: server_lib.HttpServer) -> socket.socket:
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), nodes.WAIT_S)


def _read_all(sock: socket.socket) -> bytes:
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    return b"".join(parts)


def _read_until(sock: socket.socket, end: bytes) -> bytes:
    """Returns what arrives up to the first bytes `end`, or to the end."""
    got = b""
    while end not in got and (part := sock.recv(65536)):
        got += part
    return got


def _ask(server: server_lib.HttpServer, data: bytes) -> bytes:
    with _connect(server) as sock:
        sock.sendall(data)
        return _read_all(sock)


def test_ambiguous_framing_is_refused() -> None:
    """A request with ambiguous framing is answered with 400."""
    chunk = b"1\r\nx\r\n0\r\n\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n"
    length = b"Content-Length: 4\r\n"
    cases = (
        b"POST / HTTP/1.1\r\nHost: a\r\n" + chunked + length,
        b"POST / HTTP/1.1\r\nHost: a\r\n" + length + length,
        b"POST / HTTP/1.1\r\nHost: a\r\n" + chunked + chunked,
        b"POST / HTTP/1.0\r\nHost: a\r\n" + chunked,
        b"POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nX: \ny\r\n" + length,
        b"POST http://b/ HTTP/1.1\r\nHost: a\r\n",
    )
    with _serve() as (application, server):
        for case in cases:
            got = _ask(server, case + b"\r\n" + chunk)
            assert got.startswith(b"HTTP/1."), (case, got)
            assert b" 400 " in got.partition(b"\r\n")[0], (case, got)
            assert NOT_RUN in got, (case, got)
            assert got.count(b"\r\nDate: ") == 1, (case, got)
        assert application.ran == []


def test_answer_without_a_body_is_not_followed_by_one() -> None:
    """A body after the answer to HEAD was read as the next answer."""
    second = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
    statuses = (400, 401, 404, 413, 421, 429, 500, 502, 503, 504)
    with _serve() as (_, server):
        for status in statuses:
            head = f"HEAD /fail/{status} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
            for requests in ((head + second,), (head, second)):
                with _connect(server) as sock:
                    for request in requests:
                        sock.sendall(request)
                    got = _read_until(sock, b"hi")
                first, _, rest = got.partition(b"\r\n\r\n")
                assert f" {status} ".encode() in first, (status, got)
                assert b"Connection: close" not in first, got
                assert rest.startswith(b"HTTP/1.1 200 OK\r\n"), (status, got)
        for status in (204, 304):
            with _connect(server) as sock:
                sock.sendall(
                    f"GET /fail/{status} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
                )
                got = _read_all(sock)
            assert got.endswith(b"\r\n\r\n"), (status, got)


def test_refused_head_request_is_answered_without_a_body() -> None:
    """Refusals that come before any application keep to it as well."""
    long_header = b"X: " + bytes(parser.MAX_HEADER_BYTES)
    cases = (
        b"HEAD / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"HEAD http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\r\nHEAD / HTTP/1.1\r\nHost: a\r\n" + long_header + b"\r\n\r\n",
        b"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
    )
    with _serve() as (application, server):
        for case in cases:
            got = _ask(server, case)
            assert got.startswith(b"HTTP/1."), (case[:60], got)
            assert got.endswith(b"\r\n\r\n"), (case[:60], got)
            assert NOT_RUN in got, (case[:60], got)
        assert not application.ran


def test_answer_to_a_closed_connection_is_dropped() -> None:
    """The loop may close a connection while a task writes to it.

    After a pause of the process, waitress reported an unexpected exception.
    """
    channel = channels.Channel.__new__(channels.Channel)
    channel.socket = None
    assert channel.send(b"answer") == 0


def test_oversized_headers_and_bodies_are_refused() -> None:
    """Oversized headers and bodies are answered with 431 and 413."""
    with _serve() as (application, server):
        long = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000
        assert b" 431 " in _ask(server, long + b"\r\n\r\n")
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        refused = _ask(server, head)
        assert b" 413 " in refused
        assert NOT_RUN in refused
        assert application.ran == []


def test_changed_limit_bounds_the_bodies_that_come_next() -> None:
    """A limit on bodies can be changed while the server runs."""
    limits = services.CallerLimits(
        max_header_bytes=16_384,
        max_body_bytes=2000,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    )
    line = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    with _serve() as (application, server):
        server.set_limits(limits)
        whole = line + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000
        assert _ask(server, whole).startswith(b"HTTP/1.1 200 ")
        refused = _ask(server, line + b"Content-Length: 2001\r\n\r\n")
        assert b" 413 " in refused
        assert NOT_RUN in refused
        assert len(application.ran) == 1


def test_body_of_exactly_the_limit_is_read() -> None:
    """A body as large as the limit is accepted."""
    with _serve() as (_, server):
        head = (
            b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Content-Length: 1000\r\n\r\n"
        )
        assert _ask(server, head + b"x" * 1000).endswith(b"x" * 1000)


def test_upload_cut_halfway_never_starts() -> None:
    """A request whose sender disconnects within its body never runs."""
    with _serve() as (application, server):
        with _connect(server) as sock:
            sock.sendall(
                b"POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"
            )
        assert nodes.send(server.address, path="/after").status == 200
        assert application.ran == ["/after"]


def test_slow_callers_hold_no_thread() -> None:
    """Callers that send or read slowly occupy no thread."""
    with _serve() as (application, server), contextlib.ExitStack() as stack:
        for _ in range(THREADS + 1):
            slow = stack.enter_context(_connect(server))
            slow.sendall(b"POST /slow HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
            unread = stack.enter_context(_connect(server))
            unread.sendall(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
        nodes.wait_for(
            lambda: application.ran.count("/long") == THREADS + 1,
            "the long answers",
        )
        assert nodes.send(server.address, path="/other").status == 200
        assert "/slow" not in application.ran


def test_stop_answers_what_it_holds() -> None:
    """A stop finishes uploads and answers in progress before it closes."""
    with (
        _serve() as (application, server),
        futures.ThreadPoolExecutor() as pool,
        _connect(server) as upload,
    ):
        slow = pool.submit(nodes.send, server.address, path="/slow")
        upload.sendall(
            b"POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
        )
        nodes.wait_for(lambda: application.ran, "the slow request")
        stopped = pool.submit(server.stop, grace_s=GRACE_S)
        nodes.wait_for(lambda: _is_refused(server), "the listener to close")
        assert not stopped.done()
        upload.sendall(b"cd")
        answer = _read_all(upload)
        application.release.set()
        assert answer.endswith(b"abcd")
        assert b"Connection: close" in answer
        assert slow.result().status == 200
        assert slow.result().headers["Connection"] == "close"
        assert stopped.result()


def test_request_that_arrived_during_a_pause_is_answered() -> None:
    """An idle connection whose request is not read yet is not closed.

    The process was paused; when it goes on, a planned stop or the regular
    cleanup looks for idle connections before the request is read.
    """
    for sweep in (
        lambda server: server.close_idle(math.inf),
        lambda server: server.maintenance(math.inf),
    ):
        with _serve() as (application, server), _connect(server) as caller:
            inner = server._server
            channels = inner.active_channels
            nodes.wait_for(channels.__len__, "the connection")
            resumed = threading.Event()

            def pause(
                sweep: Callable[[Any], None] = sweep,
                inner: Any = inner,
                resumed: threading.Event = resumed,
            ) -> None:
                resumed.wait(nodes.WAIT_S)
                sweep(inner)

            inner.wake(pause)
            caller.sendall(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
            resumed.set()
            assert b" 200 " in caller.recv(65536)
            assert application.ran == ["/late"]


def test_full_pools_refuse_instead_of_queueing() -> None:
    """Requests beyond the queue of a pool are served by the refusal pool."""
    seen: list[bool] = []
    release = threading.Event()

    class _Task:
        requests = (types.SimpleNamespace(),)

        def service(self) -> None:
            seen.append(thread_pools.is_refusal_thread())
            if not seen[-1]:
                release.wait(nodes.WAIT_S)

        def cancel(self) -> None:
            raise AssertionError

    with thread_pools.PoolDispatcher(
        threads={thread_pools.PoolKind.CALLER: 1},
        classify=lambda parsed: thread_pools.PoolKind.CALLER,  # noqa: ARG005
    ) as dispatcher:
        for _ in range(1 + thread_pools.QUEUED_PER_THREAD + 1):
            dispatcher.add_task(_Task())  # type: ignore[arg-type]
        nodes.wait_for(lambda: True in seen, "a refusal")
        release.set()
        nodes.wait_for(lambda: len(seen) == 4, "the queue")
    assert seen.count(True) == 1


def test_slow_body_is_told_from_a_slow_wait() -> None:
    """The transfer time of a body is measured apart from the wait after it."""
    request = wsgi.read_request(
        {
            "REQUEST_URI": "/",
            "REQUEST_METHOD": "POST",
            "CONTENT_LENGTH": "2",
            "wsgi.input": io.BytesIO(b"ab"),
            "waitress.client_disconnected": lambda: False,
            parser.HEADED_AT: 3.5,
            parser.ARRIVED_AT: 5.0,
        }
    )
    assert request.body_s == 1.5


def test_stopped_server_writes_to_no_descriptor_of_others() -> None:
    """A second stop or a late wake-up writes to no reused descriptor."""
    with _serve() as (_, server):
        server.stop(grace_s=0.0)
        pairs = [socket.socketpair() for _ in range(REUSED_PAIRS)]
        try:
            server.stop(grace_s=0.0)
            server._server.pull_trigger()
            ready, _, _ = select.select(
                [each for pair in pairs for each in pair], [], [], 0.0
            )
            assert not ready
        finally:
            for pair in pairs:
                for each in pair:
                    each.close()


def test_request_whose_caller_left_in_the_queue_does_not_run() -> None:
    """A request whose caller has disconnected does not run.

    The end of the connection is detected even if the loop has not read it.
    """
    gate = threading.Event()
    with _serve() as (application, server), contextlib.ExitStack() as stack:
        stack.callback(gate.set)
        for _ in range(THREADS):
            sock = stack.enter_context(_connect(server))
            sock.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        nodes.wait_for(lambda: len(application.ran) == THREADS, "the threads")
        left = _connect(server)
        left.sendall(b"GET /left HTTP/1.1\r\nHost: a\r\n\r\n")
        nodes.wait_for(lambda: server.count_busy() == THREADS + 1, "the queue")
        _block_loop(server, gate)
        left.close()
        application.release.set()
        nodes.wait_for(lambda: not server.count_busy(), "the threads")
        assert "/left" not in application.ran


def test_connection_that_is_being_set_up_is_counted() -> None:
    """An error in the count ended a planned stop and cut every request."""
    register = channels.Channel.add_channel
    counts: list[int] = []
    with _serve() as (_, server):

        def register_and_count(channel: Any, sockets: Any = None) -> None:
            # From here on other threads find the connection.
            register(channel, sockets)
            counts.append(server.count_busy())
            counts.append(len(server._server.list_open_requests()))

        with mock.patch.object(
            channels.Channel, "add_channel", register_and_count
        ):
            got = _ask(server, b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert got.startswith(b"HTTP/1.1 200 OK")
    assert counts == [0, 0]


def _block_loop(server: server_lib.HttpServer, gate: threading.Event) -> None:
    """Blocks the event loop of a server until `gate` is set."""
    blocked = threading.Event()

    def block() -> None:
        blocked.set()
        gate.wait(nodes.WAIT_S)

    server._run_on_loop(block, threading.Event())
    assert blocked.wait(nodes.WAIT_S)


def _is_refused(server: server_lib.HttpServer) -> bool:
    try:
        _connect(server).close()
    except ConnectionError:
        return True
    return False


def test_head_of_exactly_its_limit_is_served() -> None:
    """Headers as large as the limit are served; one byte more is refused."""
    limits = services.CallerLimits(
        max_header_bytes=500,
        max_body_bytes=MAX_BODY_BYTES,
        header_timeout_s=nodes.WAIT_S,
        idle_timeout_s=nodes.WAIT_S,
    )
    start = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nName: "
    for beyond, status in ((0, b" 200 "), (1, b" 431 ")):
        size = limits.max_header_bytes + beyond - len(start) - 4
        with _serve() as (_, server):
            server.set_limits(limits)
            answer = _ask(server, start + b"x" * size + b"\r\n\r\n")
        assert status in answer.split(b"\r\n")[0], answer


def test_frames_of_chunks_do_not_count_as_body() -> None:
    """The limit on bodies counts only the data of chunked bodies."""
    head = (
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunks = b"5\r\nxxxxx\r\n" * (MAX_BODY_BYTES // 5)
    for more, status in ((b"", b" 200 "), (b"1\r\nx\r\n", b" 413 ")):
        with _serve() as (_, server):
            answer = _ask(server, head + chunks + more + b"0\r\n\r\n")
        assert status in answer.split(b"\r\n")[0], answer


def test_control_lines_of_chunks_are_bounded() -> None:
    """Chunk extensions and trailers have the limit of the headers."""
    head = (
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    endless = b"x" * (2 * parser.MAX_HEADER_BYTES)
    for start in (b"1;a=", b"0\r\nName: "):
        with _serve() as (application, server):
            answer = _ask(server, head + start + endless)
        assert b" 413 " in answer.split(b"\r\n")[0], answer
        assert not application.ran


load_tests = fixtures.collect(__name__)
