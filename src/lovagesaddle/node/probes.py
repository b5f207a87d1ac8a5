"""Probes the local backend servers, so that dead ones are withdrawn."""

from lovagesaddle import ticker
from lovagesaddle.http import sockets
from lovagesaddle.node import local_servers

PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.5
MISSES_TO_WITHDRAW = 3


class Prober(ticker.Ticker):
    """Connects to each announced server in turn, on a thread of its own.

    A connection is all that is asked: health endpoints may lag or mislead.

    Args:
      servers: Whose addresses are probed.
    """

    def __init__(self, servers: local_servers.LocalServers) -> None:
        super().__init__(
            name="prober", interval_s=PROBE_S, work=self._probe_all
        )
        self._servers = servers

    def _probe_all(self) -> None:
        for announcement in self._servers.list_announcements():
            self._probe(announcement)

    def _probe(self, announcement: local_servers.Announcement) -> None:
        if sockets.accepts(announcement.address, PROBE_TIMEOUT_S):
            self._servers.record_probe_success(announcement.service)
            return
        misses = self._servers.record_probe_failure(announcement.service)
        if misses >= MISSES_TO_WITHDRAW:
            self._withdraw(announcement.service)

    def _withdraw(self, service: str) -> None:
        try:
            self._servers.withdraw(service, "unreachable")
        except local_servers.AnnouncementError:
            # It was withdrawn by an operator meanwhile.
            return
