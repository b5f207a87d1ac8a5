"""Strict parsing of requests, and the answers to malformed ones.

waitress answers a malformed request before any application sees it. The
classes here refuse what waitress leaves open to request smuggling, and add the
header that reports that nothing ran.
"""

import http
import time
from typing import Any

from waitress import parser
from waitress import task
from waitress import utilities

from lovagesaddle.core.model import outcomes

FRAMING_HEADERS = (b"transfer-encoding", b"content-length", b"host")
MAX_HEADER_BYTES = 16 * 1024
ARRIVED_AT = "lovagesaddle.arrived_at"
HEADED_AT = "lovagesaddle.headed_at"
HTTP_10 = "1.0"
HEAD = b"HEAD "
UNPROVEN = http.HTTPStatus.INTERNAL_SERVER_ERROR


class StrictParser(parser.HTTPRequestParser):  # type: ignore[misc]
    """Refuses requests whose length or host is ambiguous.

    Attributes:
      headed_at: Monotonic time when its header was complete, in seconds.
      arrived_at: Monotonic time when it was complete and was dispatched, in
        seconds; 0 before that.
    """

    headed_at: float = 0.0
    arrived_at: float = 0.0
    _method_bytes: bytes = b""

    @property
    def is_head(self) -> bool:
        """Whether its method is HEAD, also if the request is malformed."""
        return self._method_bytes == HEAD

    def received(self, data: bytes) -> int:
        """Parses received bytes; returns how many belong to the request.

        Unlike waitress's method, it counts only the data of a chunked body
        against the limit on bodies, as with Content-Length. Chunk lines and
        trailers have the limit of the header.
        """
        if len(self._method_bytes) < len(HEAD):
            # Empty lines may precede a request.
            start = (self._method_bytes + data).lstrip(b"\r\n")
            self._method_bytes = start[: len(HEAD)]
        receiver = self.body_rcv
        if self.completed or receiver is None or not self.chunked:
            return int(super().received(data))
        consumed = int(receiver.received(data))
        self.body_bytes_received = len(receiver)
        framing_bytes = len(receiver.control_line) + len(receiver.trailer)
        if self.body_bytes_received >= self.adj.max_request_body_size:
            self.error = utilities.RequestEntityTooLarge("body in chunks")
        elif framing_bytes >= self.adj.max_request_header_size:
            self.error = utilities.RequestEntityTooLarge("chunk framing")
        elif receiver.error:
            self.error = receiver.error
        elif receiver.completed:
            self.headers["CONTENT_LENGTH"] = str(len(receiver))
        self.completed: bool = bool(self.error or receiver.completed)
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parses the request line and the headers.

        Raises:
          parser.ParsingError: The request is answered with 400.
        """
        self.headed_at = time.monotonic()
        counts = _count_framing(header_plus)
        if any(count > 1 for count in counts.values()):
            raise parser.ParsingError("A framing header is repeated")
        if counts[b"transfer-encoding"] and counts[b"content-length"]:
            raise parser.ParsingError("Two lengths are stated")
        super().parse_header(header_plus)
        if self.version == HTTP_10 and counts[b"transfer-encoding"]:
            raise parser.ParsingError("HTTP/1.0 has no transfer codings")
        if not self.request_uri.startswith("/"):
            raise parser.ParsingError("The request target is not a path")


class _HeadAwareTask(task.Task):  # type: ignore[misc]
    """Writes no body after the head of an answer to HEAD."""

    def write(self, data: bytes) -> None:
        """Writes the header with the first part, and the part itself."""
        super().write(b"" if self.request.is_head else data)


class OutcomeErrorTask(_HeadAwareTask, task.ErrorTask):  # type: ignore[misc]
    """Answers a request that did not reach the application."""

    def execute(self) -> None:
        """Writes the error and the outcome of the request."""
        unproven = isinstance(self.request.error, utilities.InternalServerError)
        outcome = (
            outcomes.RequestOutcome.UNKNOWN
            if unproven
            else outcomes.RequestOutcome.NOT_RUN
        )
        self.response_headers.append((outcomes.OUTCOME_HEADER, outcome.value))
        super().execute()


class ClosingTask(_HeadAwareTask, task.WSGITask):  # type: ignore[misc]
    """Adds `Connection: close` to answers while the server is stopping.

    Headers and body are joined into one write, since a second system call
    costs more than joining them.
    """

    wrote_header: bool = False
    content_bytes_written: int = 0

    def get_environment(self) -> dict[str, Any]:
        """Returns the WSGI environment, with the arrival times added."""
        environ: dict[str, Any] = super().get_environment()
        environ[HEADED_AT] = self.request.headed_at
        environ[ARRIVED_AT] = self.request.arrived_at
        return environ

    def write(self, data: bytes) -> None:
        """Writes a part of the body, the first one with the headers."""
        joined = (
            data
            and not self.wrote_header
            and self.complete
            and self.has_body
            and not self.request.is_head
            and self.content_length == len(data)
        )
        if not joined:
            super().write(data)
            return
        head = self.build_response_header()
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)

    def build_response_header(self) -> Any:
        """Returns the encoded status line and headers."""
        if self.channel.server.stopping:
            self.set_close_on_finish()
        return super().build_response_header()


def _count_framing(header_plus: bytes) -> dict[bytes, int]:
    counts = dict.fromkeys(FRAMING_HEADERS, 0)
    for line in header_plus.split(b"\n")[1:]:
        name = line.partition(b":")[0].strip().lower()
        if name in counts:
            counts[name] += 1
    return counts
