"""Batches joins, server reports and leaves into log entries, as the leader."""

import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots

# Time for which the first request waits, so that requests that arrive together
# share a log entry.
FIRST_BATCH_S = 0.05
# Average interval between log entries in the long run. Each log entry sends a
# delta to every node, so there should be few entries.
BATCH_S = 0.3
# Number of log entries that may follow one another without the interval
# `BATCH_S`. A restarted node needs one log entry for its join and one for its
# server, and nodes that restart together do not all send their joins at the
# same moment.
BURST_BATCHES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinRecord:
    """Newest join of a node and the incarnation assigned to it.

    Attributes:
      life: Random bytes that identify this start of the process.
      incarnation: Incarnation assigned to this start of the process.
      floor: Version of the entry with the join; 0 until it is applied.
    """

    life: bytes
    incarnation: int
    floor: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """A proposed log entry that is not yet applied or refused.

    Attributes:
      ticket: Number of the batch, counted from 1.
      command: Content of the entry.
      joined: IDs of the nodes that join with it.
    """

    ticket: int
    command: commands.ChangeMembership
    joined: tuple[str, ...]


class ChangeBatcher:
    """Collects the requests of nodes and combines them into few log entries.

    Nothing here needs to be stored, since nodes resend: requests that a failed
    leader had not yet put into the log are sent again to its successor.
    """

    def __init__(self) -> None:
        self._snapshot: snapshots.Snapshot | None = None
        self._ticket = 0
        self._limiter = rate_limiter.RateLimiter(
            rate=1 / BATCH_S, burst=BURST_BATCHES
        )
        self.reset()

    def reset(self) -> None:
        """Drops all requests, when this replica starts or stops leading."""
        self._join_records: dict[str, JoinRecord] = {}
        self._joins: dict[str, messages.Join] = {}
        self._reports: dict[str, messages.ServerReport] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self._removals: dict[str, int] = {}
        self._in_flight: Batch | None = None
        self._flush_at: float | None = None

    def set_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Sets the newest applied snapshot."""
        self._snapshot = snapshot

    def add_join(
        self, join: messages.Join, now: float
    ) -> messages.JoinAccepted | None:
        """Adds a join; returns the answer if this join is already applied."""
        node_id = join.node.node_id
        record = self._join_records.get(node_id)
        if record is not None and record.life == join.life:
            listed = self._get_listed_node(node_id)
            if not record.floor or node_id in self._joins:
                return None
            if listed is not None and listed.incarnation == record.incarnation:
                return _make_answer(node_id, record)
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
        """Adds a node's servers, unless a newer list was added before."""
        last = self._sequences.get(report.node_id, (0, 0))
        if (report.incarnation, report.sequence) <= last:
            return
        self._sequences[report.node_id] = (report.incarnation, report.sequence)
        self._reports[report.node_id] = report
        self._schedule(now)

    def add_removal(self, node_id: str, incarnation: int, now: float) -> None:
        """Adds the leave or the expiry of an incarnation of a node."""
        highest = max(incarnation, self._removals.get(node_id, 0))
        self._removals[node_id] = highest
        self._schedule(now)

    def flush(self, now: float) -> Batch | None:
        """Returns the next entry to propose; None while none is due."""
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
        """Records an applied batch; returns the answers to its joins."""
        batch = self._pop_in_flight(ticket)
        if batch is None:
            return ()
        answers: list[messages.JoinAccepted] = []
        for node_id in batch.joined:
            record = dataclasses.replace(
                self._join_records[node_id], floor=version
            )
            self._join_records[node_id] = record
            answers.append(_make_answer(node_id, record))
        if self._joins or self._reports or self._removals:
            self._schedule(now)
        return tuple(answers)

    def abandon(self, ticket: int) -> None:
        """Drops a batch that was refused or whose outcome is unknown.

        Its nodes send their requests again.
        """
        batch = self._pop_in_flight(ticket)
        for node_id in batch.joined if batch is not None else ():
            self._join_records.pop(node_id, None)

    def _pop_in_flight(self, ticket: int) -> Batch | None:
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
        applied = listed.incarnation if listed is not None else 0
        record = self._join_records.get(node_id)
        pending = record.incarnation if record is not None else 0
        return max(applied, pending, self._snapshot.version) + 1

    def _make_batch(self, snapshot: snapshots.Snapshot) -> Batch | None:
        joins, self._joins = self._joins, {}
        reports, self._reports = self._reports, {}
        removals, self._removals = self._removals, {}
        listed = {node.node_id: node for node in snapshot.nodes}
        server_lists = {
            node_id: join.servers for node_id, join in joins.items()
        }
        for node_id, report in reports.items():
            node = listed.get(node_id)
            if node is not None and node.incarnation == report.incarnation:
                server_lists.setdefault(node_id, report.servers)
        changed, removed = diff_servers(snapshot, server_lists)
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
                for node_id, number in sorted(removals.items())
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
    server_lists: dict[str, tuple[snapshots.BackendServer, ...]],
) -> tuple[
    tuple[snapshots.BackendServer, ...], tuple[commands.Incarnation, ...]
]:
    """Returns the changes that make the snapshot match the given lists.

    Args:
      snapshot: The newest applied snapshot.
      server_lists: Node ID to the complete list of its servers.

    Returns:
      Servers to put, and servers to remove before that. A server of the
      snapshot with a higher incarnation than the listed one was reported
      before its node restarted, so it is removed first.
    """
    unlisted = {
        server.server_id: server
        for server in snapshot.servers
        if server.node_id in server_lists
    }
    changed: list[snapshots.BackendServer] = []
    removed: list[commands.Incarnation] = []
    for node_id in sorted(server_lists):
        for server in server_lists[node_id]:
            old = unlisted.pop(server.server_id, None)
            if old == server or server.node_id != node_id:
                continue
            changed.append(server)
            if old is not None and old.incarnation > server.incarnation:
                removed.append(_make_incarnation(old))
    removed.extend(_make_incarnation(server) for server in unlisted.values())
    return tuple(changed), tuple(removed)


def _make_answer(node_id: str, record: JoinRecord) -> messages.JoinAccepted:
    return messages.JoinAccepted(
        node_id=node_id,
        life=record.life,
        incarnation=record.incarnation,
        floor=record.floor,
    )


def _make_incarnation(server: snapshots.BackendServer) -> commands.Incarnation:
    return commands.Incarnation(
        member_id=delta.get_item_key(server), incarnation=server.incarnation
    )
