"""Adds, removes and replaces replicas on behalf of an operator."""

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
    """What comes of a request to change the replicas.

    Attributes:
      members: The members to propose; None if nothing has to change.
      is_accepted: Whether the request is met or will be.
      cause: Why, in one sentence.
    """

    members: entries_lib.Members | None
    is_accepted: bool
    cause: str


class ReplicaChanges:
    """Judges requests, and brings begun changes to their end.

    Args:
      consensus: The replica of this process.
      own_id: Member ID of this replica.
      tolerated: Replicas that may be lost at a time, for repairs that the
        leader makes by itself; 0 leaves all changes to operators.
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
        """Carries out a request; this replica leads.

        Args:
          request: What an operator asks for.
          on_done: Called with the verdict, after the first step's commit if
            a step is needed.
        """
        verdict = self._judge(request)
        self._log.info(
            "replica_change",
            action=request.action,
            replica=request.replica_id,
            accepted=verdict.is_accepted,
            cause=verdict.cause,
        )
        if verdict.members is None:
            on_done(verdict)
            return
        self._consensus.propose_members(
            verdict.members,
            lambda _: on_done(verdict),
            lambda cause: on_done(
                Decision(members=None, is_accepted=False, cause=cause)
            ),
        )

    def tick(self) -> None:
        """Takes the next step of a change that is under way."""
        replica = self._consensus.replica
        if self._is_changing:
            return
        planned = replica.plan_member_change() or self._plan_repair()
        if planned is None:
            return
        if planned.find(self._own_id) is None:
            self._consensus.transfer_now()
            return
        self._is_changing = True
        self._consensus.propose_members(
            planned, self._note_applied, self._note_refused
        )

    def _plan_repair(self) -> entries_lib.Members | None:
        if not self._tolerated:
            return None
        planned = self._consensus.replica.plan_repair(
            self._consensus.list_newcomers(), tolerated=self._tolerated
        )
        if planned is not None:
            self._log.info(
                "replicas_repaired",
                before=_name_all(self._consensus.replica.members),
                after=_name_all(planned),
            )
        return planned

    def _note_applied(self, version: int) -> None:
        self._is_changing = False
        self._log.info("replicas_changed", version=version)

    def _note_refused(self, cause: str) -> None:
        self._is_changing = False
        self._log.info("replica_change_refused", cause=cause)

    def _judge(
        self, request: operator_messages.ChangeReplicaRequest
    ) -> Decision:
        match request.action:
            case "add":
                return self._judge_add(request.replica_id, None)
            case "replace":
                return self._judge_replace(request)
            case "remove":
                return self._judge_remove(request.replica_id)
        return _refuse(f"action {request.action} is unknown")

    def _judge_replace(
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
            return self._judge_add(request.replica_id, None)
        return self._judge_add(request.replica_id, old[0])

    def _judge_add(
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
                members=_drop_learners(members, replica_id).put(learner),
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
            " an empty data folder and the present replicas in its settings"
        )

    def _judge_remove(self, replica_id: str) -> Decision:
        members = self._consensus.replica.members
        member = members.find_replica(replica_id)
        if member is None:
            return Decision(
                members=None, is_accepted=True, cause="it is not a member"
            )
        return Decision(
            members=members.drop(member.member_id),
            is_accepted=True,
            cause="it is no member any more",
        )


def _name_all(members: entries_lib.Members) -> tuple[str, ...]:
    return tuple(
        member.member_id if member.is_voter else f"{member.member_id}(learner)"
        for member in members.members
    )


def _drop_learners(
    members: entries_lib.Members, replica_id: str
) -> entries_lib.Members:
    """Returns the members without earlier tries to add the same replica."""
    kept = members
    for member in members.members:
        if member.replica_id == replica_id and not member.is_voter:
            kept = kept.drop(member.member_id)
    return kept


def _refuse(cause: str) -> Decision:
    return Decision(members=None, is_accepted=False, cause=cause)
