"""The leader's registry: batches joins, changes and leaves into entries."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots

# Lets requests that arrive together share an entry.
FIRST_BATCH_S = 0.05
# Each entry costs every node a delta, so they are few in the long run.
BATCH_S = 0.3
# A restarted node needs an entry for its join and one for its server, and
# nodes that come back together do not all ask at the same moment.
BURST_BATCHES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinRecord:
    """A join that was taken.

    Attributes:
      life: Random number of the process.
      incarnation: Assigned to it.
      floor: Version of its entry; 0 while it is not applied.
    """

    life: bytes
    incarnation: int
    floor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """One entry on its way into the log.

    Attributes:
      ticket: Number of the batch, counted from 1.
      command: The entry.
      joined: Node IDs whose join it holds.
    """

    ticket: int
    command: commands.ChangeMembership
    joined: tuple[str, ...]


class ChangeBatcher:
    """Collects what nodes ask and turns it into few entries.

    It keeps nothing that the nodes do not ask again: what a lost leader had
    not put into the log yet is asked of the next one.
    """

    def __init__(self) -> None:
        self._snapshot: snapshots.Snapshot | None = None
        self._ticket = 0
        self._limiter = rate_limiter.RateLimiter(
            rate=1 / BATCH_S, burst=BURST_BATCHES
        )
        self.reset()

    def reset(self) -> None:
        """Forgets what was asked, when this replica begins or stops leading."""
        self._join_records: dict[str, JoinRecord] = {}
        self._joins: dict[str, messages.Join] = {}
        self._reports: dict[str, messages.ServerReport] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self._gone: dict[str, int] = {}
        self._in_flight: Batch | None = None
        self._flush_at: float | None = None

    def set_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Takes a newly applied version."""
        self._snapshot = snapshot

    def add_join(
        self, join: messages.Join, now: float
    ) -> messages.JoinAccepted | None:
        """Takes a join; returns the answer if it stands already."""
        node_id = join.node.node_id
        known = self._join_records.get(node_id)
        if known is not None and known.life == join.life:
            listed = self._get_listed_node(node_id)
            if not known.floor or node_id in self._joins:
                return None
            if listed is not None and listed.incarnation == known.incarnation:
                return _make_answer(node_id, known)
        self._joins[node_id] = join
        self._reports.pop(node_id, None)
        self._join_records[node_id] = JoinRecord(
            life=join.life,
            incarnation=self._assign_incarnation(node_id),
            floor=0,
        )
        self._schedule(now)
        return None

    def add_report(self, report: messages.ServerReport, now: float) -> None:
        """Takes a node's list of servers, unless a newer one came before."""
        last = self._sequences.get(report.node_id, (0, 0))
        if (report.incarnation, report.sequence) <= last:
            return
        self._sequences[report.node_id] = (report.incarnation, report.sequence)
        self._reports[report.node_id] = report
        self._schedule(now)

    def add_removal(self, node_id: str, incarnation: int, now: float) -> None:
        """Takes the leave or the expiry of one life of a node."""
        held = max(incarnation, self._gone.get(node_id, 0))
        self._gone[node_id] = held
        self._schedule(now)

    def flush(self, now: float) -> Batch | None:
        """Returns the next entry to propose, when one is due."""
        if self._in_flight is not None or self._snapshot is None:
            return None
        if self._flush_at is None or now < self._flush_at:
            return None
        wait_s = self._limiter.acquire(now)
        if wait_s:
            self._flush_at = now + wait_s
            return None
        self._flush_at = None
        self._prune(self._snapshot)
        self._in_flight = self._make_batch(self._snapshot)
        return self._in_flight

    def complete(
        self, ticket: int, version: int, now: float
    ) -> tuple[messages.JoinAccepted, ...]:
        """Takes the version of an applied batch; returns answers to joins."""
        batch = self._end_batch(ticket)
        if batch is None:
            return ()
        answers: list[messages.JoinAccepted] = []
        for node_id in batch.joined:
            life = dataclasses.replace(
                self._join_records[node_id], floor=version
            )
            self._join_records[node_id] = life
            answers.append(_make_answer(node_id, life))
        if self._joins or self._reports or self._gone:
            self._schedule(now)
        return tuple(answers)

    def abandon(self, ticket: int) -> None:
        """Forgets a batch that was refused or is in doubt; nodes ask again."""
        batch = self._end_batch(ticket)
        for node_id in batch.joined if batch is not None else ():
            self._join_records.pop(node_id, None)

    def _end_batch(self, ticket: int) -> Batch | None:
        batch = self._in_flight
        if batch is None or batch.ticket != ticket:
            return None
        self._in_flight = None
        return batch

    def _prune(self, snapshot: snapshots.Snapshot) -> None:
        listed = {node.node_id for node in snapshot.nodes}
        for node_id in set(self._join_records) - listed - set(self._joins):
            del self._join_records[node_id]
        for node_id in set(self._sequences) - listed:
            del self._sequences[node_id]

    def _schedule(self, now: float) -> None:
        if self._flush_at is None:
            self._flush_at = now + FIRST_BATCH_S

    def _assign_incarnation(self, node_id: str) -> int:
        assert self._snapshot is not None
        listed = self._get_listed_node(node_id)
        held = listed.incarnation if listed is not None else 0
        known = self._join_records.get(node_id)
        pending = known.incarnation if known is not None else 0
        return max(held, pending, self._snapshot.version) + 1

    def _make_batch(self, snapshot: snapshots.Snapshot) -> Batch | None:
        joins, self._joins = self._joins, {}
        reports, self._reports = self._reports, {}
        gone, self._gone = self._gone, {}
        listed = {node.node_id: node for node in snapshot.nodes}
        lists = {node_id: join.servers for node_id, join in joins.items()}
        for node_id, report in reports.items():
            node = listed.get(node_id)
            if node is not None and node.incarnation == report.incarnation:
                lists.setdefault(node_id, report.servers)
        changed, removed = diff_servers(snapshot, lists)
        command = commands.ChangeMembership(
            nodes=tuple(
                dataclasses.replace(
                    joins[node_id].node,
                    incarnation=self._join_records[node_id].incarnation,
                )
                for node_id in sorted(joins)
            ),
            servers=changed,
            gone_nodes=tuple(
                commands.Incarnation(member_id=node_id, incarnation=number)
                for node_id, number in sorted(gone.items())
                if node_id in listed and listed[node_id].incarnation <= number
            ),
            gone_servers=removed,
        )
        if command == commands.ChangeMembership():
            return None
        self._ticket += 1
        return Batch(
            ticket=self._ticket, command=command, joined=tuple(sorted(joins))
        )

    def _get_listed_node(self, node_id: str) -> snapshots.Node | None:
        assert self._snapshot is not None
        for node in self._snapshot.nodes:
            if node.node_id == node_id:
                return node
        return None


