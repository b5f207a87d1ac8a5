"""Probes the local backend servers and withdraws unreachable ones."""

from lovagesaddle import ticker
from lovagesaddle.http import sockets
from lovagesaddle.node import local_servers

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
FAILURES_TO_WITHDRAW = 3


class Prober(ticker.Ticker):
    """Connects to each announced server in turn, on its own thread.

    A probe only opens a connection, since health endpoints may report late or
    wrongly.

    Args:
      servers: Servers to probe.
    """

    def __init__(self, servers: local_servers.LocalServers) -> None:
        super().__init__(
            name="prober", interval_s=PROBE_INTERVAL_S, work=self._probe_all
        )
        self._servers = servers

    def _probe_all(self) -> None:
        for announcement in self._servers.list_announcements():
            self._probe(announcement)

    def _probe(self, announcement: local_servers.Announcement) -> None:
        if sockets.is_listening(announcement.address, PROBE_TIMEOUT_S):
            self._servers.record_probe_success(announcement.service)
            return
        failures = self._servers.record_probe_failure(announcement.service)
        if failures >= FAILURES_TO_WITHDRAW:
            self._withdraw(announcement.service)

    def _withdraw(self, service: str) -> None:
        try:
            self._servers.withdraw(service, "unreachable")
        except local_servers.AnnouncementError:
            # An operator or the server itself withdrew the announcement in the
            # meantime.
            return
