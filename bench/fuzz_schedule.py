"""Runs a seeded schedule of faults against the replica core.

A schedule crashes replicas before and after syncs, partitions the network,
loses, duplicates and delays messages, stalls disks, skews clocks, destroys
disks and replaces their replicas, and transfers leadership. Meanwhile it
proposes commands to every replica that considers itself leader. The cluster's
checks raise an error at the first violated invariant.
"""

import dataclasses
from unittest import mock

from tests import replica_cluster

from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import leadership

STEPS = 60
ELECTION_LIMIT_S = 2.0
REPAIR_LIMIT_S = 30.0
MAX_STEP_S = 0.3
MAX_SKEW_S = 100.0
CHURN_SHARE = 0.3
REPLICATION_S = 0.006
APPEND_LIMITS_BYTES = (1, 1024 * 1024)
SIZES = (3, 3, 5)
IMAGE_PERIODS = (0, 5, 20)
WEIGHTS = {
    "propose": 10,
    "crash_leaders": 4,
    "crash": 4,
    "restart": 4,
    "partition": 3,
    "heal": 2,
    "change_network": 2,
    "toggle_disk_stall": 1,
    "skew_clock": 1,
    "transfer_leadership": 1,
    "lose_disk": 1,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of a schedule.

    Attributes:
      keeps_identity: Whether a replica that lost its disk returns under its
        old identity, which the product forbids.
    """

    keeps_identity: bool = False


DEFAULTS = Options()


class Schedule:
    """Runs the schedule of one seed.

    Args:
      seed: Seed of every random choice.
      options: Faults that the schedule may inject.
    """

    def __init__(self, seed: int, options: Options) -> None:
        self._options = options
        size = SIZES[seed % len(SIZES)]
        image_every = IMAGE_PERIODS[seed // len(SIZES) % len(IMAGE_PERIODS)]
        self._cluster = replica_cluster.Cluster(
            seed=seed, size=size, image_every=image_every
        )
        self._random = self._cluster.random
        self._append_bytes = self._random.choice(APPEND_LIMITS_BYTES)
        self._proposal_count = 0
        self._lost_name = ""
        self._replacement_name = ""
        self._loss_count = 0

    def run(self) -> None:
        """Runs the schedule and its final checks.

        Raises:
          replica_cluster.InvariantError: An invariant was violated.
        """
        with mock.patch.object(
            leadership, "MAX_APPEND_BYTES", self._append_bytes
        ):
            if self._random.random() < CHURN_SHARE:
                self._run_churn()
            else:
                self._run_steps()
            self._finish_replacement()
            self._cluster.check_accepted_kept()

    def _run_churn(self) -> None:
        """Crashes each leader before its entries are replicated."""
        cluster = self._cluster
        cluster.faults = replica_cluster.Faults(
            loss=self._random.choice((0.0, 0.2)),
            delay_s=REPLICATION_S,
            sync_s=REPLICATION_S / 2,
        )
        for _ in range(STEPS):
            cluster.run_until(
                lambda: bool(self._find_leaders()),
                limit_s=ELECTION_LIMIT_S,
                must=False,
            )
            if self._random.random() < 0.7:
                self._propose()
            cluster.run(self._random.random() * 3 * REPLICATION_S)
            for name in self._find_leaders():
                cluster.crash(name, synced=self._random.randint(0, 3))
            self._restart()

    def _find_leaders(self) -> list[str]:
        return [
            name
            for name, host in self._cluster.hosts.items()
            if host.replica and host.replica.role is events.Role.LEADER
        ]

    def _run_steps(self) -> None:
        self._cluster.manage_members()
        names = list(WEIGHTS)
        weights = list(WEIGHTS.values())
        for _ in range(STEPS):
            (name,) = self._random.choices(names, weights)
            getattr(self, f"_{name}")()
            self._cluster.run(self._random.random() ** 2 * MAX_STEP_S)

    def _propose(self) -> None:
        for name in self._find_leaders():
            for _ in range(self._random.randint(1, 3)):
                self._proposal_count += 1
                self._cluster.propose(name, f"p{self._proposal_count}".encode())

    def _crash_leaders(self) -> None:
        """Crashes leaders while their newest entries are being replicated."""
        self._propose()
        self._cluster.run(self._random.random() * REPLICATION_S)
        for name in self._find_leaders():
            self._cluster.crash(name, synced=self._random.randint(0, 3))

    def _crash(self) -> None:
        running = self._list_running()
        if not running:
            return
        count = 1
        if self._random.random() < 0.15:
            count = len(running)
        for name in self._random.sample(running, count):
            synced = self._random.randint(0, 3)
            self._cluster.crash(name, synced=synced)

    def _restart(self) -> None:
        stopped = [n for n, h in self._cluster.hosts.items() if not h.replica]
        for name in stopped:
            if self._random.random() < 0.7:
                self._cluster.restart(name)

    def _partition(self) -> None:
        names = list(self._cluster.hosts)
        self._random.shuffle(names)
        cut = self._random.randint(1, len(names) - 1)
        self._cluster.partition(tuple(names[:cut]))

    def _heal(self) -> None:
        self._cluster.heal()

    def _change_network(self) -> None:
        self._cluster.faults = replica_cluster.Faults(
            loss=self._random.choice((0.0, 0.1, 0.3)),
            duplication=self._random.choice((0.0, 0.2)),
            delay_s=self._random.choice((0.002, 0.05, 0.4)),
            sync_s=self._random.choice((0.001, 0.02, 0.1)),
        )

    def _toggle_disk_stall(self) -> None:
        host = self._random.choice(list(self._cluster.hosts.values()))
        host.is_stuck = not host.is_stuck

    def _skew_clock(self) -> None:
        host = self._random.choice(list(self._cluster.hosts.values()))
        host.skew_s += self._random.uniform(-MAX_SKEW_S, MAX_SKEW_S)

    def _transfer_leadership(self) -> None:
        for name in self._list_running():
            self._cluster.step(name, events.TransferLeadership())

    def _lose_disk(self) -> None:
        if self._options.keeps_identity:
            self._restart_without_disk()
        elif self._is_replaced():
            self._destroy_disk()
        self._propose_replacement()

    def _restart_without_disk(self) -> None:
        name = self._random.choice(list(self._cluster.hosts))
        self._cluster.crash(name)
        self._cluster.wipe(name)
        self._cluster.restart(name)

    def _is_replaced(self) -> bool:
        members = self._cluster.find_committed_members()
        voters = members.list_voters()
        return (
            self._lost_name not in voters
            and len(voters) == len(members.members)
            and (not self._replacement_name or self._replacement_name in voters)
        )

    def _destroy_disk(self) -> None:
        voters = self._cluster.find_committed_members().list_voters()
        self._lost_name = self._random.choice(voters)
        self._loss_count += 1
        self._replacement_name = f"n{self._loss_count}"
        self._cluster.destroy(self._lost_name)
        self._replacement = dataclasses.replace(
            self._cluster.add_host(self._replacement_name),
            is_voter=False,
            replaces=self._lost_name,
        )

    def _propose_replacement(self) -> None:
        """Proposes the replacement until accepted, as an operator would."""
        leader = self._cluster.find_leader()
        if not self._lost_name or not leader:
            return
        members = self._cluster.get(leader).members
        if members.find(self._replacement_name) is None:
            self._cluster.change_members(leader, members.put(self._replacement))

    def _finish_replacement(self) -> None:
        self._cluster.heal()
        for name, host in self._cluster.hosts.items():
            if host.replica is None:
                self._cluster.restart(name)
        end = self._cluster.now + REPAIR_LIMIT_S
        while self._lost_name and not self._is_replaced():
            if self._cluster.now > end:
                raise AssertionError(f"{self._lost_name} was not replaced")
            self._cluster.wait_for_leader()
            self._propose_replacement()
            self._cluster.run(MAX_STEP_S)

    def _list_running(self) -> list[str]:
        return [n for n, host in self._cluster.hosts.items() if host.replica]