def diff_servers(
    snapshot: snapshots.Snapshot,
    lists: dict[str, tuple[snapshots.BackendServer, ...]],
) -> tuple[
    tuple[snapshots.BackendServer, ...], tuple[commands.Incarnation, ...]
]:
    """Returns what makes the snapshot show the given lists.

    Args:
      snapshot: What stands now.
      lists: Node ID to the complete list of its servers.

    Returns:
      Servers to put, and servers to remove before that. A held server with a
      higher incarnation than the listed one is of an earlier life of its
      node, so it is removed first.
    """
    held = {
        server.server_id: server
        for server in snapshot.servers
        if server.node_id in lists
    }
    changed: list[snapshots.BackendServer] = []
    removed: list[commands.Incarnation] = []
    for node_id in sorted(lists):
        for server in lists[node_id]:
            old = held.pop(server.server_id, None)
            if old == server or server.node_id != node_id:
                continue
            changed.append(server)
            if old is not None and old.incarnation > server.incarnation:
                removed.append(_name_life(old))
    removed.extend(_name_life(server) for server in held.values())
    return tuple(changed), tuple(removed)


def _make_answer(node_id: str, life: JoinRecord) -> messages.JoinAccepted:
    return messages.JoinAccepted(
        node_id=node_id,
        life=life.life,
        incarnation=life.incarnation,
        floor=life.floor,
    )


def _name_life(server: snapshots.BackendServer) -> commands.Incarnation:
    return commands.Incarnation(
        member_id=delta.get_item_key(server), incarnation=server.incarnation
    )
