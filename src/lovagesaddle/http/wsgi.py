"""Conversion between WSGI and the requests and answers of applications."""

import abc
from collections.abc import Callable, Iterable, Iterator, Mapping
import dataclasses
import http
import json
from typing import Any

from lovagesaddle.core.model import outcomes
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import parser

HEADER_PREFIX = "HTTP_"
JSON_TYPE = "application/json"
PLAIN_KEYS = {
    "CONTENT_TYPE": "content-type",
    "CONTENT_LENGTH": "content-length",
}
StartResponse = Callable[..., Any]
Environ = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """Holds a complete request.

    Attributes:
      method: Upper-case method.
      target: Path and query, as sent.
      path: Path without the query, as sent.
      headers: Lower-case names to values.
      content_length: Length of the body, in bytes.
      read_body: Returns the body.
      is_gone: Returns whether the requester has disconnected.
      arrived_at: Monotonic time when it was complete, in seconds.
      body_s: Time from the end of its header to the end of its body, in
        seconds.
    """

    method: str
    target: str
    path: str
    headers: Mapping[str, str]
    content_length: int
    read_body: Callable[[], bytes]
    is_gone: Callable[[], bool]
    arrived_at: float
    body_s: float = 0.0


class BodyParts(abc.ABC):
    """Yields the body of an answer in parts, while it is being sent.

    Attributes:
      length: Size of the whole body, in bytes; None if unknown.
    """

    length: int | None

    @abc.abstractmethod
    def __iter__(self) -> Iterator[bytes]:
        """Yields the parts.

        An OSError ends the connection before the end of the body.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends what still works on the body; called once it isn't needed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Holds the answer to a request.

    Attributes:
      status: HTTP status.
      headers: Names and values, without Content-Length and hop-by-hop headers.
      body: The whole body, if it doesn't come in parts.
      parts: The body in parts; None if it is whole.
    """

    status: int
    headers: headers_lib.Headers = ()
    body: bytes = b""
    parts: BodyParts | None = None


def read_request(environ: Environ) -> IncomingRequest:
    """Returns the request of a WSGI environment."""
    target = environ["REQUEST_URI"]
    arrived_at = environ[parser.ARRIVED_AT]
    received = {
        key[len(HEADER_PREFIX) :].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith(HEADER_PREFIX)
    }
    for key, name in PLAIN_KEYS.items():
        if key in environ:
            received[name] = environ[key]
    return IncomingRequest(
        method=environ["REQUEST_METHOD"],
        target=target,
        path=target.partition("?")[0],
        headers=received,
        content_length=int(received.get("content-length") or 0),
        read_body=environ["wsgi.input"].read,
        is_gone=environ["waitress.client_disconnected"],
        arrived_at=arrived_at,
        body_s=arrived_at - environ[parser.HEADED_AT],
    )


def write_answer(
    answer: Answer, method: str, start_response: StartResponse
) -> Iterable[bytes]:
    """Starts a WSGI response and returns its body."""
    lines = list(answer.headers)
    if answer.parts is not None:
        if answer.parts.length is not None:
            lines.append(("Content-Length", str(answer.parts.length)))
        start_response(format_status(answer.status), lines)
        return answer.parts
    if method != "HEAD":
        lines.append(("Content-Length", str(len(answer.body))))
    start_response(format_status(answer.status), lines)
    return [answer.body]


def format_status(status: int) -> str:
    """Returns the status code with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def make_json(
    status: int, content: Mapping[str, Any], extra: headers_lib.Headers = ()
) -> Answer:
    """Returns an answer with a JSON object."""
    return Answer(
        status=status,
        headers=(("Content-Type", JSON_TYPE), *extra),
        body=json.dumps(content).encode() + b"\n",
    )


def make_failure(
    status: int,
    reason: str,
    outcome: outcomes.RequestOutcome,
    extra: headers_lib.Headers = (),
) -> Answer:
    """Returns the answer to a failed request, with its outcome."""
    return make_json(
        status,
        {"error": reason, "outcome": outcome.value},
        ((outcomes.OUTCOME_HEADER, outcome.value), *extra),
    )
