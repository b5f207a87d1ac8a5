"""Provides what all endpoints for the platform's calls share."""

import contextlib
from typing import Any

from lovagesaddle.http import applications
from lovagesaddle.http import gateway
from lovagesaddle.http import lanes
from lovagesaddle.http import server as server_lib
from lovagesaddle.observability import metrics as metrics_lib

MAX_BODY_BYTES = 64 * 1024
THREAD_COUNT = 8
JSON_TYPE = (("Content-Type", gateway.JSON_TYPE),)


class MetricsEndpoint(applications.Application):
    """Serves the metrics of a process.

    Args:
      metrics: Metrics of the process.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def answer(self, request: gateway.Incoming) -> gateway.Answer:
        """Returns every metric as text."""
        del request
        return gateway.Answer(
            status=200,
            headers=(("Content-Type", metrics_lib.CONTENT_TYPE),),
            body=self._metrics.render().encode(),
        )


def open_endpoint(
    endpoint: applications.Application,
    address: str,
    *,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> contextlib.AbstractContextManager[server_lib.HttpServer]:
    """Returns an HTTP server that serves an endpoint while it is open."""
    return server_lib.HttpServer(
        application=endpoint,
        dispatcher=lanes.LaneDispatcher(
            threads={lanes.Lane.CALLER: THREAD_COUNT}, classify=_classify
        ),
        options=server_lib.ServerOptions(
            address=address, max_body_bytes=max_body_bytes
        ),
    )


def make_answer(status: int, cause: str) -> gateway.Answer:
    """Returns a JSON answer with the cause of an error, if there is one."""
    return gateway.make_json(status, {"error": cause} if cause else {})


def _classify(parsed: Any) -> lanes.Lane:
    del parsed
    return lanes.Lane.CALLER
