"""Reads answers strictly, and never more of them than there is room for.

`http.client` takes the first of several lengths, parses headers as those of a
mail, and reads on for as long as bytes arrive. A node must not guess where an
answer ends, reads two for each call, and outlives a peer whose bytes never
end.
"""

import dataclasses
import http
import http.client
import io
import re
import socket
from typing import Any

from lovagesaddle.http import answer_budget
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import watchdog

# All that frames one answer: its head with the interim ones before it, its
# trailers, and what the frames of its chunks take beyond their data.
# http.client allows as much for one line.
HEAD_BYTES = 65_536
MAX_HEADERS = 100
# What is taken from the kernel at a time, and so beyond a bound at most.
PIECE_BYTES = 65_536
HTTP_11 = "1"
_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"([01]) ([1-5][0-9]{2})( [^\r\n]*)?\r?\n")
_HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\0]*)\r?\n")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_EMPTY_LINES = (b"\r\n", b"\n")
_LINE_END = b"\r\n"


class AnswerTooLargeError(http.client.HTTPException):
    """Raised when there is no room for an answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The head of a final answer.

    Attributes:
      status: HTTP status.
      headers: Names and values in their order.
      length: Bytes of the body; None when it is chunked or has no length.
      chunked: Whether the body comes in chunks.
      closes: Whether the connection ends after the answer.
    """

    status: int
    headers: headers_lib.Headers
    length: int | None
    chunked: bool
    closes: bool

    @property
    def is_unframed(self) -> bool:
        """Whether the body ends with the connection."""
        return self.length is None and not self.chunked


