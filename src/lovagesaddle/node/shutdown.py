"""Executes the graceful shutdown of a node."""

import time

from lovagesaddle.core.routing import graceful_shutdown
from lovagesaddle.http import channels
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import watchdog
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import stop_limit as stop_limit_lib
from lovagesaddle.observability import logs

MS_PER_S = 1000
POLL_INTERVAL_S = 0.02
_log = logs.get_logger("shutdown")


class Shutdown:
    """Drains the local servers, answers pending requests, stops listening.

    Args:
      servers: Registered local servers.
      stop_limit: Refuses requests that come too late.
      owner: Runs attempts on the local servers.
      http: HTTP server for callers.
      hops: HTTP server for other nodes; may be the same one.
      guards: Watches deadlines; ends what is open at the end.
      claims: Claims of this node; their holders have to learn how each
        ended.
      request_id_header: Header that identifies a request, for the log.
    """

    def __init__(
        self,
        *,
        servers: local_servers.LocalServers,
        stop_limit: stop_limit_lib.StopLimit,
        owner: owner_lib.Owner,
        http: server_lib.HttpServer,
        hops: server_lib.HttpServer,
        guards: watchdog.Watchdog,
        claims: claims_lib.Claims,
        request_id_header: str,
    ) -> None:
        self._guards = guards
        self._servers = servers
        self._stop_limit = stop_limit
        self._request_id_header = request_id_header
        self._owner = owner
        self._http_servers = tuple(dict.fromkeys((http, hops)))
        self._claims = claims
        self._shutdown = graceful_shutdown.GracefulShutdown()
        self._exit: graceful_shutdown.Exit | None = None
        self._failures: set[str] = set()

    def run(self, grace_s: float) -> bool:
        """Shuts down; returns whether no request was cut off.

        Args:
          grace_s: Time until the process is killed, in seconds.
        """
        self._step(graceful_shutdown.Begin(grace_s=grace_s))
        while self._exit is None:
            time.sleep(POLL_INTERVAL_S)
            try:
                self._report_progress()
            except Exception as error:
                # Without a report the stop ends by its schedule. An error that
                # left here would cut every request at once.
                self._log_failure(error)
                self._step(graceful_shutdown.Tick())
        is_clean = not self._exit.cut and not self._exit.busy_servers
        _log.info(
            "node_drained",
            whole=is_clean,
            cut=self._exit.cut,
            busy_servers=",".join(self._exit.busy_servers),
        )
        stopped = [
            server.stop(grace_s=0.0, on_cut=self._log_cut)
            for server in self._http_servers
        ]
        return all(stopped) and is_clean

    def _report_progress(self) -> None:
        if self._shutdown.stage is graceful_shutdown.Stage.CLOSING:
            for server in self._http_servers:
                server.close_idle()
        self._step(
            graceful_shutdown.InProgressChanged(
                in_progress=sum(
                    server.count_busy() for server in self._http_servers
                ),
                connections=sum(
                    server.count_connections() for server in self._http_servers
                ),
                settling=self._claims.count_open(),
                busy_servers=self._owner.list_busy(),
            )
        )

    def _log_failure(self, error: Exception) -> None:
        """Logs an unexpected error, once for each cause."""
        cause = repr(error)
        if cause not in self._failures:
            self._failures.add(cause)
            _log.error("stop_step_failed", cause=cause)

    def _log_cut(self, request: channels.OpenRequest) -> None:
        _log.warning(
            "request_cut",
            request=request.headers.get(self._request_id_header.lower(), ""),
            path=request.path,
            open_ms=int(request.open_s * MS_PER_S),
        )

    def _step(self, event: graceful_shutdown.Event) -> None:
        for action in self._shutdown.step(event, time.monotonic()):
            match action:
                case graceful_shutdown.DrainServers():
                    self._servers.drain_all()
                case graceful_shutdown.LimitRequests():
                    self._stop_limit.begin(action.schedule)
                    self._guards.end_waits_at(action.schedule.requests_end_at)
                    for server in self._http_servers:
                        server.close_after_answers()
                case graceful_shutdown.CloseListeners():
                    for server in self._http_servers:
                        server.close_listener()
                case graceful_shutdown.Exit():
                    self._exit = action
