"""Stand-in backend server for tests and measurements.

The server runs each request for a configured time on one of a configured
number of slots, and records every run in a file, so that the outcomes reported
to callers can be checked against it. A request injects a fault with the header
`Act`; see `stand_in.Act`.
"""

import http.server
import json
import os
import select
import socket
import threading
from typing import Any, Self

from bench import stand_in
from lovagesaddle.core.routing import call_chain
from lovagesaddle.core.routing import load_reports

ID_HEADER = "Bench-Id"
ACT_HEADER = "Act"
RUN_HEADER = "Run-Ms"
INTERNAL_HEADERS = ("Authorization", load_reports.LOAD_HEADER)
SIZE_HEADER = "Answer-Bytes"
CRASH_STATUS = 70
POLL_S = 0.05


class Backend:
    """Runs a stand-in backend server, as a context manager.

    Args:
      options: Slots, run times and faults.
      port: TCP port to listen on; 0 for any free port.
    """

    def __init__(self, options: stand_in.BackendOptions, port: int = 0) -> None:
        self.state = stand_in.State(options)
        self._server = _Listener(("127.0.0.1", port), _Handler, self)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(POLL_S,), daemon=True
        )
        self._crashed = False

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    def close(self) -> None:
        """Stops listening and closes every connection."""
        self._server.shutdown()
        self._server.server_close()
        self._server.cut_connections()

    def crash(self) -> None:
        """Crashes: ends the process, or only closes every socket.

        Without the option `exits`, it looks to its peers as if the process had
        ended.
        """
        if self.state.options.exits:
            os._exit(CRASH_STATUS)
        if not self._crashed:
            self._crashed = True
            # Closing the socket alone would leave it open while another thread
            # polls it.
            self._server.socket.shutdown(socket.SHUT_RDWR)
            self._server.socket.close()
            self._server.cut_connections()

    def cut_connections(self) -> None:
        """Closes every connection, as a restart of the server would."""
        self._server.cut_connections()


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(
        self, address: tuple[str, int], handler: Any, backend: Backend
    ) -> None:
        self.backend = backend
        self._connections: set[socket.socket] = set()
        super().__init__(address, handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Records the open connection, so that a crash can close it."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Removes a closed connection from the open ones."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def cut_connections(self) -> None:
        """Closes every connection, as the end of the process would."""
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors of broken connections."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: _Listener

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes no access log."""

    def do_GET(self) -> None:
        """Answers health and load requests; runs any other request."""
        backend = self.server.backend
        if self.path == "/health":
            self._answer_health()
        elif self.path == "/load":
            self._send(200, json.dumps(backend.state.describe_load()).encode())
        else:
            self._run()

    def do_POST(self) -> None:
        """Runs the request."""
        self._run()

    do_PUT = do_DELETE = do_PATCH = do_POST  # noqa: N815

    def _answer_health(self) -> None:
        health = self.server.backend.state.options.health
        healthy = not self.server.backend.state.draining
        if health != "honest":
            healthy = health == "up"
        self._send(200 if healthy else 503, b"")

    def _run(self) -> None:
        backend = self.server.backend
        body = self._read_body()
        if body is None:
            return
        act = stand_in.Act(self.headers.get(ACT_HEADER, ""))
        if act is stand_in.Act.CRASH_BEFORE:
            backend.crash()
            return
        if not self._acquire_slot():
            self._send(503, b"shed", (("Retry-After", "1"),))
            return
        try:
            answer = self._run_in_slot(act, body)
        finally:
            backend.state.change_running(-1)
            backend.state.slots.release()
        if answer is not None:
            self._send_answer(act, answer)

    def _read_body(self) -> bytes | None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return None
        return body

    def _acquire_slot(self) -> bool:
        backend = self.server.backend
        if not backend.state.slots.acquire(
            blocking=not backend.state.options.shed
        ):
            return False
        backend.state.change_running(1)
        return True

    def _run_in_slot(self, act: stand_in.Act, body: bytes) -> bytes | None:
        backend = self.server.backend
        self._record("start")
        if act is stand_in.Act.CRASH_DURING:
            backend.crash()
            return None
        if not self._wait_for_run(
            backend.state.draw_run_s(self.headers.get(RUN_HEADER, ""))
        ):
            self._record("cancelled")
            self.close_connection = True
            return None
        self._record("end")
        if act in (stand_in.Act.CRASH_AFTER, stand_in.Act.LOSE_ANSWER):
            if act is stand_in.Act.CRASH_AFTER:
                backend.crash()
            self.close_connection = True
            return None
        size = int(self.headers.get(SIZE_HEADER) or 0)
        return self._encode_echo(body) + b"x" * size

    def _wait_for_run(self, run_s: float) -> bool:
        """Waits for the run time; returns False if the client hung up."""
        limit_ms = self.headers.get(call_chain.DEADLINE_HEADER)
        if (
            limit_ms is not None
            and self.server.backend.state.options.heed_deadline
        ):
            run_s = min(run_s, int(limit_ms) / stand_in.MS_PER_S)
        if run_s <= 0:
            return True
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP | select.POLLHUP)
        return not poll.poll(run_s * stand_in.MS_PER_S)

    def _encode_echo(self, body: bytes) -> bytes:
        headers = {
            name: self.headers[name]
            for name in (ID_HEADER, *call_chain.HEADERS, *INTERNAL_HEADERS)
            if name in self.headers
        }
        answer = {"path": self.path, "length": len(body), "headers": headers}
        return json.dumps(answer).encode()

    def _send_answer(self, act: stand_in.Act, answer: bytes) -> None:
        request_id = self.headers.get(call_chain.REQUEST_ID_HEADER, "")
        extra_headers = (
            ((call_chain.REQUEST_ID_HEADER, request_id),) if request_id else ()
        )
        if act is stand_in.Act.CROSS:
            extra_headers = (
                (call_chain.REQUEST_ID_HEADER, "of-another-request"),
            )
        if act is stand_in.Act.TRUNCATE:
            self._send(200, answer, extra_headers, missing=len(answer) // 2)
            self.close_connection = True
            return
        self._send(200, answer, extra_headers)
        if act is stand_in.Act.TRAIL:
            self._send(200, b"of another request", extra_headers)

    def _send(
        self,
        status: int,
        body: bytes,
        extra_headers: tuple[tuple[str, str], ...] = (),
        missing: int = 0,
    ) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        for name, value in extra_headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body[: len(body) - missing])
        self.wfile.flush()

    def _record(self, event: str) -> None:
        self.server.backend.state.record(
            event,
            self.headers.get(ID_HEADER, ""),
            self.headers.get(call_chain.REQUEST_ID_HEADER, ""),
        )
