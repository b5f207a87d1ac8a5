"""Executes the graceful shutdown of a node."""

import time

from lovagesaddle.core.routing import graceful_shutdown
from lovagesaddle.http import server as server_lib
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.observability import logs

POLL_INTERVAL_S = 0.02
IDLE_GRACE_S = 1.0
_log = logs.get_logger("shutdown")


class Shutdown:
    """Drains the local servers, answers pending requests, stops listening.

    Args:
      servers: Registered local servers.
      owner: Runs attempts on the local servers.
      http: HTTP server for callers.
      hops: HTTP server for other nodes; may be the same one.
      claims: Claims of this node; their holders have to learn how each
        ended.
    """

    def __init__(
        self,
        *,
        servers: local_servers.LocalServers,
        owner: owner_lib.Owner,
        http: server_lib.HttpServer,
        hops: server_lib.HttpServer,
        claims: claims_lib.Claims,
    ) -> None:
        self._servers = servers
        self._owner = owner
        self._http_servers = tuple(dict.fromkeys((http, hops)))
        self._claims = claims
        self._shutdown = graceful_shutdown.GracefulShutdown()
        self._exit: graceful_shutdown.Exit | None = None

    def run(self, timeout_s: float) -> bool:
        """Shuts down; returns whether no request was cut off.

        Args:
          timeout_s: Longest time to wait, in seconds.
        """
        begin = graceful_shutdown.Begin(
            bound_s=timeout_s, servers=self._servers.list_server_ids()
        )
        self._step(begin)
        while self._exit is None:
            time.sleep(POLL_INTERVAL_S)
            for server_id in begin.servers:
                if self._owner.is_idle(server_id):
                    self._step(
                        graceful_shutdown.ServerDrained(server_id=server_id)
                    )
            self._step(
                graceful_shutdown.InProgressChanged(
                    in_progress=sum(
                        server.count_busy() for server in self._http_servers
                    ),
                    settling=self._claims.count_open(),
                )
            )
        is_clean = not self._exit.cut and not self._exit.busy_servers
        _log.info(
            "node_drained",
            whole=is_clean,
            cut=self._exit.cut,
            busy_servers=",".join(self._exit.busy_servers),
        )
        stopped = [
            server.stop(grace_s=IDLE_GRACE_S) for server in self._http_servers
        ]
        return all(stopped) and is_clean

    def _step(self, event: graceful_shutdown.Event) -> None:
        for action in self._shutdown.step(event, time.monotonic()):
            match action:
                case graceful_shutdown.DrainServer():
                    self._servers.drain_server(action.server_id)
                case graceful_shutdown.AnswerWithClose():
                    for server in self._http_servers:
                        server.close_after_answers()
                case graceful_shutdown.CloseListeners():
                    for server in self._http_servers:
                        server.close_listener()
                case graceful_shutdown.Exit():
                    self._exit = action
