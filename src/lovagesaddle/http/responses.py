"""Strict reading of answers within a memory budget and a time limit.

`http.client` uses the first of several lengths, parses headers with the slow
email parser and reads for as long as bytes arrive. A node must not guess where
an answer ends, reads two answers for each call, and must survive a peer that
never stops sending.
"""

from collections.abc import Iterator
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

# Limit on all framing of one answer: its head and the interim heads before it,
# its trailers, and the overhead of its chunks beyond their data. http.client
# allows as much for a single line.
MAX_FRAMING_BYTES = 65_536
MAX_HEADERS = 100
# Bytes per read from the kernel, and so the most by which a limit is exceeded.
READ_BYTES = 65_536
HTTP_11 = "1"
_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"([01]) ([1-5][0-9]{2})( [^\r\n]*)?\r?\n")
_HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\0]*)\r?\n")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_EMPTY_LINES = (b"\r\n", b"\n")
_LINE_END = b"\r\n"


class AnswerTooLargeError(http.client.HTTPException):
    """Raised when an answer exceeds the memory budget."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Holds the head of a final answer.

    Attributes:
      status: HTTP status.
      headers: Names and values in the order received.
      length: Bytes of the body; None when it is chunked or has no length.
      chunked: Whether the body uses chunked transfer coding.
      closes: Whether the connection closes after the answer.
    """

    status: int
    headers: headers_lib.Headers
    length: int | None
    chunked: bool
    closes: bool

    @property
    def is_unframed(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self.length is None and not self.chunked


class _SocketReader(io.RawIOBase):
    """Reads from a connection, reserves the memory and can be paused.

    Args:
      sock: The connection.
      allocation: Reserves memory for the received bytes.
      guard: Bounds the time.
    """

    def __init__(
        self,
        sock: socket.socket,
        allocation: answer_budget.Allocation,
        guard: watchdog.Guard,
    ) -> None:
        super().__init__()
        self._sock = sock
        self._allocation = allocation
        self._guard = guard
        self.is_paused = False

    def rebind(self, guard: watchdog.Guard) -> None:
        """Lets another guard bound the reads from now on."""
        self._guard = guard

    def readable(self) -> bool:
        """Returns True, as `io.BufferedReader` refuses other streams."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Reads into `buffer`; returns None without reading while paused.

        Raises:
          AnswerTooLargeError: The received bytes exceed the memory budget.
          TimeoutError: The wait has ended, even if bytes still arrive.
        """
        if self.is_paused:
            return None
        watchdog.limit_wait(self._sock, self._guard)
        received = self._sock.recv_into(buffer)
        if not received and self._guard.reason is not None:
            # The end of input comes from the watchdog, which shut the
            # connection down, and not from the peer.
            raise TimeoutError("the wait has ended")
        if not self._allocation.grow(received):
            raise AnswerTooLargeError("answer exceeds the memory budget")
        return received


class AnswerReader:
    """Reads the answers to one request from a connection.

    Args:
      sock: The connection.
      method: Method of the request.
      allocation: Reserves memory for all that is read.
      guard: Bounds the time.
    """

    def __init__(
        self,
        sock: socket.socket,
        *,
        method: str,
        allocation: answer_budget.Allocation,
        guard: watchdog.Guard,
    ) -> None:
        self._is_head = method == "HEAD"
        self._allocation = allocation
        self._reader = _SocketReader(sock, allocation, guard)
        self._file = io.BufferedReader(self._reader)
        self._framing_left = MAX_FRAMING_BYTES

    def read_head(self) -> Head:
        """Reads the head of the next final answer and skips interim ones.

        Raises:
          http.client.HTTPException: The head is malformed, ambiguous or too
            long.
          OSError: The connection broke or the wait has ended.
        """
        self._framing_left = MAX_FRAMING_BYTES
        status = 0
        while status < http.HTTPStatus.OK:
            if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("unrequested protocol switch")
            minor, status = self._read_status_line()
            headers = self._read_headers()
        return self._make_head(minor, status, headers)

    def read_body(self, head: Head) -> bytes:
        """Reads the complete body that belongs to a head.

        Raises:
          AnswerTooLargeError: The body exceeds the memory budget.
          http.client.HTTPException: The body is malformed or truncated.
          OSError: The connection broke or the wait has ended.
        """
        if head.length is not None:
            return self._read_exactly(head.length)
        body = io.BytesIO()
        if head.chunked:
            while size := self._read_chunk_size():
                body.write(self._read_exactly(size))
                self._end_chunk(size)
            self._read_headers()
        else:
            while piece := self._file.read(READ_BYTES):
                body.write(piece)
        return body.getvalue()

    def iterate_body(self, head: Head, piece_bytes: int) -> Iterator[bytes]:
        """Yields the body that belongs to a head in pieces.

        The pieces end only with the end of the body that its framing states;
        whoever keeps a piece counts it.

        Args:
          head: Head of the answer.
          piece_bytes: Most bytes of a piece.

        Raises:
          http.client.HTTPException: The body is malformed or truncated.
          OSError: The connection broke or the wait has ended.
        """
        if head.length is not None:
            yield from self._iterate_exactly(head.length, piece_bytes)
        elif head.chunked:
            while size := self._read_chunk_size():
                yield from self._iterate_exactly(size, piece_bytes)
                self._end_chunk(size)
            self._read_headers()
        else:
            while piece := self._file.read(piece_bytes):
                yield piece

    def rebind(self, guard: watchdog.Guard) -> None:
        """Lets another guard bound the reads from now on."""
        self._reader.rebind(guard)

    def has_more(self) -> bool:
        """Returns whether bytes are buffered that were not read yet."""
        self._reader.is_paused = True
        try:
            return bool(self._file.peek())
        finally:
            self._reader.is_paused = False

    def _read_status_line(self) -> tuple[bytes, int]:
        """Returns the minor version and the status.

        The start of the line is checked byte by byte, since a peer that does
        not speak HTTP may never send the end of a line.
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
        """Returns the next line of framing, with its line end."""
        line = self._file.readline(self._framing_left + 1)
        self._count_framing(len(line))
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(b"")
        return line

    def _count_framing(self, count: int) -> None:
        """Counts bytes of framing; a negative count offsets chunk data."""
        self._framing_left = min(self._framing_left - count, MAX_FRAMING_BYTES)
        if self._framing_left < 0:
            raise http.client.LineTooLong("answer's head or chunk framing")

    def _read_chunk_size(self) -> int:
        matched = _CHUNK.fullmatch(self._read_line())
        if matched is None:
            raise http.client.HTTPException("malformed chunk size")
        return int(matched[1], base=16)

    def _read_exactly(self, size: int) -> bytes:
        """Returns `size` bytes, allocating memory only as they arrive."""
        # Up to READ_BYTES of the `size` bytes may be in the read buffer already
        # and so be counted in the allocation.
        if not self._allocation.has_room(size - READ_BYTES):
            raise AnswerTooLargeError(
                f"answer of {size} bytes exceeds the memory budget"
            )
        if size <= READ_BYTES:
            return self._check_length(self._file.read(size), size)
        body = io.BytesIO()
        while size:
            wanted = min(size, READ_BYTES)
            body.write(self._check_length(self._file.read(wanted), wanted))
            size -= wanted
        return body.getvalue()

    def _iterate_exactly(self, size: int, piece_bytes: int) -> Iterator[bytes]:
        while size:
            wanted = min(size, piece_bytes)
            yield self._check_length(self._file.read(wanted), wanted)
            size -= wanted

    def _end_chunk(self, size: int) -> None:
        if self._file.read(len(_LINE_END)) != _LINE_END:
            raise http.client.HTTPException("chunk exceeds its size")
        self._count_framing(len(_LINE_END) - size)

    def _check_length(self, data: bytes, wanted: int) -> bytes:
        if len(data) < wanted:
            raise http.client.IncompleteRead(b"", wanted - len(data))
        return data

    def _make_head(
        self, minor: bytes, status: int, headers: headers_lib.Headers
    ) -> Head:
        lengths = headers_lib.get_all(headers, headers_lib.CONTENT_LENGTH)
        codings = headers_lib.get_all(headers, headers_lib.TRANSFER_ENCODING)
        if len(lengths) + len(codings) > 1:
            raise http.client.HTTPException("answer states two lengths")
        if codings and codings[0].lower() != "chunked":
            raise http.client.HTTPException(
                "answer has an unknown transfer coding"
            )
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
