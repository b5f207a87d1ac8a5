"""Work of a leader in its term: replication, heartbeats and commits."""

from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import log as log_lib
from lovagesaddle.core.consensus import messages
from lovagesaddle.core.consensus import progress as progress_lib
from lovagesaddle.core.consensus import timing

MAX_APPEND_BYTES = 1024 * 1024
IMAGE_PIECE_BYTES = 256 * 1024


class Leadership:
    """The leader's state in one term.

    Args:
      own_id: Member ID of the leader.
      durable: Its term, vote and log.
      limits: Time limits. A leader steps down if no majority answers it
        within an election timeout.
      now: Monotonic time of the election, in seconds.
    """

    def __init__(
        self,
        *,
        own_id: str,
        durable: durable_state.DurableState,
        limits: timing.Timing,
        now: float,
    ) -> None:
        self._own_id = own_id
        self._durable = durable
        self._limits = limits
        self._started_at = now
        self._now = now
        self._progress: dict[str, progress_lib.Progress] = {}
        self._round = 0
        self._confirmed_round = 0
        self._round_times: dict[int, float] = {}
        self._confirmed_at: float | None = None
        self._heartbeat_at = now
        self._is_heartbeat_due = True
        self._transfer_until: float | None = None
        self._transfer_sent = False
        self._first_index = self.append(entries_lib.EntryKind.NOOP, b"")

    @property
    def confirmed_round(self) -> int:
        """Newest heartbeat round that a majority confirmed."""
        return self._confirmed_round

    @property
    def confirmed_at(self) -> float | None:
        """When the newest confirmed round started, in monotonic seconds."""
        return self._confirmed_at

    @property
    def is_transferring(self) -> bool:
        """Whether leadership is being transferred."""
        return self._transfer_until is not None

    def has_committed_in_term(self, commit: int) -> bool:
        """Returns whether an entry of this term is committed."""
        return commit >= self._first_index

    def list_match_indexes(self) -> dict[str, int]:
        """Returns the index of the last entry known to be synced, by member."""
        match_indexes = {
            key: progress.match_index
            for key, progress in self._progress.items()
        }
        match_indexes[self._own_id] = self._durable.synced_index
        return match_indexes

    def list_responsive(self, now: float) -> frozenset[str]:
        """Returns the members that answered within an election timeout."""
        others = (
            key for key in self._progress if self._is_responsive(key, now)
        )
        return frozenset((self._own_id, *others))

    def list_unresponsive(self, now: float, limit_s: float) -> frozenset[str]:
        """Returns the members that have not answered for `limit_s`."""
        return frozenset(
            member_id
            for member_id, progress in self._progress.items()
            if now - progress.answered_at >= limit_s
        )

    def list_leaving(self) -> frozenset[str]:
        """Returns the members that announced that they stop."""
        return frozenset(
            member_id
            for member_id, progress in self._progress.items()
            if progress.is_leaving
        )

    def append(self, kind: entries_lib.EntryKind, payload: bytes) -> int:
        """Appends an entry of this term and returns its index."""
        entry = entries_lib.Entry(
            index=self._durable.log.last_index + 1,
            term=self._durable.term,
            kind=kind,
            payload=payload,
        )
        self._durable.append((entry,))
        return entry.index

    def append_members(self, members: entries_lib.Members) -> int:
        """Appends a member change and returns its index."""
        return self.append(
            entries_lib.EntryKind.MEMBERS, log_lib.encode_members(members)
        )

    def check_members(self, members: entries_lib.Members, commit: int) -> str:
        """Returns why a member change is not allowed, or "" if it is."""
        log = self._durable.log
        if self.is_transferring:
            # The successor would lack the new entry and lose the election.
            return "leadership is being handed over"
        if not self.has_committed_in_term(commit):
            return "the leader has not committed an entry of its term yet"
        if log.members_index > commit:
            return "another change of the replicas is in progress"
        old, new = set(log.members.list_voters()), set(members.list_voters())
        if len(old ^ new) > 1:
            return "more than one voter would change"
        if self._own_id not in new:
            return "the leader can't remove itself; hand leadership over first"
        return ""

    def tick(self, now: float) -> None:
        """Ends an expired transfer and starts a heartbeat round if it is due.

        A member that has not answered for `Timing.pause_after_s` is sent only
        heartbeats until it answers again.
        """
        if self._transfer_until is not None and now >= self._transfer_until:
            self._transfer_until = None
        if now - self._heartbeat_at < self._limits.heartbeat_s:
            return
        self._heartbeat_at = now
        self._is_heartbeat_due = True
        for progress in self._progress.values():
            progress.is_piece_due = True
            if now - progress.answered_at >= self._limits.pause_after_s:
                progress.pause()

    def request_round(self) -> int:
        """Makes a heartbeat round due immediately and returns its number."""
        self._is_heartbeat_due = True
        return self._round + 1

    def has_lost_quorum(self, now: float) -> bool:
        """Returns whether no majority answered within an election timeout."""
        voters = self._durable.log.members.list_voters()
        responsive = self.list_responsive(now).intersection(voters)
        return 2 * len(responsive) <= len(voters)

    def handle_answer(
        self,
        sender: str,
        answer: messages.AppendAnswer | messages.ImageAnswer,
        now: float,
    ) -> None:
        """Handles a follower's answer of this term."""
        progress = self._progress.get(sender)
        if progress is None:
            return
        progress.answered_at = now
        progress.round = max(progress.round, answer.round)
        if isinstance(answer, messages.AppendAnswer):
            progress.sequence = answer.sequence
            progress.is_leaving = answer.is_leaving
        self._update_confirmed_round()
        if isinstance(answer, messages.ImageAnswer):
            self._handle_piece_answer(progress, answer)
        elif answer.is_accepted:
            progress.record_accepted(answer.index)
        else:
            progress.record_refused(answer.previous_index, answer.index)

    def transfer(self, now: float) -> None:
        """Starts to transfer leadership to a voter that has all entries."""
        self._transfer_until = now + self._limits.election_timeout_s
        self._transfer_sent = False

    def compute_majority_index(self) -> int:
        """Returns the highest index that a majority of voters has synced."""
        return self._compute_majority_value(self.list_match_indexes())

    def collect_sends(self, commit: int, now: float) -> list[events.Send]:
        """Returns the messages that are due now."""
        log = self._durable.log
        self._now = now
        self._track_members()
        if self._is_heartbeat_due:
            self._round += 1
            self._round_times[self._round] = now
            self._update_confirmed_round()
        sends: list[events.Send] = []
        for member_id, progress in self._progress.items():
            if progress.next_index > log.base_index:
                sends.extend(self._send_entries(member_id, progress, commit))
            elif progress.is_piece_due:
                sends.append(self._send_piece(member_id, progress))
            elif self._is_heartbeat_due:
                previous = log.last_index
                sends.append(self._make_append(member_id, previous, (), commit))
        self._is_heartbeat_due = False
        sends.extend(self._send_transfer())
        return sends

    def _is_responsive(self, voter: str, now: float) -> bool:
        if voter == self._own_id:
            return True
        progress = self._progress.get(voter)
        answered_at = (
            self._started_at if progress is None else progress.answered_at
        )
        return now - answered_at < self._limits.election_timeout_s

    def _track_members(self) -> None:
        others = self._durable.log.members.list_others(self._own_id)
        for member_id in others:
            if member_id not in self._progress:
                self._progress[member_id] = progress_lib.Progress(
                    next_index=self._first_index,
                    answered_at=self._heartbeat_at,
                )
        for member_id in set(self._progress).difference(others):
            del self._progress[member_id]

    def _update_confirmed_round(self) -> None:
        rounds = {
            key: progress.round for key, progress in self._progress.items()
        }
        rounds[self._own_id] = self._round
        # A faulty member may answer a round that was never started.
        confirmed = min(self._compute_majority_value(rounds), self._round)
        if confirmed <= self._confirmed_round:
            return
        self._confirmed_round = confirmed
        self._confirmed_at = self._round_times[confirmed]
        for number in [n for n in self._round_times if n <= confirmed]:
            del self._round_times[number]

    def _compute_majority_value(self, values: dict[str, int]) -> int:
        voters = self._durable.log.members.list_voters()
        ranked = sorted(
            (values.get(voter, 0) for voter in voters), reverse=True
        )
        return ranked[len(ranked) // 2] if ranked else 0

    def _send_entries(
        self, member_id: str, progress: progress_lib.Progress, commit: int
    ) -> list[events.Send]:
        log = self._durable.log
        sends: list[events.Send] = []
        while progress.next_index <= log.last_index and progress.may_send():
            previous = progress.next_index - 1
            entries = log.read(previous + 1, log.last_index, MAX_APPEND_BYTES)
            sends.append(
                self._make_append(member_id, previous, entries, commit)
            )
            progress.record_sent(entries[-1].index)
        if not sends and self._is_empty_append_due(progress, commit):
            previous = progress.next_index - 1
            sends.append(self._make_append(member_id, previous, (), commit))
        if sends:
            progress.commit_sent = commit
            progress.is_probe_due = False
        return sends

    def _is_empty_append_due(
        self, progress: progress_lib.Progress, commit: int
    ) -> bool:
        if progress.is_probing:
            return self._is_heartbeat_due or progress.is_probe_due
        return self._is_heartbeat_due or commit > progress.commit_sent

    def _make_append(
        self,
        member_id: str,
        previous: int,
        entries: tuple[entries_lib.Entry, ...],
        commit: int,
    ) -> events.Send:
        term = self._durable.log.find_term(previous)
        if term is None:
            raise ValueError(f"entry {previous} is not held")
        request = messages.AppendRequest(
            term=self._durable.term,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit_index=commit,
            round=self._round,
            counter=self._confirmed_round,
            sequence=self._progress[member_id].sequence,
            confirmed_age_s=self._compute_confirmed_age(commit),
        )
        return events.Send(receiver=member_id, message=request)

    def _compute_confirmed_age(self, commit: int) -> float | None:
        if self._confirmed_at is None or not self.has_committed_in_term(commit):
            return None
        return self._now - self._confirmed_at

    def _send_piece(
        self, member_id: str, progress: progress_lib.Progress
    ) -> events.Send:
        image = self._durable.log.image
        if progress.image_index != image.index:
            progress.image_index = image.index
            progress.image_offset = 0
        progress.is_piece_due = False
        end = progress.image_offset + IMAGE_PIECE_BYTES
        piece = entries_lib.Image(
            index=image.index,
            term=image.term,
            members=image.members,
            data=image.data[progress.image_offset : end],
        )
        request = messages.ImageRequest(
            term=self._durable.term,
            image=piece,
            offset=progress.image_offset,
            total=len(image.data),
            round=self._round,
            counter=self._confirmed_round,
        )
        return events.Send(receiver=member_id, message=request)

    def _handle_piece_answer(
        self, progress: progress_lib.Progress, answer: messages.ImageAnswer
    ) -> None:
        image = self._durable.log.image
        if answer.index != progress.image_index or answer.index != image.index:
            return
        if answer.offset >= len(image.data):
            progress.record_accepted(answer.index)
        elif answer.offset != progress.image_offset:
            progress.image_offset = answer.offset
            progress.is_piece_due = True

    def _send_transfer(self) -> list[events.Send]:
        if self._transfer_until is None or self._transfer_sent:
            return []
        last = self._durable.log.last_index
        voters = self._durable.log.members.list_voters()
        complete = [
            member_id
            for member_id, progress in self._progress.items()
            if member_id in voters and progress.match_index == last
        ]
        if not complete:
            return []
        self._transfer_sent = True
        # One that stops too would have to transfer leadership again.
        successor = min(complete, key=self._is_leaving)
        request = messages.TransferRequest(term=self._durable.term)
        return [events.Send(receiver=successor, message=request)]

    def _is_leaving(self, member_id: str) -> bool:
        return self._progress[member_id].is_leaving
