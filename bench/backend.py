"""Stand-in backend server for tests and measurements.

It runs requests for a stated time on a stated number of slots and writes
every run to a file, so that claims on what ran can be checked. A request
chooses a fault with the header `Act`; see `Act`.

    python -m bench.backend --service orderdesk --admin 127.0.0.1:9001 \
        --slots 20 --run-ms 5 --record runs.log
"""

import argparse
import dataclasses
import enum
import http.client
import http.server
import json
import os
import random
import select
import signal
import socket
import sys
import threading
import time
import types
from typing import Any, Self

from lovagesaddle.core.routing import chain
from lovagesaddle.core.routing import feedback

ID_HEADER = "Bench-Id"
ACT_HEADER = "Act"
RUN_HEADER = "Run-Ms"
INTERNAL_HEADERS = ("Authorization", feedback.LOAD_HEADER)
SIZE_HEADER = "Answer-Bytes"
MS_PER_S = 1000
CRASH_STATUS = 70
ANNOUNCE_RETRY_S = 0.1
ANNOUNCE_TRIES = 100
LATE_S = 0.2
DEFAULT_CONNECTIONS = 100


class Act(enum.Enum):
    """Fault that a request asks for."""

    NONE = ""
    CRASH_BEFORE = "crash-before"
    CRASH_DURING = "crash-during"
    CRASH_AFTER = "crash-after"
    LOSE_ANSWER = "lose-answer"
    TRUNCATE = "truncate"
    CROSS = "cross"
    TRAIL = "trail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendOptions:
    """How a stand-in behaves.

    Attributes:
      slots: Requests that it runs at a time; more wait.
      run_s: Time of a run, in seconds, unless the request says otherwise.
      cold_s: Time after the start in which runs take longer.
      cold_factor: How much longer at the start.
      shed: Whether it answers 503 when every slot is in use.
      health: "honest", "up" or "down", whatever the truth.
      load_lag_s: Age of the load that it reports, in seconds.
      record: File that runs are appended to.
      seed: Of the random number behind the spread of run times.
      spread: Largest deviation of a run's time, as a share.
      heed_deadline: Whether it stops at the deadline that it is told.
      exits: Whether a crash ends the process or, in a test's own process,
        only closes the listener and every connection.
    """

    slots: int = 20
    run_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    shed: bool = False
    health: str = "honest"
    load_lag_s: float = 0.0
    record: str = ""
    seed: int = 1
    spread: float = 0.0
    heed_deadline: bool = True
    exits: bool = False


