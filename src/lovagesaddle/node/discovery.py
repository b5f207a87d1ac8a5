"""Finds the local backend server when the node starts after it."""

from collections.abc import Callable
import http.client

from lovagesaddle import ticker
from lovagesaddle.core.routing import header_names
from lovagesaddle.http import sockets
from lovagesaddle.node import beats as beats_lib
from lovagesaddle.node import local_servers
from lovagesaddle.observability import logs

# Often beside the time between two announcements, which it stands in for.
ASK_S = 0.25
ANSWER_S = 0.5
LOAD_FIELDS = 3
_log = logs.get_logger("discovery")


class Discovery(ticker.Ticker):
    """Asks the server's health endpoint who it is, until one is known.

    A node that restarts has forgotten the server beside it, which goes on
    running. Only a healthy server that is not leaving answers with success.

    Args:
      beats: Takes what is found.
      service: Service of the server.
      address: `ip:port` where it answers HTTP.
      names: Names of the headers that it describes itself by.
      find_health_path: Returns the path of its health endpoint; empty while
        it is unknown.
      ask_s: Time between two questions, in seconds.
    """

    def __init__(
        self,
        *,
        beats: beats_lib.Beats,
        service: str,
        address: str,
        names: header_names.HeaderNames,
        find_health_path: Callable[[str], str],
        ask_s: float = ASK_S,
    ) -> None:
        super().__init__(name="discovery", interval_s=ask_s, work=self._look)
        self._beats = beats
        self._service = service
        self._address = address
        self._names = names
        self._find_health_path = find_health_path

    def _look(self) -> None:
        if not self._beats.lacks(self._service):
            self.stop()
            return
        path = self._find_health_path(self._service)
        found = self._ask(path) if path else None
        if found is not None and self._beats.discover(found):
            self.stop()

    def _ask(self, path: str) -> local_servers.Announcement | None:
        host, port = sockets.parse_address(self._address)
        connection = http.client.HTTPConnection(host, port, timeout=ANSWER_S)
        try:
            connection.request("GET", path, headers={"Connection": "close"})
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException) as error:
            _log.info(
                "server_not_found", address=self._address, cause=repr(error)
            )
            return None
        finally:
            connection.close()
        instance = response.headers.get(self._names.instance, "")
        load = response.headers.get(self._names.server_load, "")
        slots = load.rpartition(",")[2].strip()
        is_described = bool(instance) and load.count(",") == LOAD_FIELDS - 1
        if response.status != 200 or not (is_described and slots.isdigit()):
            _log.info(
                "server_not_found",
                address=self._address,
                status=response.status,
                instance=instance,
                load=load,
            )
            return None
        return local_servers.Announcement(
            service=self._service,
            address=self._address,
            slots=int(slots),
            connections=int(slots),
            instance=instance,
            is_warm=True,
        )
