"""State machine of one replica of the replicated log.

The protocol follows Raft: a leader replicates, with pre-vote, check-quorum,
log matching, snapshots, learners and one member change at a time. The index
of an entry in the leader's log is the version of the configuration.
"""

from lovagesaddle.core import state_machine
from lovagesaddle.core.consensus import applier as applier_lib
from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import election as election_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import follower as follower_lib
from lovagesaddle.core.consensus import leadership as leadership_lib
from lovagesaddle.core.consensus import messages
from lovagesaddle.core.consensus import reads as reads_lib
from lovagesaddle.core.consensus import reconfiguration
from lovagesaddle.core.consensus import timing


class Replica(state_machine.StateMachine[events.Event, events.Action]):
    """One replica of the replicated log.

    Args:
      own_id: Member ID of this replica.
      restored: State that storage restored at the start.
      limits: Time limits.
      random: Source of jitter.
    """

    def __init__(
        self,
        *,
        own_id: str,
        restored: entries_lib.RestoredState,
        limits: timing.Timing,
        random: timing.RandomSource,
    ) -> None:
        self._own_id = own_id
        self._clock = timing.Clock(limits, random)
        self._durable = durable_state.DurableState(restored)
        self._election = election_lib.Election(
            own_id=own_id, durable=self._durable, clock=self._clock
        )
        self._follower = follower_lib.Follower(self._durable, random)
        self._applier = applier_lib.Applier(self._durable)
        self._reads = reads_lib.PendingReads()
        self._leadership: leadership_lib.Leadership | None = None
        self._leader = ""
        self._reported = (self.role, self._durable.term, self._leader)

    @property
    def role(self) -> events.Role:
        """Role of this replica in its term."""
        if self._leadership is not None:
            return events.Role.LEADER
        return self._election.role

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._durable.term

    @property
    def leader(self) -> str:
        """Member ID of the leader; empty if none is known."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be stored on a majority."""
        return self._applier.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log, committed or not."""
        return self._durable.log.last_index

    @property
    def members(self) -> entries_lib.Members:
        """The newest members, committed or not."""
        return self._durable.log.members

    @property
    def image(self) -> entries_lib.Image:
        """The newest snapshot."""
        return self._durable.log.image

    @property
    def confirmed_round(self) -> int:
        """Newest heartbeat round of this term that a majority confirmed."""
        if self._leadership is not None:
            return self._leadership.confirmed_round
        return self._follower.confirmed_round

    def compute_age(self) -> float | None:
        """Returns how old the applied state may be at most, in seconds.

        Everything that was accepted longer ago is applied here. None if
        nothing proves an age. The age counts up to the last step.
        """
        if self._leadership is None:
            current_at = self._follower.current_at
        elif self.is_confirmed_leader:
            current_at = self._leadership.confirmed_at
        else:
            current_at = None
        return None if current_at is None else self._clock.now - current_at

    @property
    def is_confirmed_leader(self) -> bool:
        """Whether this replica leads and has committed an entry of its term."""
        return (
            self._leadership is not None
            and self._leadership.has_committed_in_term(self.commit_index)
        )

    def list_match_indexes(self) -> dict[str, int]:
        """Returns the last index known to be synced, by member.

        The result is empty unless this replica leads.
        """
        if self._leadership is None:
            return {}
        return self._leadership.list_match_indexes()

    def list_responsive(self) -> frozenset[str]:
        """Returns the members that answered within an election timeout.

        The result is empty unless this replica leads.
        """
        if self._leadership is None:
            return frozenset()
        return self._leadership.list_responsive(self._clock.now)

    def plan_members(
        self, newcomers: tuple[entries_lib.Member, ...], *, tolerated: int
    ) -> reconfiguration.Change | None:
        """Returns the next step of a change of the members.

        Args:
          newcomers: Replicas without a log that introduced themselves recently.
          tolerated: Number of replicas that may be lost at the same time; 0 if
            operators decide on the members.

        Returns:
          The step to propose, or None if none is due or this replica does not
          lead.
        """
        if self._leadership is None or not self.is_confirmed_leader:
            return None
        now = self._clock.now
        observation = reconfiguration.Observation(
            leader=self._own_id,
            newcomers=newcomers,
            unresponsive=self._leadership.list_unresponsive(
                now, reconfiguration.UNRESPONSIVE_AFTER_S
            ),
            responsive=self._leadership.list_responsive(now),
            leaving=self._leadership.list_leaving(),
            match_indexes=self._leadership.list_match_indexes(),
            commit=self.commit_index,
        )
        return reconfiguration.plan_change(
            self.members, observation, tolerated=tolerated
        )

    @property
    def has_committed_members(self) -> bool:
        """Whether this replica leads and its newest members are committed.

        A majority has then synced the log entry that holds the members.
        """
        members_index = self._durable.log.members_index
        return self.is_confirmed_leader and members_index <= self.commit_index

    def may_be_replaced(self, *, tolerated: int) -> bool:
        """Returns whether another member could vote in place of this one.

        Args:
          tolerated: Number of replicas that may be lost at the same time; 0 if
            operators decide on the members.
        """
        needed = reconfiguration.count_wanted_voters(tolerated)
        return tolerated > 0 and len(self.members.members) > needed

    @property
    def has_left_voters(self) -> bool:
        """Whether committed members count this replica as a learner."""
        return (
            not self._election.is_voter()
            and self._durable.log.members_index <= self.commit_index
        )

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event; see `state_machine.StateMachine.step`."""
        self._clock.advance(now)
        self._handle(event)
        return self._collect()

    def _handle(self, event: events.Event) -> None:
        match event:
            case events.Tick():
                self._tick()
            case events.MessageReceived():
                self._receive(event.sender, event.message)
            case events.Propose():
                self._applier.propose(event, self._leadership)
            case events.ProposeMembers():
                self._applier.propose_members(event, self._leadership)
            case events.Read():
                self._reads.add(event, self._leadership, self.commit_index)
            case events.Persisted():
                self._handle_sync(event.sync_id)
            case events.ImageTaken():
                self._applier.compact(event)
            case events.InitializeLog():
                self._initialize_log(event.entry)
            case events.TransferLeadership() | events.Leave():
                self._hand_over(is_leaving=isinstance(event, events.Leave))

    def _collect(self) -> tuple[events.Action, ...]:
        self._advance_commit()
        sends: list[events.Send] = []
        if self._leadership is not None:
            sends = self._leadership.collect_sends(
                self.commit_index, self._clock.now
            )
        actions = [
            *self._durable.flush(),
            *sends,
            *self._applier.collect(),
            *self._reads.collect(self.confirmed_round),
        ]
        state = (self.role, self._durable.term, self._leader)
        if state != self._reported:
            self._reported = state
            role, term, leader = state
            actions.append(
                events.RoleChanged(role=role, term=term, leader=leader)
            )
        return tuple(actions)

    def _tick(self) -> None:
        if self._leadership is not None:
            if self._leadership.has_lost_quorum(self._clock.now):
                self._become_follower(self._durable.term, leader="")
            else:
                self._leadership.tick(self._clock.now)
        elif self._clock.is_election_due():
            self._leader = ""
            self._election.start_pre_vote()

    def _handle_sync(self, sync_id: int) -> None:
        self._durable.record_sync(sync_id)
        if self._election.add_own_vote():
            self._become_leader()

    def _initialize_log(self, entry: entries_lib.Entry) -> None:
        if self.last_index == 0:
            self._durable.append((entry,))

    def _hand_over(self, *, is_leaving: bool) -> None:
        if is_leaving:
            self._follower.announce_leave()
        if self._leadership is not None:
            self._leadership.transfer(self._clock.now)

    def _send_after_sync(
        self, receiver: str, message: messages.Message
    ) -> None:
        self._durable.send_after_sync(
            events.Send(receiver=receiver, message=message)
        )

    def _become_leader(self) -> None:
        self._election.withdraw()
        self._leader = self._own_id
        self._leadership = leadership_lib.Leadership(
            own_id=self._own_id,
            durable=self._durable,
            limits=self._clock.timing,
            now=self._clock.now,
        )

    def _become_follower(self, term: int, *, leader: str) -> None:
        if term > self._durable.term:
            self._durable.start_term(term, "")
        if self._leadership is not None:
            self._leadership = None
            self._clock.restart_timeout()
            self._applier.refuse_pending()
            self._reads.refuse_pending()
        self._election.withdraw()
        self._leader = leader

    def _receive(self, sender: str, message: messages.Message) -> None:
        if isinstance(message, messages.VoteRequest) and self._must_ignore(
            message
        ):
            return
        if message.term > self._durable.term and messages.carries_started_term(
            message
        ):
            self._become_follower(message.term, leader="")
        match message:
            case messages.VoteRequest():
                self._election.answer(sender, message)
            case messages.VoteAnswer():
                self._handle_vote(sender, message)
            case messages.AppendRequest() | messages.ImageRequest():
                self._handle_leader_message(sender, message)
            case messages.AppendAnswer() | messages.ImageAnswer():
                self._handle_answer(sender, message)
            case messages.TransferRequest():
                self._handle_transfer(message)

    def _handle_vote(self, sender: str, answer: messages.VoteAnswer) -> None:
        if self._election.add_vote(sender, answer):
            self._become_leader()

    def _must_ignore(self, request: messages.VoteRequest) -> bool:
        if request.is_transfer:
            return False
        if self._leadership is not None:
            return True
        return bool(self._leader) and self._clock.has_recent_leader()

    def _handle_leader_message(
        self,
        sender: str,
        message: messages.AppendRequest | messages.ImageRequest,
    ) -> None:
        if message.term < self._durable.term:
            self._send_after_sync(sender, self._follower.refuse(message))
            return
        self._become_follower(message.term, leader=sender)
        self._clock.record_leader_contact()
        if isinstance(message, messages.ImageRequest):
            self._handle_image(sender, message)
            return
        answer, commit = self._follower.append_entries(
            message, self.commit_index, self._clock.now
        )
        self._applier.commit(commit)
        self._send_after_sync(sender, answer)

    def _handle_image(
        self, sender: str, request: messages.ImageRequest
    ) -> None:
        image, answer = self._follower.receive_piece(request, self.commit_index)
        if image is not None:
            self._applier.install(image)
        self._send_after_sync(sender, answer)

    def _handle_answer(
        self, sender: str, answer: messages.AppendAnswer | messages.ImageAnswer
    ) -> None:
        if self._leadership is None or answer.term != self._durable.term:
            return
        self._leadership.handle_answer(sender, answer, self._clock.now)

    def _handle_transfer(self, request: messages.TransferRequest) -> None:
        if (
            request.term == self._durable.term
            and self._leadership is None
            and self._election.is_voter()
        ):
            self._leader = ""
            self._election.start_election(is_transfer=True)

    def _advance_commit(self) -> None:
        if self._leadership is None:
            return
        index = self._leadership.compute_majority_index()
        if index > self.commit_index and self._may_commit(index):
            self._applier.commit(index)

    def _may_commit(self, index: int) -> bool:
        # Only an entry of the current term is committed by counting: an entry
        # of an earlier term may still be replaced, even if a majority stores
        # it.
        return self._durable.log.find_term(index) == self._durable.term
