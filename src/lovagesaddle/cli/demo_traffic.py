"""Callers of the demo: they send requests and keep what came of each."""

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

    OK: the whole answer to its own request.
    REFUSED: told that the request did not run.
    UNKNOWN: told, or left to assume, that it may have run.
    WRONG: an answer that belongs to another request.
    """

    OK = "ok"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A kind of request.

    Attributes:
      name: For the report.
      method: HTTP method.
      host: Host header.
      prefix: Path before the request's own number.
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
      started_s: Monotonic time.
      took_s: Duration.
    """

    target: Target
    path: str
    end: CallEnd
    status: int
    started_s: float
    took_s: float


class Traffic:
    """Sends a mix of requests through several nodes until it is left.

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
        """Returns every call; only after the traffic ended."""
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
                self.latency.record(call.took_s)
            calls.append(call)
        connection.close()
        return calls


def send_call(
    connection: http.client.HTTPConnection, target: Target, number: int
) -> Call:
    """Sends one request and judges its answer."""
    path = f"{target.prefix}/{number}"
    body = target.body + str(number).encode() if target.body else b""
    headers = {"Host": target.host, "Authorization": f"Bearer {target.token}"}
    started_s = time.monotonic()
    status, end = 0, CallEnd.UNKNOWN
    try:
        connection.request(target.method, path, body=body, headers=headers)
        answer = connection.getresponse()
        status, data = answer.status, answer.read()
        end = judge_answer(
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
        took_s=time.monotonic() - started_s,
    )


def judge_answer(
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
