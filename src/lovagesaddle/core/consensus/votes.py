"""Counting of votes, and the rules for granting them."""

from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import messages


class Votes:
    """Counts the votes this replica receives, and grants its own.

    Args:
      own_id: Member ID of this replica.
      durable: Term, vote and log of this replica.
    """

    def __init__(
        self, own_id: str, durable: durable_state.DurableState
    ) -> None:
        self._own_id = own_id
        self._durable = durable
        self._granted_by: set[str] = set()
        self._term = 0
        self._is_pre = False

    def start_count(self, term: int, *, is_pre: bool) -> None:
        """Discards earlier votes and starts to count those of one term."""
        self._granted_by = set()
        self._term = term
        self._is_pre = is_pre

    def add_own(self) -> None:
        """Counts this replica's vote for itself."""
        self._granted_by.add(self._own_id)

    def add(self, sender: str, answer: messages.VoteAnswer) -> None:
        """Counts a vote if it was granted in the current round of voting."""
        if answer.is_granted and self._is_current(answer):
            self._granted_by.add(sender)

    def has_majority(self) -> bool:
        """Returns whether a majority of the voters granted their votes."""
        voters = self._durable.log.members.list_voters()
        return 2 * len(self._granted_by.intersection(voters)) > len(voters)

    def make_request(self, *, is_transfer: bool) -> messages.VoteRequest:
        """Returns the vote request to send to every other voter."""
        return messages.VoteRequest(
            term=self._term,
            last_index=self._durable.log.last_index,
            last_term=self._durable.log.last_term,
            is_pre=self._is_pre,
            is_transfer=is_transfer,
        )

    def answer(
        self, sender: str, request: messages.VoteRequest
    ) -> messages.VoteAnswer:
        """Returns the answer to a vote request, and stores a granted vote."""
        is_granted = self._may_grant(sender, request)
        if is_granted and not request.is_pre:
            self._store_vote(sender)
        return messages.VoteAnswer(
            term=request.term if is_granted else self._durable.term,
            is_granted=is_granted,
            is_pre=request.is_pre,
        )

    def _store_vote(self, sender: str) -> None:
        if self._durable.vote != sender:
            self._durable.start_term(self._durable.term, sender)

    def _may_grant(self, sender: str, request: messages.VoteRequest) -> bool:
        log = self._durable.log
        held = (log.last_term, log.last_index)
        if (request.last_term, request.last_index) < held:
            return False
        if request.is_pre:
            return request.term > self._durable.term
        return request.term == self._durable.term and (
            self._durable.vote in ("", sender)
        )

    def _is_current(self, answer: messages.VoteAnswer) -> bool:
        return answer.term == self._term and answer.is_pre == self._is_pre
