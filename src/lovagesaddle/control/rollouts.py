"""Carries out the steps of roll-outs while this replica leads."""

from lovagesaddle.control import ports
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import director
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint as endpoint_lib

SHARE_DIGITS = 3


class Rollouts(ports.Subsystem):
    """Connects `director.RolloutDirector` to consensus.

    The reports of the nodes come with the messages of the distribution.

    Args:
      replica: Consensus of this replica.
      exposure_share: Largest share of a service's requests that may go to a
        version that is not proved.
    """

    def __init__(
        self, replica: ports.ReplicaPort, exposure_share: float
    ) -> None:
        self._log = logs.get_logger("rollouts")
        self._replica = replica
        self._director = director.RolloutDirector(exposure_share)
        self._known: dict[str, snapshots.Rollout] = {}

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel of claims; a replica receives no messages on it."""
        return endpoint_lib.Channel.CLAIMS

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Ignores a message; reports come through `add_evidence`."""

    def add_evidence(self, report: messages.RolloutReport, now: float) -> None:
        """Adds a node's report on the versions of its servers."""
        self._director.add_evidence(
            report.node_id, report.incarnation, report.versions, now
        )

    def tick(self, now: float) -> None:
        """Proposes the steps that are due."""
        for step in self._director.tick(now):
            self._propose(step)

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Handles a new applied state, leader or leader stamp."""
        snapshot = view.state.snapshot
        self._director.observe(snapshot, is_leader=view.is_leader, now=now)
        for rollout in snapshot.rollouts or ():
            if self._known.get(rollout.service) != rollout:
                self._known[rollout.service] = rollout
                self._log.info(
                    "rollout_changed",
                    service=rollout.service,
                    target=rollout.target,
                    previous=rollout.previous,
                    ordered_at=rollout.ordered_at,
                    phase=rollout.phase.value,
                    weight=rollout.weight,
                    version=snapshot.version,
                )

    def _propose(self, step: director.Step) -> None:
        command, finding = step.command, step.finding
        self._log.info(
            "rollout_step",
            service=command.service,
            ordered_at=command.ordered_at,
            phase=command.phase.value,
            weight=command.weight,
            elapsed_s=command.elapsed_s,
            reason=step.reason,
            measure=finding.measure,
            route=finding.route,
            answered=finding.answered,
            bad=finding.bad,
            allowed_share=round(finding.standard, SHARE_DIGITS),
            evidence=round(finding.evidence, 1),
            arrived=step.arrived,
            arrived_old=step.arrived_old,
        )

        def finish(version: int) -> None:
            del version
            self._director.settle(command.service)

        def refuse(cause: str) -> None:
            self._log.warning(
                "rollout_step_refused", service=command.service, cause=cause
            )
            self._director.settle(command.service)

        self._replica.propose(command, finish, refuse)
