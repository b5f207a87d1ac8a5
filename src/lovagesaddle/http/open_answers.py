"""Answers whose bodies are read piece by piece, within bounded memory."""

from collections.abc import Callable, Iterator
import dataclasses
import http.client
import socket
from typing import Generic, TypeVar

from returns import result

from lovagesaddle.core import errors
from lovagesaddle.http import answer_budget
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import responses
from lovagesaddle.http import sockets
from lovagesaddle.http import watchdog

# Less than the bytes that each answer may always hold, of which some are
# buffered by the reader.
READ_BYTES = answer_budget.ASSURED_BYTES // 2

ErrorT = TypeVar("ErrorT", bound=errors.LovagesaddleError)
EndCallback = Callable[[responses.Head, bool], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Piece:
    """Bytes of a body.

    Attributes:
      data: The bytes; empty only if the body is.
      is_last: Whether the body ends with them, as its framing says.
    """

    data: bytes
    is_last: bool


class OpenAnswer(Generic[ErrorT]):
    """An answer of which some is read; its user closes it or reads its end.

    One thread at a time may use it; `abort` may be called by any.

    Args:
      head: Head of the answer.
      reader: Reads the rest from the connection.
      allocation: Memory that the answer holds.
      sock: The connection.
      end: Called once with the head and whether the connection may be kept for
        other requests.
      explain: Makes the error of a failed read.
      is_reusable: Whether the connection may be kept after the end.
    """

    def __init__(
        self,
        *,
        head: responses.Head,
        reader: responses.AnswerReader,
        allocation: answer_budget.Allocation,
        sock: socket.socket,
        end: EndCallback,
        explain: Callable[[Exception, watchdog.Guard], ErrorT],
        is_reusable: bool,
    ) -> None:
        self.head = head
        self._reader = reader
        self._allocation = allocation
        self._sock = sock
        self._end = end
        self._explain = explain
        self._is_reusable = is_reusable
        self._pieces: Iterator[bytes] = reader.iterate_body(head, READ_BYTES)
        self._buffer = bytearray()
        self._is_closed = False
        self.is_read = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status

    @property
    def headers(self) -> headers_lib.Headers:
        """Headers in the order received."""
        return self.head.headers

    def fill(self, wanted_bytes: int) -> None:
        """Reads on until more than `wanted_bytes` are held, or to the end.

        Less is held while other answers use up the memory budget.

        Raises:
          http.client.HTTPException: The body is malformed or truncated.
          OSError: The connection broke or the wait has ended.
        """
        while not self.is_read and len(self._buffer) <= wanted_bytes:
            if self._buffer and not self._allocation.has_room(READ_BYTES):
                return
            piece = next(self._pieces, None)
            if piece is None:
                self.is_read = True
                return
            self._buffer += piece

    def take(
        self, max_bytes: int, guard: watchdog.Guard
    ) -> result.Result[Piece, ErrorT]:
        """Returns the next bytes of the body; closes the answer on an error.

        Args:
          max_bytes: Most bytes to return.
          guard: Bounds the wait; its end closes the connection.
        """
        if not self.is_read:
            try:
                with guard.on_end(self.abort):
                    self._reader.rebind(guard)
                    self.fill(max_bytes)
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.close()
                return result.Failure(self._explain(error, guard))
            self.settle()
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        self._allocation.shrink(len(self._buffer))
        is_last = self.is_read and not self._buffer
        return result.Success(Piece(data=data, is_last=is_last))

    def settle(self) -> None:
        """Releases the connection if the whole answer was read from it.

        Not while a guard may abort it: it may serve another request at once.
        """
        if self.is_read:
            self._close(
                keeps=self._is_reusable
                and not (self.head.closes or self._reader.has_more())
            )

    def abort(self) -> None:
        """Ends a read that another thread may be in."""
        if not self._is_closed:
            sockets.abort(self._sock)

    def close(self) -> None:
        """Closes the connection, unless the whole answer was read."""
        self._buffer.clear()
        self._close(keeps=False)
        self._allocation.release()

    def _close(self, *, keeps: bool) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._end(self.head, keeps)
