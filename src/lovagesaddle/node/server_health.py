"""Asks the backend server at an address for its health and its identity."""

from collections.abc import Callable
import dataclasses
import time

from returns import result

from lovagesaddle.core.membership import server_confirmation
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import server_load
from lovagesaddle.core.routing import server_statements
from lovagesaddle.http import answer_budget
from lovagesaddle.http import client
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.http import watchdog
from lovagesaddle.node import local_servers
from lovagesaddle.observability import logs

ANSWER_TIMEOUT_S = 0.5
_log = logs.get_logger("discovery")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthAnswer:
    """Answer to a health check.

    Attributes:
      instance: Instance ID that the server states; empty for none.
      slots: Number of requests that it runs at a time; 0 if it isn't stated.
      is_serving: Whether it is healthy and not leaving.
    """

    instance: str
    slots: int
    is_serving: bool


class HealthChecks:
    """Asks the servers that announce themselves who they are.

    Args:
      find_health_path: Returns the path of a service's health endpoint; empty
        while it is unknown.
      names: Names of the headers in which servers describe themselves.
    """

    def __init__(
        self,
        find_health_path: Callable[[str], str],
        names: header_names.HeaderNames,
    ) -> None:
        self._find_health_path = find_health_path
        self._names = names

    def check(
        self, announcement: local_servers.Announcement
    ) -> server_confirmation.Health | None:
        """Returns what the server at an announced address says of itself."""
        path = self._find_health_path(announcement.service)
        if not path:
            return None
        answer = request_health(announcement.address, path, self._names)
        if answer is None or not answer.instance:
            return None
        return server_confirmation.Health(
            instance=answer.instance, is_serving=answer.is_serving
        )


def request_health(
    address: str, path: str, names: header_names.HeaderNames
) -> HealthAnswer | None:
    """Returns the server's answer; None if there was none.

    Args:
      address: `ip:port` where the server answers HTTP.
      path: Path of its health endpoint.
      names: Names of the headers in which it describes itself.
    """
    request = client.Request(
        method="GET",
        target=path,
        headers={"Connection": "close"},
        body=b"",
    )
    guard = watchdog.Guard(time.monotonic() + ANSWER_TIMEOUT_S, _is_never_gone)
    # The server accepts few connections, so this one is not kept open. Only
    # the head of the answer is used, so the budget is 0: the body may hold
    # no memory beyond the ASSURED_BYTES of any answer.
    with client.ConnectionPool(
        allows_unframed=True, budget=answer_budget.AnswerBudget(0)
    ) as pool:
        outcome = pool.exchange(address, request, guard)
    match outcome:
        case result.Success(reply):
            return _parse_reply(reply, address, names)
        case result.Failure(error):
            _log.info(
                "server_not_found",
                address=address,
                step=error.step,
                cause=error.cause,
            )
            return None
    raise AssertionError("unreachable")


def _parse_reply(
    reply: client.Reply, address: str, names: header_names.HeaderNames
) -> HealthAnswer:
    instance = _find_header(reply, names.instance)
    load = _find_header(reply, names.server_load)
    parsed = server_load.parse_server_load(load)
    stated = server_statements.parse_statement(reply.headers, names)
    answer = HealthAnswer(
        instance=instance,
        slots=0 if parsed is None else parsed.slots,
        is_serving=reply.status == 200 and not stated.is_leaving,
    )
    if not (answer.is_serving and instance and answer.slots):
        _log.info(
            "server_not_found",
            address=address,
            status=reply.status,
            instance=instance,
            load=load,
            leaving=stated.is_leaving,
        )
    return answer


def _find_header(reply: client.Reply, name: str) -> str:
    """Returns the first value of a header; empty if there is none."""
    values = headers_lib.get_all(reply.headers, name.lower())
    return values[0] if values else ""


def _is_never_gone() -> bool:
    return False
