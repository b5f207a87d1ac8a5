"""Discovers the local backend server after a restart of the node."""

from collections.abc import Callable

from lovagesaddle import ticker
from lovagesaddle.core.routing import header_names
from lovagesaddle.node import local_servers
from lovagesaddle.node import server_health
from lovagesaddle.node import server_heartbeats
from lovagesaddle.observability import logs

# Short compared with the interval between heartbeats of the server, since
# polling is to find the server before its next heartbeat arrives.
POLL_INTERVAL_S = 0.25


_log = logs.get_logger("discovery")


class ServerDiscovery(ticker.Ticker):
    """Polls the server's health endpoint until a server is known.

    A restarted node does not know the server on its VM, which is still
    running. Only a healthy server that is not leaving answers with success.

    Args:
      heartbeats: Receives the server that is found.
      service: Name of the server's service when the node started.
      read_service: Returns the name that the settings have now; empty if they
        can't be read. No answer of a server names its service, and the address
        may be given to a server of another one.
      address: `ip:port` where it answers HTTP.
      names: Names of the headers in which it describes itself.
      find_health_path: Returns the path of a service's health endpoint; empty
        while it is unknown.
      poll_interval_s: Time between two requests, in seconds.
    """

    def __init__(
        self,
        *,
        heartbeats: server_heartbeats.ServerHeartbeats,
        service: str,
        read_service: Callable[[], str],
        address: str,
        names: header_names.HeaderNames,
        find_health_path: Callable[[str], str],
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        super().__init__(
            name="discovery", interval_s=poll_interval_s, work=self._poll
        )
        self._heartbeats = heartbeats
        self._service = service
        self._read_service = read_service
        self._address = address
        self._names = names
        self._find_health_path = find_health_path

    def _poll(self) -> None:
        if not self._heartbeats.needs_discovery():
            self.stop()
            return
        path = self._find_health_path(self._service)
        if path and self._find_server(path):
            self.stop()

    def _find_server(self, path: str) -> bool:
        """Returns whether a server is known now."""
        answer = server_health.request_health(self._address, path, self._names)
        if answer is None or not (answer.is_serving and answer.instance):
            return False
        if self._heartbeats.confirm(answer.instance):
            return True
        found = self._describe(answer)
        return found is not None and self._heartbeats.add_discovered(found)

    def _describe(
        self, answer: server_health.HealthAnswer
    ) -> local_servers.Announcement | None:
        """Returns an announcement in place of the server's own."""
        if not answer.slots:
            return None
        service = self._read_service()
        if service != self._service:
            _log.info("service_changed", before=self._service, service=service)
            self._service = service
            return None
        return local_servers.Announcement(
            service=service,
            address=self._address,
            slots=answer.slots,
            connections=answer.slots,
            instance=answer.instance,
            is_warm=True,
        )
