"""Answers the operators' requests about roll-outs, at the leader."""

from collections.abc import Callable

from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.core.configuration import rollout_changes
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.rollouts import software_versions
from lovagesaddle.observability import logs

Reply = Callable[[operator_messages.OperatorMessage], None]
Refuse = Callable[[str, str, Reply], None]
NOT_LEADER = "this replica does not lead"


class RolloutRequests:
    """Orders roll-outs and reads their state.

    Args:
      consensus: Consensus of this replica.
      is_enabled: Whether versions are rolled out in this deployment.
      refuse: Answers a request ID with the cause why this replica can't.
    """

    def __init__(
        self,
        consensus: consensus_lib.Consensus,
        refuse: Refuse,
        *,
        is_enabled: bool,
    ) -> None:
        self._log = logs.get_logger("rollouts")
        self._consensus = consensus
        self._refuse = refuse
        self._is_enabled = is_enabled

    def start(
        self, request: operator_messages.StartRolloutRequest, reply: Reply
    ) -> None:
        """Answers an order once it is committed.

        A refusal is an entry of the log too: a leader that was replaced without
        knowing it would refuse by an old state.
        """
        if not self._is_enabled:
            self._answer(request, commands.RolloutOutcome.DISABLED, reply)
            return
        if not self._consensus.view().is_leader:
            self._refuse(request.request_id, NOT_LEADER, reply)
            return

        def finish(version: int) -> None:
            # An order that was accepted is the newest one of its service.
            found = rollout_changes.find_outcome(
                self._consensus.view().state.snapshot, request.order
            )
            del version
            self._answer(
                request, found or commands.RolloutOutcome.CONFLICT, reply
            )

        self._consensus.propose(
            request.order,
            finish,
            lambda cause: self._refuse(request.request_id, cause, reply),
        )

    def read(
        self, request: operator_messages.RolloutRequest, reply: Reply
    ) -> None:
        """Answers with the newest roll-out, by a linearizable read."""

        def finish(_: int) -> None:
            rollout = software_versions.find_rollout(
                self._consensus.state.snapshot, request.service
            )
            if rollout is not None and not rollout.ordered_at:
                rollout = None
            reply(
                operator_messages.RolloutAnswer(
                    request_id=request.request_id, rollout=rollout
                )
            )

        self._consensus.read(
            finish,
            lambda cause: self._refuse(request.request_id, cause, reply),
        )

    def _answer(
        self,
        request: operator_messages.StartRolloutRequest,
        outcome: commands.RolloutOutcome,
        reply: Reply,
    ) -> None:
        self._log.info(
            "rollout_answered",
            service=request.order.service,
            target=request.order.target,
            ramp_s=request.order.ramp_s,
            outcome=outcome.value,
        )
        reply(
            operator_messages.StartRolloutAnswer(
                request_id=request.request_id, outcome=outcome
            )
        )
