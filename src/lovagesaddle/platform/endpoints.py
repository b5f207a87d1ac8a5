"""Code shared by `node_endpoints` and `operator_endpoints`."""

import contextlib
from typing import Any

from lovagesaddle.http import applications
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from lovagesaddle.http import wsgi
from lovagesaddle.observability import metrics as metrics_lib

MAX_BODY_BYTES = 64 * 1024
THREAD_COUNT = 8
JSON_TYPE = (("Content-Type", wsgi.JSON_TYPE),)


class MetricsEndpoint(applications.Application):
    """Serves the metrics of a process.

    Args:
      metrics: Metrics of the process.
    """

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns every metric as text."""
        del request
        return wsgi.Answer(
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
        dispatcher=thread_pools.PoolDispatcher(
            threads={thread_pools.PoolKind.CALLER: THREAD_COUNT},
            classify=_classify,
        ),
        options=server_lib.ServerOptions(
            address=address, max_body_bytes=max_body_bytes
        ),
    )


def make_answer(status: int, cause: str) -> wsgi.Answer:
    """Returns a JSON answer with the cause of an error, if there is one."""
    return wsgi.make_json(status, {"error": cause} if cause else {})


def _classify(parsed: Any) -> thread_pools.PoolKind:
    del parsed
    return thread_pools.PoolKind.CALLER
