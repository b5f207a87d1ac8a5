"""Measures the processor time of each part of a request at a node.

    python -m bench.request_parts [--calls 4000]

Each part runs alone on one thread. System calls, the wake-ups of threads and
their competition for the interpreter come on top of these times.
"""

import argparse
from collections.abc import Callable, Iterable
from concurrent import futures
import functools
import http
import sys
import time
from typing import Any

from waitress import adjustments

from bench import results
from lovagesaddle.core.routing import load_reports
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import headers
from lovagesaddle.http import hop
from lovagesaddle.http import parser
from lovagesaddle.http import requests
from lovagesaddle.http import wsgi

US_PER_S = 1_000_000
ADDRESS = "127.0.0.1:80"
REQUEST_ID = ("Request-Id", "9c41d07be2a35f68")
CALLER_REQUEST = (
    b"GET /layouts/2f HTTP/1.1\r\nHost: artwork.example\r\n"
    b"Request-Id: 9c41d07be2a35f68\r\nAccept: */*\r\n\r\n"
)
RUN_REQUEST = hop.RunRequest(
    attempt_id="9c41d07be2a35f68-aabbccdd.1",
    server_id="vm-1/artwork",
    incarnation=1,
    method="GET",
    target="/layouts/2f",
    headers=(("host", "artwork.example"), ("accept", "*/*"), REQUEST_ID),
    body=b"",
    remaining_ms=500,
    priority=1,
    fingerprint=bytes(32),
    route="layouts",
    target_ms=200,
)
RUN_ANSWER = hop.RunAnswer(
    attempt_id=RUN_REQUEST.attempt_id,
    outcome=hop.RunOutcome.ANSWERED,
    status=http.HTTPStatus.OK,
    headers=(REQUEST_ID,),
    body=bytes(600),
    load=load_reports.LoadReport(running=1, queued=0, limit=8, latency_s=0.1),
)


class _Channel:
    """Stands in for waitress's channel and server; writes nothing."""

    stopping = False
    effective_port = 80
    server_name = "bench"
    addr = ("127.0.0.1", 1)

    def __init__(self) -> None:
        self.adj = adjustments.Adjustments(ident="")
        self.server = self

    def application(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        request = wsgi.read_request(environ)
        answer = wsgi.Answer(status=200, headers=(REQUEST_ID,), body=bytes(600))
        return wsgi.write_answer(answer, request.method, start_response)

    def check_client_disconnected(self) -> bool:
        return False

    def write_soon(self, data: bytes) -> int:
        return len(data)


def _parse(channel: _Channel, data: bytes) -> parser.StrictParser:
    parsed = parser.StrictParser(channel.adj)
    while not parsed.completed:
        data = data[parsed.received(data) :]
    parsed.arrived_at = 0.0
    return parsed


def list_parts(
    pool: futures.Executor,
) -> dict[str, Callable[[], object]]:
    """Returns the parts by name."""
    signer = hop.EnvelopeSigner(b"secret")
    envelope = signer.sign(RUN_REQUEST)
    answer_envelope = signer.sign(RUN_ANSWER)
    channel = _Channel()
    parsed = _parse(channel, CALLER_REQUEST)
    sent = requests.Request(
        method="POST", target=hop.RUN_PATH, headers={}, body=envelope
    )
    hop_bytes = requests.encode_request(sent, ADDRESS)
    received = {"host": "a", "request-id": "b", "accept": "*/*"}
    return {
        "parse a caller's request": functools.partial(
            _parse, channel, CALLER_REQUEST
        ),
        "parse a hop as HTTP": functools.partial(_parse, channel, hop_bytes),
        "environment, WSGI and answer's head": lambda: parser.ClosingTask(
            channel, parsed
        ).service(),
        "filter headers": lambda: headers.filter_request(received),
        "fingerprint": lambda: quarantine.compute_fingerprint(
            method="GET",
            service="artwork",
            route="layouts",
            target="/layouts/2f",
            body_digest=bytes(32),
        ),
        "sign a request": lambda: signer.sign(RUN_REQUEST),
        "verify a request": lambda: signer.verify(envelope, peer="vm-1"),
        "sign an answer": lambda: signer.sign(RUN_ANSWER),
        "verify an answer": lambda: signer.verify(answer_envelope, peer="vm-1"),
        "encode a hop as HTTP": lambda: requests.encode_request(sent, ADDRESS),
        "hand over to a thread and wait": lambda: pool.submit(int).result(),
    }


def measure(calls: int) -> results.Sample:
    """Measures the mean processor time of each part on the calling thread."""
    figures: list[results.Figure] = []
    with futures.ThreadPoolExecutor(max_workers=1) as pool:
        for name, run in list_parts(pool).items():
            run()
            before = time.process_time()
            for _ in range(calls):
                run()
            used_s = time.process_time() - before
            figures.append(
                results.Figure(
                    name=name, value=used_s / calls * US_PER_S, unit="us"
                )
            )
    return results.Sample(
        experiment="request_parts",
        variant="alone",
        seed=1,
        figures=tuple(figures),
    )


def main(arguments: list[str]) -> int:
    """Runs the measurement; returns the exit status."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--calls", type=int, default=4000)
    parsed = options.parse_args(arguments)
    print(results.format_table([measure(parsed.calls)]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