class Backend:
    """A stand-in backend server, as a context manager.

    Args:
      options: How it behaves.
      port: To listen on; 0 for any.
    """

    def __init__(self, options: BackendOptions, port: int = 0) -> None:
        self.options = options
        self.slots = threading.Semaphore(options.slots)
        self.running = 0
        self.most_running = 0
        self.draining = False
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self._random = random.Random(options.seed)
        self._loads: list[tuple[float, int]] = [(0.0, 0)]
        self._record = (
            os.open(options.record, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
            if options.record
            else -1
        )
        self._server = _Listener(("127.0.0.1", port), _Handler, self)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )
        self._crashed = False

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
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
        """Dies, as far as anybody outside can tell."""
        if self.options.exits:
            os._exit(CRASH_STATUS)
        if not self._crashed:
            self._crashed = True
            # Closing alone leaves it open while another thread polls it.
            self._server.socket.shutdown(socket.SHUT_RDWR)
            self._server.socket.close()
            self._server.cut_connections()

    def cut_connections(self) -> None:
        """Closes every connection, as a restart of the server would."""
        self._server.cut_connections()

    def record(self, event: str, request_id: str, attempt: str) -> None:
        """Appends one line to the record."""
        if self._record >= 0:
            line = {
                "event": event,
                "id": request_id,
                "attempt": attempt,
                "pid": os.getpid(),
                "at": time.time(),
            }
            os.write(self._record, json.dumps(line).encode() + b"\n")

    def draw_run_s(self, stated_ms: str) -> float:
        """Returns the time of the next run, in seconds."""
        base_s = (
            float(stated_ms) / MS_PER_S if stated_ms else self.options.run_s
        )
        with self.lock:
            deviation = self._random.uniform(-1, 1) * self.options.spread
        age_s = time.monotonic() - self.started_at
        cold = 1.0
        if age_s < self.options.cold_s:
            left = 1 - age_s / self.options.cold_s
            cold = 1 + (self.options.cold_factor - 1) * left
        return base_s * (1 + deviation) * cold

    def count(self, change: int) -> None:
        """Counts a run that starts or ends."""
        with self.lock:
            self.running += change
            self.most_running = max(self.most_running, self.running)
            if self.options.load_lag_s:
                self._loads.append((time.monotonic(), self.running))
                del self._loads[:-1000]

    def describe_load(self) -> dict[str, Any]:
        """Returns what the load endpoint says, as old as the options say."""
        if not self.options.load_lag_s:
            return {"running": self.running}
        limit = time.monotonic() - self.options.load_lag_s
        with self.lock:
            old = [count for at, count in self._loads if at <= limit]
        return {"running": old[-1] if old else 0}


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(
        self, address: tuple[str, int], handler: Any, backend: Backend
    ) -> None:
        self.backend = backend
        self._open: set[socket.socket] = set()
        super().__init__(address, handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Keeps the connection, so that a crash can cut it."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forgets a connection that ends."""
        self._open.discard(request)
        super().shutdown_request(request)

    def cut_connections(self) -> None:
        """Closes every connection as a dead process would."""
        for held in tuple(self._open):
            try:
                held.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Lets a broken connection pass in silence."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: _Listener

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes no access log."""

    def do_GET(self) -> None:
        """Answers health and load; runs everything else."""
        backend = self.server.backend
        if self.path == "/health":
            self._answer_health()
        elif self.path == "/load":
            self._send(200, json.dumps(backend.describe_load()).encode())
        else:
            self._run()

    def do_POST(self) -> None:
        """Runs the request."""
        self._run()

    do_PUT = do_DELETE = do_PATCH = do_POST  # noqa: N815

    def _answer_health(self) -> None:
        lie = self.server.backend.options.health
        healthy = not self.server.backend.draining
        if lie != "honest":
            healthy = lie == "up"
        self._send(200 if healthy else 503, b"")

    def _run(self) -> None:
        backend = self.server.backend
        body = self._read_body()
        if body is None:
            return
        act = Act(self.headers.get(ACT_HEADER, ""))
        if act is Act.CRASH_BEFORE:
            backend.crash()
            return
        if not self._take_slot():
            self._send(503, b"shed", (("Retry-After", "1"),))
            return
        try:
            answer = self._run_in_slot(act, body)
        finally:
            backend.count(-1)
            backend.slots.release()
        if answer is not None:
            self._finish(act, answer)

    def _read_body(self) -> bytes | None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return None
        return body

    def _take_slot(self) -> bool:
        backend = self.server.backend
        if not backend.slots.acquire(blocking=not backend.options.shed):
            return False
        backend.count(1)
        return True

    def _run_in_slot(self, act: Act, body: bytes) -> bytes | None:
        backend = self.server.backend
        self._record("start")
        if act is Act.CRASH_DURING:
            backend.crash()
            return None
        if not self._wait(backend.draw_run_s(self.headers.get(RUN_HEADER, ""))):
            self._record("cancelled")
            self.close_connection = True
            return None
        self._record("end")
        if act in (Act.CRASH_AFTER, Act.LOSE_ANSWER):
            if act is Act.CRASH_AFTER:
                backend.crash()
            self.close_connection = True
            return None
        size = int(self.headers.get(SIZE_HEADER) or 0)
        return self._describe(body) + b"x" * size

    def _wait(self, run_s: float) -> bool:
        """Runs; returns False when the requester hung up meanwhile."""
        limit_ms = self.headers.get(chain.DEADLINE_HEADER)
        if limit_ms is not None and self.server.backend.options.heed_deadline:
            run_s = min(run_s, int(limit_ms) / MS_PER_S)
        if run_s <= 0:
            return True
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP | select.POLLHUP)
        return not poll.poll(run_s * MS_PER_S)

    def _describe(self, body: bytes) -> bytes:
        headers = {
            name: self.headers[name]
            for name in (ID_HEADER, *chain.HEADERS, *INTERNAL_HEADERS)
            if name in self.headers
        }
        answer = {"path": self.path, "length": len(body), "headers": headers}
        return json.dumps(answer).encode()

    def _finish(self, act: Act, answer: bytes) -> None:
        request_id = self.headers.get(chain.REQUEST_ID_HEADER, "")
        extra = ((chain.REQUEST_ID_HEADER, request_id),) if request_id else ()
        if act is Act.CROSS:
            extra = ((chain.REQUEST_ID_HEADER, "of-another-request"),)
        if act is Act.TRUNCATE:
            self._send(200, answer, extra, missing=len(answer) // 2)
            self.close_connection = True
            return
        self._send(200, answer, extra)
        if act is Act.TRAIL:
            self._send(200, b"of another request", extra)

    def _send(
        self,
        status: int,
        body: bytes,
        extra: tuple[tuple[str, str], ...] = (),
        missing: int = 0,
    ) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        for name, value in extra:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body[: len(body) - missing])
        self.wfile.flush()

    def _record(self, event: str) -> None:
        self.server.backend.record(
            event,
            self.headers.get(ID_HEADER, ""),
            self.headers.get(chain.REQUEST_ID_HEADER, ""),
        )


def announce(
    admin: str, service: str, address: str, slots: int, connections: int
) -> str:
    """Announces a server to the node on its VM; returns its token.

    Raises:
      OSError: The node did not answer in time.
    """
    content = {
        "service": service,
        "address": address,
        "slots": slots,
        "connections": connections,
    }
    for _ in range(ANNOUNCE_TRIES):
        try:
            return str(post_admin(admin, "/announce", content)["token"])
        except OSError:
            time.sleep(ANNOUNCE_RETRY_S)
    raise OSError(f"node at {admin} takes no announcement")


def post_admin(
    admin: str, path: str, content: dict[str, Any], method: str = "POST"
) -> dict[str, Any]:
    """Sends a JSON request to a node's admin address."""
    connection = http.client.HTTPConnection(admin, timeout=5)
    try:
        connection.request(method, path, json.dumps(content))
        answer: dict[str, Any] = json.loads(connection.getresponse().read())
        return answer
    finally:
        connection.close()


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--admin", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--connections", type=int, default=DEFAULT_CONNECTIONS)
    parser.add_argument("--run-ms", type=float, default=0.0)
    parser.add_argument("--spread", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--shed", action="store_true")
    parser.add_argument("--health", default="honest")
    parser.add_argument("--record", default="")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Runs a stand-in until SIGTERM; prints its address first."""
    parsed = _parse(arguments)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    options = BackendOptions(
        slots=parsed.slots,
        run_s=parsed.run_ms / MS_PER_S,
        spread=parsed.spread,
        cold_s=parsed.cold_s,
        shed=parsed.shed,
        health=parsed.health,
        record=parsed.record,
        seed=parsed.seed,
        exits=True,
    )
    with Backend(options, parsed.port) as backend:
        print(backend.address, flush=True)
        if parsed.admin:
            announce(
                parsed.admin,
                parsed.service,
                backend.address,
                parsed.slots,
                parsed.connections,
            )
        stopped.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
