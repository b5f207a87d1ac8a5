"""Discovers the local backend server after a restart of the node."""

from collections.abc import Callable
import time

from returns import result

from lovagesaddle import ticker
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import server_statements
from lovagesaddle.http import answer_budget
from lovagesaddle.http import client
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import watchdog
from lovagesaddle.node import local_servers
from lovagesaddle.node import server_heartbeats
from lovagesaddle.observability import logs

# Short compared with the interval between heartbeats of the server, since
# polling is to find the server before its next heartbeat arrives.
POLL_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 0.5
# The fields are running requests, waiting requests and slots.
SERVER_LOAD_FIELDS = 3
_log = logs.get_logger("discovery")


class ServerDiscovery(ticker.Ticker):
    """Polls the server's health endpoint until a server is known.

    A restarted node does not know the server on its VM, which is still
    running. Only a healthy server that is not leaving answers with success.

    Args:
      heartbeats: Receives the server that is found.
      service: Name of the server's service.
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
        self._address = address
        self._names = names
        self._find_health_path = find_health_path

    def _poll(self) -> None:
        if not self._heartbeats.needs_discovery(self._service):
            self.stop()
            return
        path = self._find_health_path(self._service)
        found = self._request_health(path) if path else None
        if found is not None and self._heartbeats.add_discovered(found):
            self.stop()

    def _request_health(self, path: str) -> local_servers.Announcement | None:
        request = client.Request(
            method="GET",
            target=path,
            headers={"Connection": "close"},
            body=b"",
        )
        guard = watchdog.Guard(
            time.monotonic() + ANSWER_TIMEOUT_S, _is_never_gone
        )
        # The server accepts few connections, so this one is not kept open. Only
        # the head of the answer is used, so the budget is 0: the body may hold
        # no memory beyond the ASSURED_BYTES of any answer.
        with client.ConnectionPool(
            allows_unframed=True, budget=answer_budget.AnswerBudget(0)
        ) as pool:
            outcome = pool.exchange(self._address, request, guard)
        match outcome:
            case result.Success(reply):
                return self._parse_reply(reply)
            case result.Failure(error):
                _log.info(
                    "server_not_found",
                    address=self._address,
                    step=error.step,
                    cause=error.cause,
                )
                return None
        raise AssertionError("unreachable")

    def _parse_reply(
        self, reply: client.Reply
    ) -> local_servers.Announcement | None:
        instance = _find_header(reply, self._names.instance)
        load = _find_header(reply, self._names.server_load)
        slots = _parse_slots(load)
        stated = server_statements.parse_statement(reply.headers, self._names)
        is_usable = bool(instance and slots) and not stated.is_leaving
        if reply.status != 200 or not is_usable:
            _log.info(
                "server_not_found",
                address=self._address,
                status=reply.status,
                instance=instance,
                load=load,
                leaving=stated.is_leaving,
            )
            return None
        return local_servers.Announcement(
            service=self._service,
            address=self._address,
            slots=slots,
            connections=slots,
            instance=instance,
            is_warm=True,
        )


def _parse_slots(load: str) -> int:
    """Returns the slots that a load header states; 0 if it is malformed."""
    fields = load.split(",")
    text = fields[-1].strip()
    if len(fields) != SERVER_LOAD_FIELDS or len(text) > len(
        str(local_servers.MAX_SLOTS)
    ):
        return 0
    if not (text.isascii() and text.isdigit()):
        return 0
    slots = int(text)
    return slots if slots <= local_servers.MAX_SLOTS else 0


def _find_header(reply: client.Reply, name: str) -> str:
    """Returns the first value of a header; empty if there is none."""
    values = headers_lib.get_all(reply.headers, name.lower())
    return values[0] if values else ""


def _is_never_gone() -> bool:
    return False
