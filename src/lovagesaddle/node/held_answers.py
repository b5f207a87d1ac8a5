"""Owner side: answers of which an entry has the first parts only."""

from collections.abc import Callable
import threading

from returns import result

from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import open_answers
from lovagesaddle.http import watchdog
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner_answers
from lovagesaddle.observability import logs

# Bytes of an answer that the owner reads ahead of its entry. Most large answers
# end within them, so that they free their slots at the speed of the server and
# not of the link, and are checked whole before a caller gets a byte.
HELD_BYTES = 256 * 1024
ANSWER_LOST = "answer-lost"
_log = logs.get_logger("owner")


class _Held:
    """One answer and how far its entry has it.

    Args:
      request: The attempt.
      owned: Its server.
      answer: The answer.
    """

    def __init__(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        answer: client.OpenAnswer,
    ) -> None:
        self.request = request
        self.owned = owned
        self.answer = answer
        self.offset = 0
        self.lock = threading.Lock()
        self.cancel_expiry: Callable[[], None] = lambda: None
        # Holds one item, which the thread that frees the slot removes.
        self._slots = [True]

    def free_slot(self, *, failed: bool) -> None:
        """Frees the slot at the server, once."""
        try:
            self._slots.pop()
        except IndexError:
            return
        self.owned.finish(self.request.attempt_id, failed=failed)


class HeldAnswers:
    """Keeps answers for the entries that ask for their parts.

    An answer is dropped when its entry has it whole, says that its caller has
    left, or hasn't asked for the rest by the deadline.

    Args:
      guards: Drops answers at their deadlines; None to keep them until asked.
      part_bytes: Size of a part, in bytes.
    """

    def __init__(
        self, guards: watchdog.Watchdog | None, part_bytes: int
    ) -> None:
        self._guards = guards
        self._part_bytes = part_bytes
        self._held: dict[str, _Held] = {}

    @property
    def count(self) -> int:
        """Number of answers whose rest was not asked for yet."""
        return len(self._held)

    def list_server_ids(self) -> frozenset[str]:
        """Returns the IDs of the servers whose answers are held."""
        held = tuple(self._held.values())
        return frozenset(each.request.server_id for each in held)

    def holds(self, server_id: str) -> bool:
        """Returns whether an answer of a server is held."""
        return server_id in self.list_server_ids()

    def start(
        self,
        request: hop.RunRequest,
        owned: owned_server.OwnedServer,
        answer: client.OpenAnswer,
        guard: watchdog.Guard,
    ) -> result.Result[open_answers.Piece, client.ExchangeError]:
        """Returns the first part, and keeps the answer if it isn't the last.

        The slot of the request is freed when its server has sent the answer.
        """
        held = _Held(request, owned, answer)
        taken = self._take(held, guard)
        match taken:
            case result.Success(open_answers.Piece(is_last=False)):
                self._held[request.attempt_id] = held
                if self._guards is not None:
                    held.cancel_expiry = self._guards.call_at(
                        guard.deadline, lambda: self._expire(request.attempt_id)
                    )
        return taken

    def pull(
        self, pull: hop.AnswerPull, guard: watchdog.Guard
    ) -> hop.AnswerPart | hop.RunAnswer:
        """Returns the next part, or how the answer failed."""
        held = self._held.get(pull.attempt_id)
        if held is None or held.offset != pull.offset:
            self.drop(pull.attempt_id, ANSWER_LOST)
            return hop.RunAnswer(
                attempt_id=pull.attempt_id,
                outcome=hop.RunOutcome.BROKEN,
                cause=ANSWER_LOST,
            )
        with held.lock:
            taken = self._take(held, guard)
            if self._held.get(pull.attempt_id) is not held:
                # It was dropped meanwhile, which left the rest to this thread.
                held.answer.close()
        match taken:
            case result.Success(piece):
                if piece.is_last:
                    self._forget(pull.attempt_id)
                return hop.AnswerPart(
                    attempt_id=pull.attempt_id,
                    offset=pull.offset,
                    data=piece.data,
                    is_last=piece.is_last,
                )
            case result.Failure(error):
                self.drop(pull.attempt_id, error.kind.value)
                return owner_answers.make_failure(
                    held.request, error.kind, held.owned
                )
        raise AssertionError("unreachable")

    def drop(self, attempt_id: str, reason: str) -> None:
        """Closes the connection to the server, and frees the slot."""
        held = self._forget(attempt_id)
        if held is None:
            return
        _log.info("answer_dropped", attempt=attempt_id, reason=reason)
        if held.lock.acquire(blocking=False):
            try:
                held.answer.close()
            finally:
                held.lock.release()
        else:
            # The thread that reads it now closes it.
            held.answer.abort()
        held.free_slot(failed=False)

    def _take(
        self, held: _Held, guard: watchdog.Guard
    ) -> result.Result[open_answers.Piece, client.ExchangeError]:
        taken = held.answer.take(self._part_bytes, guard)
        match taken:
            case result.Success(piece):
                held.offset += len(piece.data)
                if held.answer.is_read:
                    held.free_slot(
                        failed=held.answer.status
                        in owner_answers.SHEDDING_STATUSES
                    )
            case result.Failure(_):
                held.free_slot(failed=True)
        return taken

    def _forget(self, attempt_id: str) -> _Held | None:
        held = self._held.pop(attempt_id, None)
        if held is not None:
            held.cancel_expiry()
        return held

    def _expire(self, attempt_id: str) -> None:
        self.drop(attempt_id, "deadline")
