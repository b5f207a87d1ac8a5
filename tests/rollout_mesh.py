"""A mesh whose servers of two versions run requests, in virtual time."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lovagesaddle.control import state_images
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import director as director_lib
from lovagesaddle.core.rollouts import owner_counts
from lovagesaddle.core.rollouts import software_versions
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.core.routing import version_choice
from tests import mesh as mesh_lib

SERVICE = "orderdesk"
OLD, NEW = "v1", "v2"
ROUTES = ("read", "write", "search")
SERVERS_EACH = 10
REQUESTS_PER_S = 200
WORK_S = 0.1
SLOTS = 4
TICK_S = 0.05
REPORT_S = 0.4
ROLLBACK_S = 5.0
LEASE_S = 3.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_LIMIT = 50
MOVES = 3
ELECTION_S = 1.5
OUTAGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """How the answers of a bad version differ.

    Attributes:
      failing: Share of answers that are failures.
      slower: Factor of the run time of the share `slow` of the answers.
      slow: Share of answers that are slower.
      starts_s: Time after the order from which it shows, in seconds.
      route: Route on which it shows; empty for all.
      busy: Requests running at a server from which it shows.
    """

    failing: float = 0.0
    slower: float = 1.0
    slow: float = 0.0
    starts_s: float = 0.0
    route: str = ""
    busy: int = 0


@dataclasses.dataclass(slots=True)
class Owner:
    """A node with its server."""

    server: snapshots.BackendServer
    counts: owner_counts.OwnerCounts
    table: table_lib.Table | None = None
    running: int = 0
    report_at: float = 0.0
    slowdown: float = 1.0


class RolloutMesh:
    """Runs one roll-out; the figures of the rules are attributes.

    Attributes:
      total: Requests that reached servers between order and deadline.
      exposed: Those of them at servers of the new version.
      bad_at: When each bad answer was given.
      last_new: When the last request was sent to the new version.
      failed_at: When each request was refused by all servers that it tried.
      breaches: Requests that ran where no order allowed it.
      ended_at: When the order ended; None while it runs.
    """

    def __init__(self, seed: int, fault: Fault, ramp_s: float = 12.0) -> None:
        self.random = random.Random(seed)
        self.fault = fault
        self.ramp_s = ramp_s
        self.mesh = mesh_lib.Mesh()
        self.mesh.on_evidence = self._take_evidence
        self.directors = self._make_directors()
        self.owners: dict[str, Owner] = {}
        self._tables: dict[int, table_lib.Table] = {}
        self._ends: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.total = self.exposed = 0
        self.failed_at: list[float] = []
        self.bad_at: list[float] = []
        self.last_new = 0.0
        self.breaches: list[str] = []
        self.ordered_at = float("inf")
        self.ended_at: float | None = None
        self.load = 1.0
        self._start()

    @property
    def rollout(self) -> snapshots.Rollout:
        """The newest roll-out."""
        found = software_versions.find_rollout(
            self.mesh.state.snapshot, SERVICE
        )
        assert found is not None
        return found

    def order(self) -> None:
        """Orders the roll-out."""
        self.mesh.commit(
            commands.StartRollout(
                service=SERVICE, target=NEW, ramp_s=self.ramp_s
            )
        )
        self.ordered_at = self.mesh.now

    def run(self, seconds: float) -> None:
        """Advances the time while requests come."""
        end = self.mesh.now + seconds
        while self.mesh.now < end:
            self.mesh.run(TICK_S, TICK_S)
            now = self.mesh.now
            while self._ends and self._ends[0][0] <= now:
                heapq.heappop(self._ends)[2]()
            for node_id, owner in self.owners.items():
                self._tick_owner(node_id, owner, now)
            self._tick_directors(now)
            due = REQUESTS_PER_S * TICK_S * self.load
            for _ in range(int(due + self.random.random())):
                self._send(now)

    def lose_leader(self) -> None:
        """Cuts the leader off; another one is elected after a while."""
        self.mesh.isolate_replica(self.mesh.leader_id)
        self.mesh.leader_id = "none"
        self.run(ELECTION_S)
        self.mesh.leader_id = "r1"

    def lose_power(self) -> None:
        """Restarts every process with what the disks hold."""
        stored = state_images.encode_state(self.mesh.state)
        names = tuple(self.owners)
        for node_id in names:
            self.mesh.kill(node_id)
        self._ends.clear()
        for replica_id in self.mesh.replicas:
            self.mesh.replicas[replica_id] = mesh_lib.Replica(
                replica_id, mesh_lib.HEARTBEAT_S
            )
        self.mesh.state = state_images.decode_state(stored)
        self.mesh._hashed = state_lib.rehash_state(
            state_lib.make_initial_snapshot(), self.mesh.state
        )
        self.directors = self._make_directors()
        self.mesh.run(OUTAGE_S)
        for node_id in names:
            software = self.owners[node_id].server.software or ""
            domain = node_id[0]
            self._add_owner(node_id, domain, software)

    def _start(self) -> None:
        self.mesh.publish(SERVICE)
        for number in range(SERVERS_EACH):
            self._add_owner(f"a{number}", "a" if number % 2 else "b", OLD)
        self.mesh.run(3.0)
        self.run(1.0)
        for number in range(SERVERS_EACH):
            self._add_owner(f"b{number}", "a" if number % 2 else "b", NEW)
        self.run(4.0)

    def _make_directors(self) -> dict[str, director_lib.RolloutDirector]:
        return {
            replica_id: director_lib.RolloutDirector(EXPOSURE_SHARE)
            for replica_id in self.mesh.replicas
        }

    def _add_owner(self, node_id: str, domain: str, software: str) -> None:
        self.mesh.add_node(node_id, domain)
        server = dataclasses.replace(
            mesh_lib.make_server(node_id, int(self.mesh.now * 1000)),
            slots=SLOTS,
            software=software,
            is_warm=True,
        )
        counts = owner_counts.OwnerCounts(LEASE_S)
        counts.add_server(server)
        self.owners[node_id] = Owner(server=server, counts=counts)
        self.mesh.step(node_id, events.ServerAnnounced(server=server))

    def _take_evidence(
        self, replica_id: str, report: messages.RolloutReport
    ) -> None:
        self.directors[replica_id].add_evidence(
            report.node_id, report.incarnation, report.versions, self.mesh.now
        )

    def _tick_directors(self, now: float) -> None:
        for replica_id, director in self.directors.items():
            director.observe(
                self.mesh.state.snapshot,
                is_leader=replica_id == self.mesh.leader_id,
                now=now,
            )
            for step in director.tick(now):
                self._commit(step.command, now)
                director.settle(step.command.service)

    def _commit(self, command: commands.StepRollout, now: float) -> None:
        self.mesh.commit(command)
        if command.phase is not snapshots.RolloutPhase.RUNNING:
            self.ended_at = now
        if command.phase is snapshots.RolloutPhase.COMPLETED:
            self.breaches += [
                f"{node_id} runs {owner.running} at completion"
                for node_id, owner in self.owners.items()
                if owner.running and owner.server.software == OLD
            ]

    def _tick_owner(self, node_id: str, owner: Owner, now: float) -> None:
        member = self.mesh.nodes[node_id]
        if member.installed:
            hashed = member.installed[-1]
            if owner.table is None or owner.table.version < hashed.version:
                if hashed.version not in self._tables:
                    self._tables[hashed.version] = table_lib.Table(
                        hashed.snapshot
                    )
                owner.table = self._tables[hashed.version]
                owner.counts.install(
                    hashed.snapshot.rollouts or (), hashed.version, now
                )
                owner.report_at = now
        if owner.counts.is_reporting and now >= owner.report_at:
            owner.report_at = now + REPORT_S
            self.mesh.step(
                node_id,
                events.EvidenceCounted(versions=owner.counts.make_reports(now)),
            )

    def _send(self, now: float) -> None:
        """Sends one request from a random node, which moves if refused."""
        route = self.random.choice(ROUTES)
        entry = self.random.choice(tuple(self.owners))
        tried: set[str] = set()
        for _ in range(MOVES):
            table = self.owners[entry].table
            if table is None:
                break
            candidates = [
                each
                for each in version_choice.choose_version(
                    table.list_candidates(SERVICE),
                    table.find_incoming_weight(SERVICE),
                    frozenset(tried),
                    self.random.random(),
                )
                if each.server_id not in tried
            ]
            if not candidates:
                break
            picked = min(
                self.random.sample(candidates, min(2, len(candidates))),
                key=lambda each: self.owners[each.node_id].running,
            )
            tried.add(picked.server_id)
            if self._accept(self.owners[picked.node_id], route, now):
                return
        self.failed_at.append(now)

    def _accept(self, owner: Owner, route: str, now: float) -> bool:
        proved_at = self.mesh.nodes[owner.server.node_id].current_at
        age_s = None if proved_at is None else now - proved_at
        if not owner.counts.enter(owner.server, age_s):
            return False
        owner.counts.count_sent(owner.server)
        owner.running += 1
        is_new = owner.server.software == NEW
        self._count(now, is_new=is_new)
        fault = self.fault
        is_bad = (
            is_new
            and now >= self.ordered_at + fault.starts_s
            and fault.route in ("", route)
            and owner.running >= fault.busy
        )
        run_s = WORK_S * self.random.uniform(0.6, 1.6) * owner.slowdown
        run_s *= max(1.0, owner.running / SLOTS)
        fails = is_bad and self.random.random() < fault.failing
        if is_bad and self.random.random() < fault.slow:
            run_s *= fault.slower

        def end() -> None:
            owner.running -= 1
            owner.counts.count_answer(owner.server, route, run_s, failed=fails)
            owner.counts.leave(owner.server)
            if is_bad and (fails or run_s > 2.5 * WORK_S):
                self.bad_at.append(now + run_s)

        heapq.heappush(self._ends, (now + run_s, next(self._order), end))
        return True

    def _count(self, now: float, *, is_new: bool) -> None:
        if is_new:
            self.last_new = now
        rollout = self.rollout
        is_done = rollout.phase is snapshots.RolloutPhase.COMPLETED
        if is_new and self.ordered_at > now:
            self.breaches.append("the new version ran before the order")
        if not is_new and is_done and rollout.target == NEW:
            self.breaches.append("the old version ran after completion")
        if self.ordered_at <= now <= self.ordered_at + self.ramp_s:
            self.total += 1
            self.exposed += is_new
