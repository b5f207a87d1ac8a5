"""Elections: pre-vote, vote, and elections started by a transfer."""

from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import messages
from lovagesaddle.core.consensus import timing
from lovagesaddle.core.consensus import votes as votes_lib


class Election:
    """Requests votes as a candidate and answers the requests of others.

    Args:
      own_id: Member ID of this replica.
      durable: Term, vote and log of this replica.
      clock: Time and election deadline of this replica.
    """

    def __init__(
        self,
        *,
        own_id: str,
        durable: durable_state.DurableState,
        clock: timing.Clock,
    ) -> None:
        self._own_id = own_id
        self._durable = durable
        self._clock = clock
        self._votes = votes_lib.Votes(own_id, durable)
        self._role = events.Role.FOLLOWER

    @property
    def role(self) -> events.Role:
        """The current role: follower, pre-candidate or candidate."""
        return self._role

    def withdraw(self) -> None:
        """Ends the candidacy; the replica is a follower again."""
        self._role = events.Role.FOLLOWER

    def is_voter(self) -> bool:
        """Returns whether this replica may be elected."""
        return self._own_id in self._durable.log.members.list_voters()

    def start_pre_vote(self) -> None:
        """Asks the voters whether they would grant a vote; changes no term."""
        self._clock.restart_timeout()
        if not self.is_voter():
            return
        self._role = events.Role.PRE_CANDIDATE
        self._votes.start_count(self._durable.term + 1, is_pre=True)
        self._votes.add_own()
        self._request_votes(is_transfer=False)
        self._advance()

    def start_election(self, *, is_transfer: bool) -> None:
        """Starts a new term and requests votes in it."""
        self._clock.restart_timeout()
        self._role = events.Role.CANDIDATE
        self._durable.start_term(self._durable.term + 1, self._own_id)
        self._votes.start_count(self._durable.term, is_pre=False)
        self._request_votes(is_transfer=is_transfer)

    def add_own_vote(self) -> bool:
        """Counts this replica's own vote once it is synced.

        Returns:
          Whether the election is won.
        """
        if self._role is events.Role.CANDIDATE and self._durable.is_synced:
            self._votes.add_own()
            return self._advance()
        return False

    def add_vote(self, sender: str, answer: messages.VoteAnswer) -> bool:
        """Counts another member's vote.

        Returns:
          Whether the election is won.
        """
        self._votes.add(sender, answer)
        return self._advance()

    def answer(self, sender: str, request: messages.VoteRequest) -> None:
        """Answers a vote request; a granted vote restarts the timeout."""
        answer = self._votes.answer(sender, request)
        if answer.is_granted and not request.is_pre:
            self._clock.restart_timeout()
        self._durable.send_after_sync(
            events.Send(receiver=sender, message=answer)
        )

    def _advance(self) -> bool:
        if not self._votes.has_majority():
            return False
        if self._role is events.Role.PRE_CANDIDATE:
            self.start_election(is_transfer=False)
            return False
        return self._role is events.Role.CANDIDATE

    def _request_votes(self, *, is_transfer: bool) -> None:
        request = self._votes.make_request(is_transfer=is_transfer)
        for voter in self._durable.log.members.list_voters():
            if voter != self._own_id:
                self._durable.send_after_sync(
                    events.Send(receiver=voter, message=request)
                )
