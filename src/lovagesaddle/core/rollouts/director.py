"""Decides the steps of running roll-outs, at the leader.

Load: a new version of a service under full traffic that may be as good as the
old one, or bad at once, later, under load or on one route, within 12 to 16 s
and with lost leaders, slow servers and bursts among them.
"""

import dataclasses
from typing import Final

from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import comparison
from lovagesaddle.core.rollouts import course as course_lib
from lovagesaddle.core.rollouts import evidence as evidence_lib
from lovagesaddle.core.rollouts import software_versions

# As often as owners report.
EVALUATION_S = 0.4
# Part of the allowed share that is used until the version is proved.
TRIAL_SHARE = 0.8
# The share stays at the trial until this time before the deadline, so that a
# version that turns bad later is seen while few requests reach it: some steps,
# the end of the requests at old servers and a lost leader take as long.
EXPANSION_SHARE = 0.4
MIN_EXPANSION_S = 6.0
MIN_TRIAL_SHARE = 0.3
# Weights after the trial, in thousandths.
# The last one before the whole leaves little to the old servers, so that hardly
# a request is refused twice by owners that have the newer table already.
EXPANSION_WEIGHTS: Final = (300, 900, software_versions.FULL_WEIGHT)
# Time at a weight before the next one, for a report, its comparison and some
# answers under more load; the next one is then seen by other owners already.
MIN_STEP_S = 0.7
FIRST_STEP_S = 1.6
# Answers below which the version is not proved, unless little time is left;
# the slack of the allowed share covers a service with so little traffic.
MIN_ANSWERS = 30
LAST_MOMENT_S = 4.5
# Time before the deadline from which the share is raised to the whole at once.
LAST_STEP_S = 2.0
# Share of the ramp for which the trial waits for servers that are still slow
# after their start.
WARM_UP_SHARE = 0.35
# A new leader waits for a round of reports.
SETTLE_S = 0.6
# Share of the slots in use that the new servers need.
MIN_SLOT_SHARE = 0.5
# Time after the deadline at which a roll-out without enough servers ends.
GIVE_UP_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A step to propose.

    Attributes:
      command: The step.
      reason: Why it is made.
      finding: How the versions compare.
      arrived: Requests that have reached the target version.
      arrived_old: Requests that have reached the version in use.
    """

    command: commands.StepRollout
    reason: str
    finding: comparison.Finding
    arrived: int
    arrived_old: int


class RolloutDirector:
    """Raises the shares of target versions, completes and rolls back.

    Args:
      exposure_share: Largest share of a service's requests that may go to a
        version that is not proved.
    """

    def __init__(self, exposure_share: float) -> None:
        self._trial_weight = int(
            exposure_share * TRIAL_SHARE * software_versions.FULL_WEIGHT
        )
        self._snapshot: snapshots.Snapshot | None = None
        self._courses: dict[str, course_lib.Course] = {}
        self._pending: set[str] = set()
        self._is_leader = False
        self._led_since = 0.0
        self._evaluate_at = 0.0

    def observe(
        self, snapshot: snapshots.Snapshot, *, is_leader: bool, now: float
    ) -> None:
        """Updates the applied state and whether this replica leads."""
        if is_leader != self._is_leader:
            self._is_leader = is_leader
            self._led_since = now
            self._courses.clear()
            self._pending.clear()
        self._snapshot = snapshot
        if not is_leader:
            return
        running = {
            rollout.service: rollout
            for rollout in snapshot.rollouts or ()
            if rollout.phase is snapshots.RolloutPhase.RUNNING
        }
        for service in set(self._courses) - set(running):
            del self._courses[service]
        if not running:
            return
        nodes = {node.node_id: node.incarnation for node in snapshot.nodes}
        for service, rollout in running.items():
            course = self._courses.get(service)
            if (
                course is None
                or course.rollout.ordered_at != rollout.ordered_at
            ):
                self._courses[service] = course_lib.Course(
                    rollout, snapshot.version, now
                )
            else:
                course.replace(rollout, snapshot.version)
                course.retain(nodes)

    def add_evidence(
        self,
        node_id: str,
        incarnation: int,
        reports: tuple[evidence_lib.Evidence, ...],
        now: float,
    ) -> None:
        """Adds what an owner reports of the versions of its servers."""
        for report in reports:
            course = self._courses.get(report.service)
            if course is not None:
                course.add(node_id, incarnation, report, now)

    def settle(self, service: str) -> None:
        """Records that a proposed step was applied or refused."""
        self._pending.discard(service)

    def tick(self, now: float) -> tuple[Step, ...]:
        """Returns the steps to propose; none for a service with a pending one.

        Each returned step is pending until `settle` is called.
        """
        if not self._is_leader or now < self._evaluate_at:
            return ()
        self._evaluate_at = now + EVALUATION_S
        steps = [
            step
            for service, course in self._courses.items()
            if service not in self._pending
            and (step := self._decide(course, now)) is not None
        ]
        self._pending.update(step.command.service for step in steps)
        return tuple(steps)

    def _decide(self, course: course_lib.Course, now: float) -> Step | None:
        assert self._snapshot is not None
        finding = _compare(course)
        if finding.verdict is comparison.Verdict.BAD:
            return _make_end(
                course,
                snapshots.RolloutPhase.ROLLED_BACK,
                f"more {finding.measure} than the version in use",
                finding,
                now,
            )
        age_s = course.compute_age(now)
        is_good = finding.verdict is comparison.Verdict.GOOD
        if age_s > course.rollout.ramp_s and not is_good:
            return _make_end(
                course,
                snapshots.RolloutPhase.ROLLED_BACK,
                "not proved by its deadline",
                finding,
                now,
            )
        if now < self._led_since + SETTLE_S or not is_good:
            return None
        if course.rollout.weight >= software_versions.FULL_WEIGHT:
            if course.list_busy(self._snapshot):
                return None
            return _make_end(
                course,
                snapshots.RolloutPhase.COMPLETED,
                "no request is at a server of the version before",
                finding,
                now,
            )
        if age_s > course.rollout.ramp_s + GIVE_UP_S:
            return _make_end(
                course,
                snapshots.RolloutPhase.ROLLED_BACK,
                "too few servers of the target version",
                finding,
                now,
            )
        return self._raise_weight(course, finding, now)

    def _raise_weight(
        self, course: course_lib.Course, finding: comparison.Finding, now: float
    ) -> Step | None:
        rollout = course.rollout
        age_s = course.compute_age(now)
        target = self._list_serving(rollout, rollout.target)
        if rollout.weight < self._trial_weight:
            if not _are_ready(target, age_s, rollout.ramp_s):
                return None
            return _make_raise(
                course, self._trial_weight, "servers are ready", finding, now
            )
        left_s = rollout.ramp_s - age_s
        if age_s < compute_trial_s(rollout.ramp_s):
            return None
        is_first = rollout.weight == EXPANSION_WEIGHTS[0]
        step_s = FIRST_STEP_S if is_first else MIN_STEP_S
        if course.compute_step_age(now) < step_s:
            return None
        answered = _count_answered(course)
        if answered < MIN_ANSWERS and left_s > LAST_MOMENT_S:
            return None
        slots = sum(server.slots for server in target)
        in_use = self._list_serving(rollout, rollout.previous)
        needed = MIN_SLOT_SHARE * sum(server.slots for server in in_use)
        if not target or slots < needed:
            return None
        weight = next(
            each
            for each in EXPANSION_WEIGHTS
            if each > rollout.weight
            and (left_s > LAST_STEP_S or each == EXPANSION_WEIGHTS[-1])
        )
        return _make_raise(course, weight, "as good so far", finding, now)

    def _list_serving(
        self, rollout: snapshots.Rollout, software: str
    ) -> list[snapshots.BackendServer]:
        assert self._snapshot is not None
        return [
            server
            for server in self._snapshot.servers
            if server.service == rollout.service
            and (server.software or "") == software
            and server.state is snapshots.ServerState.SERVING
        ]


def compute_trial_s(ramp_s: float) -> float:
    """Returns how long after the order the share is first raised.

    Args:
      ramp_s: Time from the order to its deadline, in seconds.
    """
    expansion_s = max(EXPANSION_SHARE * ramp_s, MIN_EXPANSION_S)
    return max(MIN_TRIAL_SHARE * ramp_s, ramp_s - expansion_s)


def _are_ready(
    target: list[snapshots.BackendServer], age_s: float, ramp_s: float
) -> bool:
    if not target:
        return False
    warm = sum(server.is_warm for server in target)
    enough = min(len(target), software_versions.MIN_TRIAL_SERVERS)
    return warm >= enough or age_s > WARM_UP_SHARE * ramp_s


def _compare(course: course_lib.Course) -> comparison.Finding:
    """Returns the worse one of the findings on all and on recent answers."""
    rollout = course.rollout
    findings = [
        comparison.compare(
            # At the whole share the version in use has no recent answers.
            course.list_tallies(rollout.previous, recent=False)
            if rollout.weight >= software_versions.FULL_WEIGHT
            else course.list_tallies(rollout.previous, recent=recent),
            course.list_tallies(rollout.target, recent=recent),
        )
        for recent in (False, True)
    ]
    return max(findings, key=lambda finding: finding.evidence)


def _count_answered(course: course_lib.Course) -> int:
    tallies = course.list_tallies(course.rollout.target, recent=False)
    return sum(tally.answered for each in tallies for tally in each.values())


def _make_raise(
    course: course_lib.Course,
    weight: int,
    reason: str,
    finding: comparison.Finding,
    now: float,
) -> Step:
    running = snapshots.RolloutPhase.RUNNING
    return _make_step(course, running, weight, reason, finding, now)


def _make_end(
    course: course_lib.Course,
    phase: snapshots.RolloutPhase,
    reason: str,
    finding: comparison.Finding,
    now: float,
) -> Step:
    is_done = phase is snapshots.RolloutPhase.COMPLETED
    weight = software_versions.FULL_WEIGHT if is_done else 0
    return _make_step(course, phase, weight, reason, finding, now)


def _make_step(
    course: course_lib.Course,
    phase: snapshots.RolloutPhase,
    weight: int,
    reason: str,
    finding: comparison.Finding,
    now: float,
) -> Step:
    rollout = course.rollout
    return Step(
        command=commands.StepRollout(
            service=rollout.service,
            ordered_at=rollout.ordered_at,
            phase=phase,
            weight=weight,
            elapsed_s=round(course.compute_age(now), 1),
        ),
        reason=reason,
        finding=finding,
        arrived=course.count_arrived(rollout.target),
        arrived_old=course.count_arrived(rollout.previous),
    )
