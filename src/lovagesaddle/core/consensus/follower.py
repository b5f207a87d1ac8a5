"""Handling of the leader's entries and snapshots at a follower."""

from lovagesaddle.core import echoes
from lovagesaddle.core import errors
from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import messages


class Follower:
    """Replicates the leader's log.

    Args:
      durable: Term, vote and log of this replica.
      random: Source of the first number that dates the leader's messages.
    """

    def __init__(
        self, durable: durable_state.DurableState, random: echoes.Random
    ) -> None:
        self._durable = durable
        self._pieces = bytearray()
        self._piece_key: tuple[int, int, int] = (0, 0, 0)
        self._stamp = (0, 0)
        self._echoes = echoes.Echoes(random)
        self._current_at: float | None = None
        self._is_leaving = False

    def announce_leave(self) -> None:
        """Tells the leader in each answer that this process stops."""
        self._is_leaving = True

    @property
    def confirmed_round(self) -> int:
        """Newest confirmed heartbeat round of the current term's leader."""
        term, counter = self._stamp
        return counter if term == self._durable.term else 0

    @property
    def current_at(self) -> float | None:
        """Time up to which everything accepted is committed here, in seconds.

        A delay on the way from the leader makes it older, never newer. None
        if nothing proves a time.
        """
        return self._current_at

    def refuse(
        self, message: messages.AppendRequest | messages.ImageRequest
    ) -> messages.AppendAnswer:
        """Returns a refusal that tells an outdated leader the newer term."""
        return messages.AppendAnswer(
            term=self._durable.term,
            is_accepted=False,
            index=0,
            previous_index=0,
            round=message.round,
        )

    def append_entries(
        self, request: messages.AppendRequest, commit: int, now: float
    ) -> tuple[messages.AppendAnswer, int]:
        """Appends entries if the log holds the entry that precedes them.

        Args:
          request: The leader's message.
          commit: Index of the last entry known to be committed.
          now: Time of this replica's clock in seconds, for the answer.

        Returns:
          The answer, and the new commit index.

        Raises:
          errors.ConsensusError: A committed entry would be replaced.
        """
        self._update_stamp(request)
        log = self._durable.log
        if request.previous_index < log.base_index:
            # Entries dropped from this follower's log are committed, so they
            # match those of the leader.
            return self._answer(request, True, commit, now), commit
        held = log.find_term(request.previous_index)
        if held != request.previous_term:
            hint = self._compute_hint(request.previous_index, commit)
            return self._answer(request, False, hint, now), commit
        self._store(self._skip_stored(request.entries), commit, request.term)
        last = request.previous_index + len(request.entries)
        commit = max(commit, min(request.commit_index, last))
        self._date_commit(request, commit)
        return self._answer(request, True, last, now), commit

    def receive_piece(
        self, request: messages.ImageRequest, commit: int
    ) -> tuple[entries_lib.Image | None, messages.ImageAnswer]:
        """Collects one piece of a snapshot and installs a complete one.

        Returns:
          The snapshot if this piece completed it, otherwise None, and the
          answer. A snapshot up to an entry that is already committed here is
          not collected.
        """
        self._update_stamp(request)
        image = request.image
        if image.index <= commit:
            return None, self._answer_piece(request, request.total)
        key = (request.term, image.index, request.total)
        if key != self._piece_key:
            self._piece_key = key
            self._pieces = bytearray()
        if request.offset == len(self._pieces):
            self._pieces.extend(image.data)
        answer = self._answer_piece(request, len(self._pieces))
        if len(self._pieces) < request.total:
            return None, answer
        whole = entries_lib.Image(
            index=image.index,
            term=image.term,
            members=image.members,
            data=bytes(self._pieces),
        )
        self._piece_key = (0, 0, 0)
        self._durable.install(whole)
        return whole, answer

    def _date_commit(
        self, request: messages.AppendRequest, commit: int
    ) -> None:
        """Dates the committed entries by what the leader confirmed."""
        current_at = self._echoes.date(
            request.sequence, request.confirmed_age_s
        )
        if commit < request.commit_index or current_at is None:
            return
        self._current_at = max(current_at, self._current_at or current_at)

    def _update_stamp(
        self, message: messages.AppendRequest | messages.ImageRequest
    ) -> None:
        self._stamp = max(self._stamp, (message.term, message.counter))

    def _store(
        self, entries: tuple[entries_lib.Entry, ...], commit: int, term: int
    ) -> None:
        if entries and entries[0].index <= commit:
            raise errors.ConsensusError(
                step="append entries",
                peer=f"leader of term {term}",
                cause=f"committed entry {entries[0].index} would change",
            )
        self._durable.append(entries)

    def _skip_stored(
        self, entries: tuple[entries_lib.Entry, ...]
    ) -> tuple[entries_lib.Entry, ...]:
        for position, entry in enumerate(entries):
            if self._durable.log.find_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def _compute_hint(self, previous_index: int, commit: int) -> int:
        log = self._durable.log
        if previous_index > log.last_index:
            return log.last_index
        conflicting = log.find_term(previous_index)
        index = previous_index - 1
        while index > commit and log.find_term(index) == conflicting:
            index -= 1
        return max(index, commit)

    def _answer(
        self,
        request: messages.AppendRequest,
        is_accepted: bool,
        index: int,
        now: float,
    ) -> messages.AppendAnswer:
        return messages.AppendAnswer(
            term=request.term,
            is_accepted=is_accepted,
            index=index,
            previous_index=request.previous_index,
            round=request.round,
            sequence=self._echoes.send(now),
            is_leaving=self._is_leaving,
        )

    def _answer_piece(
        self, request: messages.ImageRequest, offset: int
    ) -> messages.ImageAnswer:
        return messages.ImageAnswer(
            term=request.term,
            index=request.image.index,
            offset=offset,
            round=request.round,
        )
