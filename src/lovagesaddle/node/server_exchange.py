"""Owner side: exchanges admitted attempts with a local backend server."""

import contextlib
import dataclasses

from returns import result

from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import call_chain
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import sockets
from lovagesaddle.http import watchdog
from lovagesaddle.node import held_answers
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
      held: Keeps large answers for entries that ask for parts.
    """

    def __init__(
        self,
        *,
        pool: client.ConnectionPool,
        shared_quarantine: shared_quarantine_lib.SharedQuarantine,
        names: header_names.HeaderNames,
        held: held_answers.HeldAnswers,
    ) -> None:
        self._held = held
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
        if request.takes_parts is True:
            return self._run_in_parts(request, owned, guard, running)
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

    def _run_in_parts(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        guard: watchdog.Guard,
        running: quarantine.RunningRequest,
    ) -> hop.RunAnswer:
        """Runs an attempt whose answer may be large; see `run`.

        The server's answer counts once its first part is there. What breaks off
        later is no crash that a request is to blame for.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(owned.finish, request.attempt_id, failed=True)
            opened = self._pool.open_answer(
                owned.address,
                self._format_request(request, owned, guard),
                guard,
                held_answers.HELD_BYTES,
            )
            if isinstance(opened, result.Failure):
                return self._handle_failure(
                    request, opened.failure(), owned, guard, running
                )
            answer = opened.unwrap()
            head = client.Reply(
                status=answer.status, headers=answer.headers, body=b""
            )
            made = self._make_answer(
                request, result.Success(head), owned, guard, running
            )
            if made.outcome is not hop.RunOutcome.ANSWERED:
                answer.close()
                return made
            # The slot is freed once the server has sent the whole answer.
            stack.pop_all()
        match self._held.start(request, owned, answer, guard):
            case result.Success(piece):
                made = dataclasses.replace(
                    made, body=piece.data, load=owned.report()
                )
                if piece.is_last:
                    return made
                length = answer.head.length
                return dataclasses.replace(
                    made,
                    rest_bytes=(
                        hop.UNKNOWN_BYTES
                        if length is None
                        else length - len(piece.data)
                    ),
                )
            case result.Failure(error):
                return owner_answers.make_failure(request, error.kind, owned)
        raise AssertionError("unreachable")

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
                stated = owner_answers.find_statement(reply, self._names)
                if stated is not None:
                    owned.record_statement(stated, request.attempt_id)
                load = owner_answers.find_load(reply, self._names)
                if load:
                    owned.record_load(load, request.attempt_id)
                answer = owner_answers.make_answer(
                    request, reply, owned, self._names
                )
                if not owner_answers.has_failed(answer):
                    self._shared_quarantine.clear(request.fingerprint)
                return answer
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