class _Source(io.RawIOBase):
    """The bytes of a connection, counted, until they are held back.

    Args:
      sock: The connection.
      share: Room for what arrives.
      guard: Bounds the time.
    """

    def __init__(
        self,
        sock: socket.socket,
        share: answer_budget.Allocation,
        guard: watchdog.Guard,
    ) -> None:
        super().__init__()
        self._sock = sock
        self._share = share
        self._guard = guard
        self.is_held_back = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Fills `buffer`; returns None for no bytes while held back.

        Raises:
          AnswerTooLargeError: There is no room for what arrived.
          TimeoutError: The wait is over, whether bytes arrive or not.
        """
        if self.is_held_back:
            return None
        watchdog.limit_wait(self._sock, self._guard)
        received = self._sock.recv_into(buffer)
        if not received and self._guard.reason is not None:
            # The connection's end is the watchdog's and not the peer's.
            raise TimeoutError("the wait is over")
        if not self._share.grow(received):
            raise AnswerTooLargeError("no room for the answer")
        return received


class AnswerReader:
    """Reads the answers to one request from a connection.

    Args:
      sock: The connection.
      method: Of the request.
      share: Room for all that is read.
      guard: Bounds the time.
    """

    def __init__(
        self,
        sock: socket.socket,
        *,
        method: str,
        share: answer_budget.Allocation,
        guard: watchdog.Guard,
    ) -> None:
        self._is_head = method == "HEAD"
        self._share = share
        self._source = _Source(sock, share, guard)
        self._file = io.BufferedReader(self._source)
        self._head_left = HEAD_BYTES

    def read_head(self) -> Head:
        """Reads the head of the next final answer, past the interim ones.

        Raises:
          http.client.HTTPException: The head is malformed, ambiguous or too
            long.
          OSError: The connection broke or the wait is over.
        """
        self._head_left = HEAD_BYTES
        status = 0
        while status < http.HTTPStatus.OK:
            if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("nobody asked to switch")
            minor, status = self._read_status_line()
            headers = self._read_headers()
        return self._frame(minor, status, headers)

    def read_body(self, head: Head) -> bytes:
        """Reads the whole body that belongs to a head.

        Raises:
          AnswerTooLargeError: There is no room for it.
          http.client.HTTPException: It is malformed or cut.
          OSError: The connection broke or the wait is over.
        """
        if head.length is not None:
            return self._read_exactly(head.length)
        body = io.BytesIO()
        if head.chunked:
            while size := self._read_chunk_size():
                body.write(self._read_exactly(size))
                if self._file.read(len(_LINE_END)) != _LINE_END:
                    raise http.client.HTTPException("chunk runs on")
                self._spend(len(_LINE_END) - size)
            self._read_headers()
        else:
            while piece := self._file.read(PIECE_BYTES):
                body.write(piece)
        return body.getvalue()

    def has_more(self) -> bool:
        """Returns whether bytes arrived beyond what was read."""
        self._source.is_held_back = True
        try:
            return bool(self._file.peek())
        finally:
            self._source.is_held_back = False

    def _read_status_line(self) -> tuple[bytes, int]:
        """Returns the minor version and the status.

        The line is judged from its first byte, since what is no answer may
        never bring a line's end.
        """
        for number, expected in enumerate(_START):
            byte = self._file.read(1)
            if not byte and not number:
                raise http.client.RemoteDisconnected("closed without an answer")
            if byte != bytes((expected,)):
                raise http.client.BadStatusLine(repr(_START[:number] + byte))
        line = self._read_line()
        matched = _STATUS_LINE.fullmatch(line)
        if matched is None:
            raise http.client.BadStatusLine(repr(_START + line))
        return matched[1], int(matched[2])

    def _read_headers(self) -> headers_lib.Headers:
        """Reads headers or trailers up to the empty line."""
        headers: list[tuple[str, str]] = []
        while (line := self._read_line()) not in _EMPTY_LINES:
            matched = _HEADER.fullmatch(line)
            if matched is None:
                raise http.client.HTTPException("malformed header")
            if len(headers) >= MAX_HEADERS:
                raise http.client.HTTPException("too many headers")
            name, value = matched[1], matched[2].strip(b" \t")
            headers.append((name.decode("latin-1"), value.decode("latin-1")))
        return tuple(headers)

    def _read_line(self) -> bytes:
        """Returns a line that frames the answer, with its end."""
        line = self._file.readline(self._head_left + 1)
        self._spend(len(line))
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(b"")
        return line

    def _spend(self, count: int) -> None:
        """Counts bytes that frame the answer, less what they framed."""
        self._head_left = min(self._head_left - count, HEAD_BYTES)
        if self._head_left < 0:
            raise http.client.LineTooLong("answer's head or frames")

    def _read_chunk_size(self) -> int:
        matched = _CHUNK.fullmatch(self._read_line())
        if matched is None:
            raise http.client.HTTPException("malformed chunk size")
        return int(matched[1], base=16)

    def _read_exactly(self, size: int) -> bytes:
        """Returns that many bytes, taking memory only as they arrive."""
        # A part of them may be counted already.
        if not self._share.has_room(size - PIECE_BYTES):
            raise AnswerTooLargeError(f"no room for {size} bytes")
        if size <= PIECE_BYTES:
            return self._check(self._file.read(size), size)
        body = io.BytesIO()
        while size:
            wanted = min(size, PIECE_BYTES)
            body.write(self._check(self._file.read(wanted), wanted))
            size -= wanted
        return body.getvalue()

    def _check(self, data: bytes, wanted: int) -> bytes:
        if len(data) < wanted:
            raise http.client.IncompleteRead(b"", wanted - len(data))
        return data

    def _frame(
        self, minor: bytes, status: int, headers: headers_lib.Headers
    ) -> Head:
        lengths = headers_lib.get_all(headers, headers_lib.CONTENT_LENGTH)
        codings = headers_lib.get_all(headers, headers_lib.TRANSFER_ENCODING)
        if len(lengths) + len(codings) > 1:
            raise http.client.HTTPException("answer states two lengths")
        if codings and codings[0].lower() != "chunked":
            raise http.client.HTTPException("answer has an unknown coding")
        if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
            raise http.client.HTTPException("answer's length is malformed")
        length = int(lengths[0]) if lengths else None
        chunked = bool(codings)
        if self._is_head or status in (
            http.HTTPStatus.NO_CONTENT,
            http.HTTPStatus.NOT_MODIFIED,
        ):
            length, chunked = 0, False
        options = headers_lib.get_all(headers, headers_lib.CONNECTION)
        option = ",".join(options).lower()
        keeps = "close" not in option
        if minor.decode() != HTTP_11:
            keeps = "keep-alive" in option
        return Head(
            status=status,
            headers=headers,
            length=length,
            chunked=chunked,
            closes=not keeps or (length is None and not chunked),
        )
