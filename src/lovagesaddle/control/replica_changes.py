"""Adds, removes, replaces and repairs replicas."""

from collections.abc import Callable
import dataclasses

from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.model import operator_messages
from lovagesaddle.observability import logs

ADD = "add"
REMOVE = "remove"
REPLACE = "replace"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The decision on a request to change the replicas.

    Attributes:
      members: Members to propose; None if no change is needed.
      is_accepted: Whether the request is or will be fulfilled.
      cause: Reason for the decision, in one sentence.
    """

    members: entries_lib.Members | None
    is_accepted: bool
    cause: str


class ReplicaChanges:
    """Decides on requests and completes changes that are in progress.

    Args:
      consensus: Consensus of this replica.
      own_id: Member ID of this replica.
      tolerated: Number of replicas that may be lost at a time, for automatic
        repairs by the leader; 0 leaves all changes to operators.
    """

    def __init__(
        self,
        *,
        consensus: consensus_lib.Consensus,
        own_id: str,
        tolerated: int = 0,
    ) -> None:
        self._tolerated = tolerated
        self._log = logs.get_logger("replicas")
        self._consensus = consensus
        self._own_id = own_id
        self._is_changing = False

    def change(
        self,
        request: operator_messages.ChangeReplicaRequest,
        on_done: Callable[[Decision], None],
    ) -> None:
        """Carries out a request. This replica must be the leader.

        Args:
          request: Request of an operator.
          on_done: Called with the decision: after the commit of the first
            step if one is needed, else at once.
        """
        decision = self._decide(request)
        self._log.info(
            "replica_change",
            action=request.action,
            replica=request.replica_id,
            accepted=decision.is_accepted,
            cause=decision.cause,
        )
        if decision.members is None:
            on_done(decision)
            return
        self._consensus.propose_members(
            decision.members,
            lambda _: on_done(decision),
            lambda cause: on_done(
                Decision(members=None, is_accepted=False, cause=cause)
            ),
        )

    def tick(self) -> None:
        """Starts the next step of a change, or hands over leadership.

        Leadership is transferred if the step removes this replica.
        """
        replica = self._consensus.replica
        if self._is_changing:
            return
        change = replica.plan_members(
            self._consensus.list_newcomers(), tolerated=self._tolerated
        )
        if change is None:
            return
        if change.members.find(self._own_id) is None:
            self._consensus.transfer_leadership_now()
            return
        self._is_changing = True
        self._log.info(
            "replicas_repaired",
            before=_format_members(replica.members),
            after=_format_members(change.members),
            reason=change.reason,
        )
        self._consensus.propose_members(
            change.members, self._handle_applied, self._handle_refused
        )

    def _handle_applied(self, version: int) -> None:
        self._is_changing = False
        self._log.info("replicas_changed", version=version)

    def _handle_refused(self, cause: str) -> None:
        self._is_changing = False
        self._log.info("replica_change_refused", cause=cause)

    def _decide(
        self, request: operator_messages.ChangeReplicaRequest
    ) -> Decision:
        match request.action:
            case "add":
                return self._decide_add(request.replica_id, None)
            case "replace":
                return self._decide_replace(request)
            case "remove":
                return self._decide_remove(request.replica_id)
        return _refuse(f"action {request.action} is unknown")

    def _decide_replace(
        self, request: operator_messages.ChangeReplicaRequest
    ) -> Decision:
        members = self._consensus.replica.members
        newcomer = self._consensus.find_newcomer(request.replica_id)
        old = [
            member
            for member in members.members
            if member.replica_id == request.replaced_id
            and member.is_voter
            and (newcomer is None or member.member_id != newcomer.member_id)
        ]
        if not old:
            return self._decide_add(request.replica_id, None)
        return self._decide_add(request.replica_id, old[0])

    def _decide_add(
        self, replica_id: str, replaced: entries_lib.Member | None
    ) -> Decision:
        members = self._consensus.replica.members
        newcomer = self._consensus.find_newcomer(replica_id)
        if newcomer is not None and members.find(newcomer.member_id) is None:
            learner = dataclasses.replace(
                newcomer,
                is_voter=False,
                replaces="" if replaced is None else replaced.member_id,
            )
            return Decision(
                members=_remove_learners(members, replica_id).put(learner),
                is_accepted=True,
                cause="it votes once it has caught up",
            )
        present = members.find_replica(replica_id)
        if present is not None and present != replaced:
            return Decision(
                members=None, is_accepted=True, cause="it is a member"
            )
        return _refuse(
            f"replica {replica_id} has not introduced itself; start it with"
            " an empty data folder and the current replicas in its settings"
        )

    def _decide_remove(self, replica_id: str) -> Decision:
        members = self._consensus.replica.members
        member = members.find_replica(replica_id)
        if member is None:
            return Decision(
                members=None, is_accepted=True, cause="it is not a member"
            )
        return Decision(
            members=members.drop(member.member_id),
            is_accepted=True,
            cause="it was removed",
        )


def _format_members(members: entries_lib.Members) -> tuple[str, ...]:
    return tuple(
        member.member_id if member.is_voter else f"{member.member_id}(learner)"
        for member in members.members
    )


def _remove_learners(
    members: entries_lib.Members, replica_id: str
) -> entries_lib.Members:
    """Returns the members without earlier learners of the same replica."""
    remaining = members
    for member in members.members:
        if member.replica_id == replica_id and not member.is_voter:
            remaining = remaining.drop(member.member_id)
    return remaining


def _refuse(cause: str) -> Decision:
    return Decision(members=None, is_accepted=False, cause=cause)
