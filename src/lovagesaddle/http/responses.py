"""Reads the head of an answer, strictly and without the email parser.

`http.client` takes the first of several lengths and parses headers as those
of a mail; a node must not guess where an answer ends, and reads two heads for
each call.
"""

import http
import http.client
import io
import socket
from typing import Any

LINE_BYTES = 65_536
MAX_HEADERS = 100
LENGTH = "content-length"
CODING = "transfer-encoding"
STATUS_FIELDS = 3
HTTP_11 = 11


class _Source(io.RawIOBase):
    """The bytes of a connection, until they are held back.

    Args:
      sock: The connection.
      first: Bytes that were read from it before.
    """

    def __init__(self, sock: socket.socket, first: bytes) -> None:
        super().__init__()
        # The connection may close its socket before the answer is read; the
        # file keeps the descriptor open.
        self._raw = sock.makefile("rb", buffering=0)
        self._first = first
        self.is_held_back = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: Any, /) -> int | None:
        """Fills `buffer`; returns None for no bytes while held back."""
        if self.is_held_back:
            return None
        view = memoryview(buffer)
        if self._first:
            taken = self._first[: len(view)]
            self._first = self._first[len(taken) :]
            view[: len(taken)] = taken
            return len(taken)
        return self._raw.readinto(view)

    def close(self) -> None:
        """Gives the descriptor back."""
        self._raw.close()
        super().close()


class StrictResponse(http.client.HTTPResponse):
    """An answer whose framing is stated once and in one way.

    Args:
      sock: Connection that it arrives on.
      debuglevel: Of http.client.
      method: Of the request.
      url: Of the request.
      first: Bytes that an earlier answer on the connection left over.

    Attributes:
      left_over: Bytes that arrived after the answer; they are no part of it.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        first: bytes = b"",
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.fp.close()
        self._source = _Source(sock, first)
        self.fp = io.BufferedReader(self._source)
        self._is_head = method == "HEAD"
        self.left_over = b""

    def begin(self) -> None:
        """Reads the status line and the headers.

        Raises:
          http.client.HTTPException: The head is malformed or ambiguous.
        """
        if self.headers is not None:
            return
        while True:
            self.version, self.status, self.reason = self._read_first_line()
            headers = self._read_headers()
            if self.status != http.HTTPStatus.CONTINUE:
                break
        self.code = self.status
        self.headers = self.msg = headers
        self._frame(headers)

    def _close_conn(self) -> None:
        """Ends the reading; http.client calls it after the last byte."""
        self._source.is_held_back = True
        if self.fp is not None:
            self.left_over = self.fp.peek()
        super()._close_conn()  # type: ignore[misc]

    def _read_first_line(self) -> tuple[int, int, str]:
        line = self._read_line()
        if not line:
            raise http.client.RemoteDisconnected("closed without an answer")
        version, _, rest = line.partition(" ")
        status, _, reason = rest.partition(" ")
        if version not in ("HTTP/1.0", "HTTP/1.1") or not (
            len(status) == STATUS_FIELDS and status.isdigit()
        ):
            raise http.client.BadStatusLine(line)
        return int(version[-3] + version[-1]), int(status), reason.strip()

    def _read_headers(self) -> http.client.HTTPMessage:
        headers = http.client.HTTPMessage()
        for _ in range(MAX_HEADERS):
            line = self._read_line()
            if not line:
                raise http.client.IncompleteRead(b"")
            if line in ("\r\n", "\n"):
                return headers
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise http.client.BadStatusLine(line)
            headers.set_raw(name, value.strip())
        raise http.client.HTTPException("too many headers")

    def _read_line(self) -> str:
        line = self.fp.readline(LINE_BYTES + 1)
        if len(line) > LINE_BYTES:
            raise http.client.LineTooLong("answer head")
        return line.decode("latin-1")

    def _frame(self, headers: http.client.HTTPMessage) -> None:
        lengths = headers.get_all(LENGTH, [])
        codings = headers.get_all(CODING, [])
        if len(lengths) + len(codings) > 1:
            raise http.client.HTTPException("answer states two lengths")
        self.chunked = bool(codings)
        if codings and codings[0].lower() != "chunked":
            raise http.client.HTTPException("answer has an unknown coding")
        self.chunk_left = None
        self.length = None
        if lengths:
            if not (lengths[0].isascii() and lengths[0].isdigit()):
                raise http.client.HTTPException("answer's length is malformed")
            self.length = int(lengths[0])
        if self._has_no_body():
            self.length = 0
            self.chunked = False
        unframed = not self.chunked and self.length is None
        self.will_close = unframed or self._says_close(headers)

    def _has_no_body(self) -> bool:
        return self._is_head or self.status in (
            http.HTTPStatus.NO_CONTENT,
            http.HTTPStatus.NOT_MODIFIED,
        )

    def _says_close(self, headers: http.client.HTTPMessage) -> bool:
        options = headers.get("connection", "").lower()
        if self.version == HTTP_11:
            return "close" in options
        return "keep-alive" not in options
