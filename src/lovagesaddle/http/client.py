"""HTTP exchanges over pooled connections, one request at a time on each.

A connection returns to the pool only after a complete and checked answer.
Otherwise it is closed, so that a late answer can't reach another request.
"""

import collections
import dataclasses
import functools
import http.client
import socket
import threading
import time
from typing import Self

from returns import result

from lovagesaddle.core.routing import header_names
from lovagesaddle.http import answer_budget
from lovagesaddle.http import exchange_errors
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import open_answers
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
FailureKind = exchange_errors.FailureKind
ExchangeError = exchange_errors.ExchangeError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Holds a complete answer."""

    status: int
    headers: headers_lib.Headers
    body: bytes


ExchangeResult = result.Result[Reply, ExchangeError]
OpenAnswer = open_answers.OpenAnswer[ExchangeError]
OpenResult = result.Result[OpenAnswer, ExchangeError]
_Read = Reply | OpenAnswer


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
        match self._begin(address, request, guard, None):
            case result.Success(Reply() as reply):
                return result.Success(reply)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("unreachable")

    def open_answer(
        self,
        address: str,
        request: Request,
        guard: watchdog.Guard,
        held_bytes: int,
    ) -> OpenResult:
        """Sends a request and reads the begin of the answer.

        Args:
          address: `ip:port`.
          request: What to send.
          guard: Bounds the exchange until this method returns.
          held_bytes: Bytes of the body that are read before that; an answer
            with no more of them is read whole, and its connection released.
        """
        match self._begin(address, request, guard, held_bytes):
            case result.Success(open_answers.OpenAnswer() as answer):
                return result.Success(answer)
            case result.Failure(error):
                return result.Failure(error)
        raise AssertionError("unreachable")

    def _begin(
        self,
        address: str,
        request: Request,
        guard: watchdog.Guard,
        held_bytes: int | None,
    ) -> result.Result[_Read, ExchangeError]:
        """Reads a whole answer, or opens it if `held_bytes` is given."""
        if not guard.remaining_s:
            # The guard's thread may not have run since a pause of the process.
            cause = "the wait has ended"
            return result.Failure(
                exchange_errors.fail(
                    "connect", address, cause, FailureKind.NOT_SENT
                )
            )
        own_id = request.headers.get(self._request_id_header, "")
        try:
            connection, is_reused = self._acquire(address, guard, own_id)
        except (OSError, ValueError, OverflowError) as error:
            # The address may come from a list that others wrote.
            return result.Failure(
                exchange_errors.fail(
                    "connect", address, str(error), FailureKind.NOT_SENT
                )
            )

        def end(head: responses.Head, keeps: bool) -> None:
            idle_s = requests.parse_idle_timeout(head.headers) if keeps else 0.0
            self._release(address, connection, idle_s, own_id)

        # On a new connection no answer to an earlier request can arrive late.
        late = MAX_LATE_ANSWERS if is_reused else 0
        link = _Link(connection=connection, late=late, end=end)
        outcome = self._exchange(address, request, guard, link, held_bytes)
        if isinstance(outcome, result.Failure):
            connection.close()
        return outcome

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
        address: str,
        request: Request,
        guard: watchdog.Guard,
        link: "_Link",
        held_bytes: int | None,
    ) -> result.Result[_Read, ExchangeError]:
        """Reads a whole answer, or opens it if `held_bytes` is given."""
        sock = link.connection.sock
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
                head, is_reusable = self._read_matching(
                    reader, address, request, late=link.late
                )
                opened = open_answers.OpenAnswer(
                    head=head,
                    reader=reader,
                    allocation=allocation,
                    sock=sock,
                    end=link.end,
                    explain=functools.partial(
                        exchange_errors.explain, step, address
                    ),
                    is_reusable=is_reusable,
                )
                if held_bytes is not None:
                    opened.fill(held_bytes)
                    # The open answer releases its own.
                    allocation = answer_budget.Allocation(self._budget)
                else:
                    body = reader.read_body(head)
                    opened.is_read = True
                    # The body is passed on, which takes memory until then.
                    answer_budget.keep(allocation)
                    allocation = answer_budget.Allocation(self._budget)
        except ExchangeError as error:
            return result.Failure(error)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return result.Failure(
                exchange_errors.explain(step, address, error, guard)
            )
        finally:
            allocation.release()
        opened.settle()
        if held_bytes is not None:
            return result.Success(opened)
        return result.Success(
            Reply(status=head.status, headers=head.headers, body=body)
        )

    def _read_matching(
        self,
        reader: responses.AnswerReader,
        address: str,
        request: Request,
        *,
        late: int,
    ) -> tuple[responses.Head, bool]:
        """Reads up to the head of the answer that belongs to the request.

        A server may send a second answer to an earlier request, which then
        arrives before the answer to this one.

        Args:
          reader: Reads answers.
          address: `ip:port` of the peer.
          request: What was sent.
          late: Number of answers to earlier requests that may be skipped.

        Returns:
          The head, and whether it was the first one.
        """
        for left in range(late, -1, -1):
            head = reader.read_head()
            mismatch = self._find_mismatch(request, head, is_reused=bool(late))
            if mismatch and (not left or head.closes):
                raise exchange_errors.fail(
                    "check answer", address, mismatch, FailureKind.MALFORMED
                )
            if head.is_unframed and not self._allows_unframed:
                cause = "answer states no length, so its end can't be checked"
                raise exchange_errors.fail(
                    "read answer", address, cause, FailureKind.MALFORMED
                )
            if not mismatch:
                return head, left == late
            reader.read_body(head)
        raise AssertionError("unreachable")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Link:
    """Holds the connection of one exchange, and what may arrive late on it."""

    connection: http.client.HTTPConnection
    late: int
    end: open_answers.EndCallback
