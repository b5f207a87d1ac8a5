"""The WSGI application on the address for callers and other nodes."""

import enum
from typing import Any

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.model import outcomes
from lovagesaddle.http import applications
from lovagesaddle.http import hop
from lovagesaddle.http import thread_pools
from lovagesaddle.http import watchdog
from lovagesaddle.http import wsgi
from lovagesaddle.node import answer_turns as answer_turns_lib
from lovagesaddle.node import credentials
from lovagesaddle.node import entry as entry_lib
from lovagesaddle.node import local_servers
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.observability import logs

MS_PER_S = 1000
OVERLOADED = "node-overloaded"
LINK_FULL = "link-full"
# The transfer of a smaller body is not logged: it takes no longer than the
# rest of its request.
MIN_LOGGED_BODY_BYTES = 16 * 1024
ENVELOPE_TYPE = (("Content-Type", "application/octet-stream"),)
_log = logs.get_logger("application")


class RequestSource(enum.Enum):
    """Senders whose requests are answered at an address."""

    ALL = "all"
    CALLERS = "callers"
    NODES = "nodes"


class Application(applications.Application):
    """Dispatches requests of callers to the entry and of nodes to the owner.

    Args:
      entry: Answers callers.
      owner: Runs the attempts that other nodes send.
      signer: Checks and signs the messages between nodes.
      guards: Watches deadlines and entries that disconnect.
      source: Senders whose requests are answered.
      answer_turns: Lets parts of large answers take turns on the link; None if
        its rate is unknown.
    """

    def __init__(
        self,
        *,
        entry: entry_lib.Entry,
        owner: owner_lib.Owner,
        signer: hop.EnvelopeSigner,
        guards: watchdog.Watchdog,
        source: RequestSource = RequestSource.ALL,
        answer_turns: answer_turns_lib.AnswerTurns | None = None,
    ) -> None:
        self._answer_turns = answer_turns
        self._source = source
        self._entry = entry
        self._owner = owner
        self._signer = signer
        self._guards = guards

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns the answer to a caller or to another node."""
        is_hop = request.path == hop.RUN_PATH
        if is_hop and self._source is not RequestSource.CALLERS:
            return self._run(request)
        if self._source is RequestSource.NODES:
            return _refuse_hop(404, "only nodes are served here")
        if thread_pools.is_refusal_thread():
            return self._entry.refuse(OVERLOADED)
        return self._entry.answer(request)

    def _run(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        arrived_at = request.arrived_at
        try:
            message = self._signer.verify(request.read_body(), peer="entry")
        except errors.CodecError as error:
            _log.warning("hop_refused", cause=error.cause)
            return _refuse_hop(403, error.cause)
        answer: hop.HopMessage
        match message:
            case hop.RunRequest() | hop.BodyOffer():
                answer = self._run_attempt(message, request, arrived_at)
            case hop.BodyPart():
                answer = self._owner.receive_part(message)
            case hop.AnswerPull():
                answer = self._pull(message, request, arrived_at)
            case hop.AnswerDrop():
                self._record_arrival(message.attempt_id)
                self._owner.held.drop(message.attempt_id, "not-needed")
                answer = hop.AnswerDropped(attempt_id=message.attempt_id)
            case _:
                return _refuse_hop(400, "the message is not a request")
        return wsgi.Answer(
            status=200, headers=ENVELOPE_TYPE, body=self._signer.sign(answer)
        )

    def _run_attempt(
        self,
        message: hop.RunRequest | hop.BodyOffer,
        request: wsgi.IncomingRequest,
        arrived_at: float,
    ) -> hop.HopMessage:
        if thread_pools.is_refusal_thread():
            return hop.RunAnswer(
                attempt_id=message.attempt_id,
                outcome=hop.RunOutcome.REFUSED,
                cause=OVERLOADED,
            )
        deadline = arrived_at + message.remaining_ms / MS_PER_S
        with self._guards.watch(
            deadline=deadline, is_gone=request.is_gone
        ) as guard:
            if isinstance(message, hop.BodyOffer):
                return self._owner.offer(message, guard)
            _log_body(message, request)
            if message.takes_parts is not True:
                return self._owner.run(message, guard)
            answer = self._run_in_turns(message, guard)
            if answer.rest_bytes is not msgspec.UNSET and request.is_gone():
                return self._give_up(message.attempt_id)
            return answer

    def _run_in_turns(
        self, message: hop.RunRequest, guard: watchdog.Guard
    ) -> hop.RunAnswer:
        """Runs an attempt whose answer may wait for the link.

        It is refused before it runs if the link couldn't carry the answer in
        time: it would only hold up those that can still arrive.
        """
        turns = self._answer_turns
        if turns is None:
            return self._owner.run(message, guard)
        run_s = self._owner.estimate_run_time(message)
        delay_s = turns.compute_delay(run_s, guard)
        if delay_s:
            return self._owner.refuse(message, LINK_FULL, delay_s)
        answer = self._owner.run(message, guard)
        if answer.rest_bytes is msgspec.UNSET or turns.send_first(
            message, answer, guard
        ):
            return answer
        return self._give_up(message.attempt_id)

    def _pull(
        self,
        pull: hop.AnswerPull,
        request: wsgi.IncomingRequest,
        arrived_at: float,
    ) -> hop.HopMessage:
        self._record_arrival(pull.attempt_id)
        deadline = arrived_at + pull.remaining_ms / MS_PER_S
        with self._guards.watch(
            deadline=deadline, is_gone=request.is_gone
        ) as guard:
            part = self._owner.held.pull(pull, guard)
            if (
                self._answer_turns is None
                or isinstance(part, hop.RunAnswer)
                or self._answer_turns.send_next(pull, part, guard)
            ):
                return part
        return self._give_up(pull.attempt_id)

    def _give_up(self, attempt_id: str) -> hop.RunAnswer:
        """Drops an answer whose part could not be sent in time."""
        self._owner.held.drop(attempt_id, "no-turn")
        return hop.RunAnswer(
            attempt_id=attempt_id,
            outcome=hop.RunOutcome.TIMEOUT,
            cause=LINK_FULL,
        )

    def _record_arrival(self, attempt_id: str) -> None:
        if self._answer_turns is not None:
            self._answer_turns.record_arrival(attempt_id)


def classify(parsed: Any) -> thread_pools.PoolKind:
    """Returns the pool for a request that waitress has parsed."""
    if parsed.error is not None:
        return thread_pools.PoolKind.REFUSAL
    if parsed.path == hop.RUN_PATH:
        return thread_pools.PoolKind.OWNER
    authorization = parsed.headers.get("AUTHORIZATION", "")
    if authorization[len(credentials.BEARER) :].startswith(
        local_servers.TOKEN_PREFIX
    ):
        return thread_pools.PoolKind.SERVICE
    return thread_pools.PoolKind.CALLER


def _log_body(message: hop.RunRequest, request: wsgi.IncomingRequest) -> None:
    """Logs the transfer time of a large body, for a sample of the requests."""
    if message.offset or len(message.body) < MIN_LOGGED_BODY_BYTES:
        return
    if logs.allows_request_line(failed=False):
        _log.info(
            "body_arrived",
            attempt=message.attempt_id,
            route=message.route,
            body_bytes=len(message.body),
            body_ms=int(request.body_s * MS_PER_S),
        )


def _refuse_hop(status: int, cause: str) -> wsgi.Answer:
    return wsgi.make_failure(status, cause, outcomes.RequestOutcome.NOT_RUN)
