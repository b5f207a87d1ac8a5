"""Sends the requests of the demo's callers and records how each ended."""

from collections.abc import Sequence
from concurrent import futures
import dataclasses
import enum
import hashlib
import http.client
import itertools
import threading
import time
from typing import Self

import msgspec

from lovagesaddle.cli import demo_server
from lovagesaddle.core.model import outcomes
from lovagesaddle.observability import latencies

CALL_TIMEOUT_S = 5.0
PAUSE_S = 0.1


class CallEnd(enum.Enum):
    """How a call ended for its caller.

    OK: The caller got the whole answer to its own request.
    REFUSED: The caller was told that the request did not run.
    UNKNOWN: The request may have run, by its answer or for lack of one.
    WRONG: The caller got an answer that belongs to another request.
    """

    OK = "ok"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A kind of request.

    Attributes:
      name: Name in the report.
      method: HTTP method.
      host: Value of the Host header.
      prefix: Path before the number of the request.
      token: Bearer token of the caller.
      body: Body of each request, before the number.
    """

    name: str
    method: str
    host: str
    prefix: str
    token: str
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call and how it ended.

    Attributes:
      target: Kind of request.
      path: Path, unique in the demo.
      end: How it ended.
      status: HTTP status; 0 without an answer.
      started_s: Monotonic time of the start, in seconds.
      duration_s: Duration in seconds.
    """

    target: Target
    path: str
    end: CallEnd
    status: int
    started_s: float
    duration_s: float


class Traffic:
    """Sends a mix of requests through several nodes while it is open.

    Args:
      addresses: `ip:port` of nodes, used in turn by the callers.
      targets: Kinds of request, used in turn.
      callers: Number of callers; each sends one request at a time.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        targets: Sequence[Target],
        callers: int,
    ) -> None:
        self._addresses = addresses
        self._targets = targets
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(callers)
        self._callers = callers
        self._futures: list[futures.Future[list[Call]]] = []
        self.latency = latencies.LatencyRecorder("call_seconds", "")

    def __enter__(self) -> Self:
        self._futures = [
            self._pool.submit(
                self._run, self._addresses[number % len(self._addresses)]
            )
            for number in range(self._callers)
        ]
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._pool.shutdown()

    def list_calls(self) -> tuple[Call, ...]:
        """Returns every call; valid only after the traffic has ended."""
        return tuple(
            call for future in self._futures for call in future.result()
        )

    def _run(self, address: str) -> list[Call]:
        calls: list[Call] = []
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        while not self._stopping.wait(PAUSE_S):
            number = next(self._numbers)
            target = self._targets[number % len(self._targets)]
            call = send_call(connection, target, number)
            if call.end is CallEnd.OK:
                self.latency.record(call.duration_s)
            calls.append(call)
        connection.close()
        return calls


def send_call(
    connection: http.client.HTTPConnection, target: Target, number: int
) -> Call:
    """Sends one request and classifies its answer."""
    path = f"{target.prefix}/{number}"
    body = target.body + str(number).encode() if target.body else b""
    headers = {"Host": target.host, "Authorization": f"Bearer {target.token}"}
    started_s = time.monotonic()
    status, end = 0, CallEnd.UNKNOWN
    try:
        connection.request(target.method, path, body=body, headers=headers)
        answer = connection.getresponse()
        status, data = answer.status, answer.read()
        end = classify_answer(
            status, answer.getheader(outcomes.OUTCOME_HEADER), path, body, data
        )
    except ConnectionRefusedError:
        end = CallEnd.REFUSED
        connection.close()
    except (OSError, http.client.HTTPException):
        connection.close()
    return Call(
        target=target,
        path=path,
        end=end,
        status=status,
        started_s=started_s,
        duration_s=time.monotonic() - started_s,
    )


def classify_answer(
    status: int, outcome: str | None, path: str, body: bytes, data: bytes
) -> CallEnd:
    """Returns how a call ended for its caller.

    Args:
      status: HTTP status of the answer.
      outcome: Value of its Request-Outcome header, if any.
      path: Path of the request.
      body: Body of the request.
      data: Body of the answer.
    """
    if status != http.HTTPStatus.OK:
        refused = outcome == outcomes.RequestOutcome.NOT_RUN.value
        return CallEnd.REFUSED if refused else CallEnd.UNKNOWN
    try:
        echo = msgspec.json.decode(data, type=demo_server.Echo)
    except msgspec.DecodeError:
        return CallEnd.WRONG
    digest = hashlib.sha256(body).hexdigest()
    own = (echo.path, echo.body_digest) == (path, digest)
    return CallEnd.OK if own else CallEnd.WRONG
