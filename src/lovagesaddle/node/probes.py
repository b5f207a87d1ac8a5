"""Probes the local backend servers, so that dead ones are withdrawn."""

import threading
import types
from typing import Self

from lovagesaddle.http import sockets
from lovagesaddle.node import local_servers

PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.5
MISSES_TO_WITHDRAW = 3


class Prober:
    """Connects to each announced server in turn, on a thread of its own.

    A connection is all that is asked: health endpoints may lag or mislead.

    Args:
      servers: Whose addresses are probed.
    """

    def __init__(self, servers: local_servers.LocalServers) -> None:
        self._servers = servers
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="prober", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(PROBE_S):
            for announcement in self._servers.list_announced():
                self._probe(announcement)

    def _probe(self, announcement: local_servers.Announcement) -> None:
        if sockets.accepts(announcement.address, PROBE_TIMEOUT_S):
            self._servers.count_hit(announcement.service)
            return
        misses = self._servers.count_miss(announcement.service)
        if misses >= MISSES_TO_WITHDRAW:
            self._withdraw(announcement.service)

    def _withdraw(self, service: str) -> None:
        try:
            self._servers.withdraw(service, "unreachable")
        except local_servers.AnnouncementError:
            # It was withdrawn by an operator meanwhile.
            return
