"""Commit index, application of committed entries, and open proposals."""

from lovagesaddle.core.consensus import durable_state
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import leadership as leadership_lib

NOT_LEADER = "this replica does not lead"
LEADERSHIP_LOST = "leadership was lost before the outcome was known"


class Applier:
    """Applies each committed entry once, in order, and answers its proposal.

    Args:
      durable: Term, vote and log of this replica.
    """

    def __init__(self, durable: durable_state.DurableState) -> None:
        self._durable = durable
        self._commit = durable.log.image.index
        self._applied = self._commit
        self._proposals: dict[int, int] = {}
        self._actions: list[events.Action] = []

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be stored on a majority."""
        return self._commit

    def commit(self, index: int) -> None:
        """Records that entries up to `index` are stored on a majority."""
        self._commit = max(self._commit, index)

    def propose(
        self,
        event: events.Propose,
        leadership: leadership_lib.Leadership | None,
    ) -> None:
        """Appends commands if this replica leads, otherwise refuses them."""
        if leadership is None or leadership.is_transferring:
            for proposal in event.proposals:
                self.refuse(proposal.proposal_id, NOT_LEADER)
            return
        for proposal in event.proposals:
            index = leadership.append(
                entries_lib.EntryKind.COMMAND, proposal.payload
            )
            self._register(index, proposal.proposal_id)

    def propose_members(
        self,
        event: events.ProposeMembers,
        leadership: leadership_lib.Leadership | None,
    ) -> None:
        """Appends a member change if it is allowed, otherwise refuses it."""
        if leadership is None:
            self.refuse(event.proposal_id, NOT_LEADER)
            return
        cause = leadership.check_members(event.members, self._commit)
        if cause:
            self.refuse(event.proposal_id, cause)
            return
        index = leadership.append_members(event.members)
        self._register(index, event.proposal_id)

    def refuse(
        self, proposal_id: int, cause: str, *, is_unknown: bool = False
    ) -> None:
        """Refuses a proposal that this replica will not commit."""
        self._actions.append(
            events.Refuse(
                proposal_id=proposal_id, cause=cause, is_unknown=is_unknown
            )
        )

    def refuse_pending(self) -> None:
        """Refuses every open proposal; its outcome is unknown."""
        for proposal_id in self._proposals.values():
            self.refuse(proposal_id, LEADERSHIP_LOST, is_unknown=True)
        self._proposals.clear()

    def install(self, image: entries_lib.Image) -> None:
        """Replaces the application's state with a snapshot from the leader."""
        self._commit = image.index
        self._applied = image.index
        self._actions.append(events.Restore(image=image))

    def compact(self, event: events.ImageTaken) -> None:
        """Stores a snapshot of the application, unless it is outdated."""
        if self._durable.log.image.index < event.index <= self._applied:
            self._durable.compact(event.index, event.data)

    def _register(self, index: int, proposal_id: int) -> None:
        self._proposals[index] = proposal_id

    def collect(self) -> list[events.Action]:
        """Returns refusals, entries to apply and resolved proposals."""
        actions = self._actions
        self._actions = []
        if self._applied >= self._commit:
            return actions
        entries = self._durable.log.read(self._applied + 1, self._commit)
        self._applied = self._commit
        actions.append(events.Apply(entries=entries))
        for entry in entries:
            proposal_id = self._proposals.pop(entry.index, None)
            if proposal_id is not None:
                actions.append(
                    events.Resolve(proposal_id=proposal_id, index=entry.index)
                )
        return actions
