"""Owner side: exchanges admitted attempts with a local backend server."""

from returns import result

from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import call_chain
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import sockets
from lovagesaddle.http import watchdog
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner_answers
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.observability import logs

CRASH_CHECK_TIMEOUT_S = 0.2
_log = logs.get_logger("owner")


class ServerExchange:
    """Sends admitted attempts to backend servers and classifies their ends.

    Args:
      pool: Connections to the servers.
      shared_quarantine: Quarantine of requests that crash servers.
      names: Names of the headers that are sent to backend servers.
    """

    def __init__(
        self,
        *,
        pool: client.ConnectionPool,
        shared_quarantine: shared_quarantine_lib.SharedQuarantine,
        names: header_names.HeaderNames,
    ) -> None:
        self._names = names
        self._pool = pool
        self._shared_quarantine = shared_quarantine

    def run(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
        running: quarantine.RunningRequest,
    ) -> hop.RunAnswer:
        """Sends one attempt; returns its outcome and frees its slot.

        Args:
          request: The attempt, with its whole body.
          owned: Its server, at which it has a slot.
          guard: Ends the exchange at the deadline or when the entry
            disconnects.
          running: How the quarantine treats the request.
        """
        failed = True
        try:
            outcome = self._pool.exchange(
                owned.address,
                self._format_request(request, owned, guard),
                guard,
            )
            answer = self._make_answer(request, outcome, owned, guard, running)
            failed = owner_answers.has_failed(answer)
        finally:
            owned.finish(request.attempt_id, failed=failed)
        return answer

    def _make_answer(
        self,
        request: hop.RunRequest,
        outcome: client.ExchangeResult,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
        running: quarantine.RunningRequest,
    ) -> hop.RunAnswer:
        match outcome:
            case result.Success(reply):
                self._shared_quarantine.clear(request.fingerprint)
                stated = owner_answers.find_statement(reply, self._names)
                if stated is not None:
                    owned.record_statement(stated, request.attempt_id)
                return owner_answers.make_answer(
                    request, reply, owned, self._names
                )
            case result.Failure(error):
                return self._handle_failure(
                    request, error, owned, guard, running
                )
        raise AssertionError("unreachable")

    def _format_request(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
    ) -> client.Request:
        names = self._names
        headers = dict(request.headers)
        if names.deadline_ms in headers:
            # The entry computed the header's value before the request waited
            # in the owner's queue.
            left = call_chain.format_remaining(guard.remaining_s)
            headers[names.deadline_ms] = left
        if request.account and names.account:
            headers[names.account] = request.account
        if owned.instance and names.expected_instance:
            headers[names.expected_instance] = owned.instance
        return client.Request(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        )

    def _handle_failure(
        self,
        request: hop.RunRequest,
        error: client.ExchangeError,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
        running: quarantine.RunningRequest,
    ) -> hop.RunAnswer:
        if logs.allows_request_line(failed=True):
            _log.warning(
                "run_failed",
                attempt=request.attempt_id,
                server=request.server_id,
                step=error.step,
                kind=error.kind.value,
                cause=error.cause,
            )
        if error.kind is client.FailureKind.NOT_SENT:
            if guard.remaining_s:
                owned.mark_down()
            reason = admission_events.RefusalReason.SERVER_DOWN.value
            return owner_answers.make_refusal(request, reason, owned)
        if error.kind is client.FailureKind.CLOSED and _has_crashed(owned):
            return self._handle_crash(request, owned, running)
        return owner_answers.make_failure(request, error.kind, owned)

    def _handle_crash(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        running: quarantine.RunningRequest,
    ) -> hop.RunAnswer:
        server = owned.server
        interrupted = owned.mark_crashed()
        if interrupted is not None:
            owned.mark_down()
            self._shared_quarantine.record_crash(
                quarantine.ServerDied(
                    server_id=server.server_id,
                    incarnation=server.incarnation,
                    running=interrupted,
                )
            )
        return owner_answers.make_crash_answer(request, owned, running)


def _has_crashed(owned: owned_server.OwnedServer) -> bool:
    """Returns whether a server crashed rather than closed a connection."""
    return owned.crashed or not sockets.is_listening(
        owned.address, CRASH_CHECK_TIMEOUT_S
    )
