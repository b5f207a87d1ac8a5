"""HTTP exchanges over pooled connections, one request at a time on each.

A connection returns to the pool only after a complete and checked answer.
Otherwise it is closed, so that a late answer can't reach another request.
"""

import collections
import dataclasses
import enum
import http.client
import socket
import threading
import time
from typing import Self

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import answer_budget
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import requests
from lovagesaddle.http import responses
from lovagesaddle.http import sockets
from lovagesaddle.http import watchdog

# Longer than a TCP handshake between regions, and short enough that another VM
# can be tried while the caller still waits.
CONNECT_TIMEOUT_S = 0.3
MS_PER_S = 1000
MAX_IDLE_S = 20.0
# Interval at which expired connections are closed, also to addresses that are
# not used again.
SWEEP_S = 5.0
# A reused connection can still deliver at most one duplicate answer to an
# earlier request and one late answer.
MAX_LATE_ANSWERS = 2
Request = requests.Request


class FailureKind(enum.Enum):
    """Kinds of failed exchanges; only NOT_SENT proves that nothing ran."""

    NOT_SENT = "not-sent"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


class ExchangeError(errors.LovagesaddleError):
    """Raised when no complete answer was read.

    Attributes:
      kind: How the exchange failed.
    """

    def __init__(
        self, *, step: str, peer: str, cause: str, kind: FailureKind
    ) -> None:
        super().__init__(step=step, peer=peer, cause=cause)
        self.kind = kind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Holds a complete answer."""

    status: int
    headers: headers_lib.Headers
    body: bytes


ExchangeResult = result.Result[Reply, ExchangeError]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Idle:
    connection: http.client.HTTPConnection
    expires_at: float
    request_id: str


class ConnectionPool:
    """Keeps idle connections by address, as a context manager.

    An answer that carries a request ID must carry that of its request.

    Args:
      request_id_header: Name of the header with the request ID.
      allows_unframed: Whether the end of the connection may end an answer.
        Such an answer can't be distinguished from a truncated one whose
        connection was closed in an orderly way.
      requires_request_id: Whether each successful answer, and each answer on a
        reused connection, must carry the ID of its request.
      unacknowledged_s: Time in seconds that sent data may stay unacknowledged
        before the connection is closed (TCP_USER_TIMEOUT); 0 relies on the
        deadline alone.
      budget: Memory budget for the answers that are being read.
    """

    def __init__(
        self,
        *,
        request_id_header: str = header_names.DEFAULT.request_id,
        allows_unframed: bool = False,
        requires_request_id: bool = False,
        unacknowledged_s: float = 0.0,
        budget: answer_budget.AnswerBudget | None = None,
    ) -> None:
        self._budget = budget or answer_budget.AnswerBudget()
        self._unacknowledged_ms = int(unacknowledged_s * MS_PER_S)
        self._requires_request_id = requires_request_id
        self._request_id_header = request_id_header
        self._allows_unframed = allows_unframed
        self._idle: dict[str, collections.deque[_Idle]] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._next_sweep_at = 0.0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._closed = True
            closed, self._idle = self._idle, {}
        for stack in closed.values():
            for idle in stack:
                idle.connection.close()

    def exchange(
        self, address: str, request: Request, guard: watchdog.Guard
    ) -> ExchangeResult:
        """Sends a request and reads the complete answer.

        Args:
          address: `ip:port`.
          request: What to send.
          guard: Bounds the exchange; its end closes the connection.
        """
        if not guard.remaining_s:
            # The guard's own thread may not have run since a pause of the
            # process, so the time is checked here too.
            cause = "the wait has ended"
            return result.Failure(
                _fail("connect", address, cause, FailureKind.NOT_SENT)
            )
        own_id = request.headers.get(self._request_id_header, "")
        try:
            connection, is_reused = self._acquire(address, guard, own_id)
        except (OSError, ValueError, OverflowError) as error:
            # The address may come from a list that others wrote.
            return result.Failure(
                _fail("connect", address, str(error), FailureKind.NOT_SENT)
            )
        # On a new connection no answer to an earlier request can arrive late.
        late = MAX_LATE_ANSWERS if is_reused else 0
        outcome = self._exchange(connection, address, request, guard, late)
        match outcome:
            case result.Success((reply, idle_s)):
                self._release(address, connection, idle_s, own_id)
                return result.Success(reply)
            case result.Failure(error):
                connection.close()
                return result.Failure(error)
        raise AssertionError("unreachable")

    def _acquire(
        self, address: str, guard: watchdog.Guard, own_id: str
    ) -> tuple[http.client.HTTPConnection, bool]:
        """Returns a connection and whether it was used before.

        A connection that answered a request with the same ID is not used: a
        second copy of that answer could not be told from the next one.
        """
        now = time.monotonic()
        stack = self._idle.get(address)
        while stack:
            try:
                idle = stack.pop()
            except IndexError:
                break
            is_usable = now < idle.expires_at and not (
                own_id and idle.request_id == own_id
            )
            if is_usable and sockets.has_no_input(idle.connection.sock):
                return idle.connection, True
            idle.connection.close()
        host, port = sockets.parse_address(address)
        timeout_s = min(CONNECT_TIMEOUT_S, guard.remaining_s)
        if not timeout_s:
            raise TimeoutError("no time is left to connect")
        connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
        connection.connect()
        if self._unacknowledged_ms:
            connection.sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self._unacknowledged_ms,
            )
        return connection, False

    def _release(
        self,
        address: str,
        connection: http.client.HTTPConnection,
        idle_s: float,
        request_id: str,
    ) -> None:
        if idle_s <= 0:
            connection.close()
            return
        now = time.monotonic()
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_S
            self.close_expired(now)
        expires_at = now + idle_s
        idle = _Idle(
            connection=connection, expires_at=expires_at, request_id=request_id
        )
        with self._lock:
            if not self._closed:
                self._idle.setdefault(address, collections.deque()).append(idle)
                return
        connection.close()

    @property
    def idle_count(self) -> int:
        """Number of connections that are kept open without a request."""
        return sum(len(stack) for stack in tuple(self._idle.values()))

    def close_expired(self, now: float) -> None:
        """Closes the connections that may no longer be used.

        Args:
          now: Monotonic time in seconds.
        """
        for stack in tuple(self._idle.values()):
            for _ in range(len(stack)):
                # Other threads take connections from the right meanwhile.
                try:
                    idle = stack.popleft()
                except IndexError:
                    break
                if now < idle.expires_at:
                    stack.appendleft(idle)
                    break
                idle.connection.close()

    def _find_mismatch(
        self, request: Request, head: responses.Head, *, is_reused: bool
    ) -> str:
        """Returns why an answer is not to the request; empty if it is.

        On a reused connection, a failure without an ID may be a second answer
        to an earlier request.
        """
        own = request.headers.get(self._request_id_header)
        if own is None:
            return ""
        lowered = self._request_id_header.lower()
        for value in headers_lib.get_all(head.headers, lowered):
            if value != own:
                return f"answer is to request {value}, not to {own}"
            return ""
        is_success = head.status < http.HTTPStatus.MULTIPLE_CHOICES
        if self._requires_request_id and (is_success or is_reused):
            return f"answer does not name request {own}"
        return ""

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        address: str,
        request: Request,
        guard: watchdog.Guard,
        late: int,
    ) -> result.Result[tuple[Reply, float], ExchangeError]:
        """Returns the answer and how long its connection may idle, in seconds.

        Args:
          connection: Connection to the peer.
          address: `ip:port` of the peer.
          request: What to send.
          guard: Bounds the exchange.
          late: Number of answers to earlier requests that may be skipped.
        """
        sock = connection.sock
        step = "send request"
        allocation = answer_budget.Allocation(self._budget)
        reader = responses.AnswerReader(
            sock, method=request.method, allocation=allocation, guard=guard
        )
        try:
            with guard.on_end(lambda: sockets.abort(sock)):
                watchdog.limit_wait(sock, guard)
                sock.sendall(requests.encode_request(request, address))
                step = "read answer"
                read = self._read_matching(reader, address, request, late)
        except ExchangeError as error:
            return result.Failure(error)
        except (OSError, http.client.HTTPException, ValueError) as error:
            kind = _classify(error, guard)
            return result.Failure(_fail(step, address, repr(error), kind))
        finally:
            allocation.release()
        return result.Success(read)

    def _read_matching(
        self,
        reader: responses.AnswerReader,
        address: str,
        request: Request,
        late: int,
    ) -> tuple[Reply, float]:
        """Reads answers up to the one that belongs to the request.

        A server may send a second answer to an earlier request, which then
        arrives before the answer to this one.
        """
        for left in range(late, -1, -1):
            head = reader.read_head()
            mismatch = self._find_mismatch(request, head, is_reused=bool(late))
            if mismatch and (not left or head.closes):
                raise _fail(
                    "check answer", address, mismatch, FailureKind.MALFORMED
                )
            if head.is_unframed and not self._allows_unframed:
                cause = "answer states no length, so its end can't be checked"
                raise _fail(
                    "read answer", address, cause, FailureKind.MALFORMED
                )
            body = reader.read_body(head)
            if mismatch:
                continue
            idle_s = 0.0
            if left == late and not (head.closes or reader.has_more()):
                idle_s = requests.parse_idle_timeout(head.headers)
            reply = Reply(status=head.status, headers=head.headers, body=body)
            return reply, idle_s
        raise AssertionError("unreachable")


def _classify(error: Exception, guard: watchdog.Guard) -> FailureKind:
    if guard.reason is watchdog.EndReason.CANCELLED:
        return FailureKind.CANCELLED
    if guard.reason is not None or isinstance(error, TimeoutError):
        return FailureKind.TIMEOUT
    if isinstance(error, responses.AnswerTooLargeError):
        return FailureKind.TOO_LARGE
    if isinstance(error, http.client.IncompleteRead):
        return FailureKind.TRUNCATED
    if isinstance(error, (http.client.RemoteDisconnected, OSError)):
        return FailureKind.CLOSED
    return FailureKind.MALFORMED


def _fail(step: str, peer: str, cause: str, kind: FailureKind) -> ExchangeError:
    return ExchangeError(step=step, peer=peer, cause=cause, kind=kind)
