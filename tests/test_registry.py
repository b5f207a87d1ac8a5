"""Tests of the batching of joins, reports and leaves by the leader."""

import dataclasses

from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import change_batcher as batcher_lib
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh


class Log:
    """Applies each batch of a batcher at once."""

    def __init__(self) -> None:
        self.state = state_lib.make_initial_state()
        self.batcher = batcher_lib.ChangeBatcher()
        self.batcher.set_snapshot(self.state.snapshot)
        self.now = 0.0

    @property
    def snapshot(self) -> snapshots.Snapshot:
        """The applied snapshot."""
        return self.state.snapshot

    def flush(self) -> tuple[messages.JoinAccepted, ...]:
        """Advances time by a second; returns the answers to joins."""
        self.now += 1
        return self.flush_now()

    def apply_due(self) -> bool:
        """Applies the entry that is due; returns whether there was one."""
        before = self.snapshot.version
        self.flush_now()
        return self.snapshot.version > before

    def flush_now(self) -> tuple[messages.JoinAccepted, ...]:
        """Applies the entry that is due; returns the answers to its joins."""
        batch = self.batcher.flush(self.now)
        if batch is None:
            return ()
        version = self.snapshot.version + 1
        applied = state_lib.apply_command(self.state, version, batch.command)
        self.state = applied.state
        self.batcher.set_snapshot(self.snapshot)
        return self.batcher.complete(batch.ticket, version, self.now)

    def join(
        self, life: bytes, *servers: snapshots.BackendServer
    ) -> tuple[messages.JoinAccepted, ...]:
        """Joins the node n1."""
        join = messages.Join(
            node=mesh.make_node("n1"), life=life, servers=servers
        )
        answer = self.batcher.add_join(join, self.now)
        return (answer,) if answer is not None else self.flush()

    def report(
        self, incarnation: int, sequence: int, *servers: snapshots.BackendServer
    ) -> None:
        """Reports the servers of the node n1."""
        report = messages.ServerReport(
            node_id="n1",
            incarnation=incarnation,
            sequence=sequence,
            servers=servers,
        )
        self.batcher.add_report(report, self.now)
        self.flush()


def test_a_resent_join_gets_the_first_answer() -> None:
    """The same process joins once, however often it sends its join."""
    log = Log()
    (first,) = log.join(b"1")
    (again,) = log.join(b"1")
    assert first == again
    assert log.snapshot.version == first.floor == 1


def test_incarnations_rise_without_memory() -> None:
    """A new leader without any join records assigns higher incarnations."""
    log = Log()
    (first,) = log.join(b"1")
    log.batcher.reset()
    (second,) = log.join(b"2")
    log.batcher.add_removal("n1", second.incarnation, log.now)
    log.flush()
    assert not log.snapshot.nodes
    log.batcher.reset()
    (third,) = log.join(b"3")
    assert first.incarnation < second.incarnation < third.incarnation


def test_a_leave_of_an_earlier_incarnation_changes_nothing() -> None:
    """A leave or expiry of an old process does not remove the new one."""
    log = Log()
    (first,) = log.join(b"1")
    log.join(b"2")
    log.batcher.add_removal("n1", first.incarnation, log.now)
    log.flush()
    assert len(log.snapshot.nodes) == 1


def test_a_join_removes_servers_of_the_earlier_incarnation() -> None:
    """The servers of a restarted node replace those from before its restart.

    This holds whatever the incarnations of the old servers are.
    """
    log = Log()
    old = mesh.make_server("n1", incarnation=9)
    new = mesh.make_server("n1", incarnation=1)
    log.join(b"1", old)
    assert log.snapshot.servers == (old,)
    log.join(b"2", new)
    assert log.snapshot.servers == (new,)
    log.join(b"3")
    assert not log.snapshot.servers


def test_old_and_foreign_reports_change_nothing() -> None:
    """Late reports, of an old process or of other nodes are ignored."""
    log = Log()
    (first,) = log.join(b"1")
    server = mesh.make_server("n1", incarnation=2)
    log.report(first.incarnation, 5, server)
    assert log.snapshot.servers == (server,)
    draining = dataclasses.replace(server, state=snapshots.ServerState.DRAINING)
    log.report(first.incarnation, 4)
    assert log.snapshot.servers == (server,)
    log.report(first.incarnation, 3, draining)
    assert log.snapshot.servers == (server,)
    log.batcher.reset()
    log.report(first.incarnation - 1, 9)
    assert log.snapshot.servers == (server,)
    log.report(first.incarnation - 1, 10, draining)
    assert log.snapshot.servers == (server,)
    foreign = dataclasses.replace(server, server_id="n2/x", node_id="n2")
    log.report(first.incarnation, 6, server, foreign)
    assert log.snapshot.servers == (server,)


def test_joins_of_a_refused_batch_are_accepted_again() -> None:
    """After a refused batch, the process can join with a new incarnation."""
    log = Log()
    join = messages.Join(node=mesh.make_node("n1"), life=b"1")
    log.batcher.add_join(join, log.now)
    log.now += 1
    batch = log.batcher.flush(log.now)
    assert batch is not None
    log.batcher.abandon(batch.ticket)
    assert not log.batcher.complete(batch.ticket, 1, log.now)
    assert len(log.join(b"1")) == 1


def test_simultaneous_restarts_need_few_quick_entries() -> None:
    """After a pause, entries follow one another without the usual wait."""
    log = Log()
    joined_at: list[float] = []
    for number in range(batcher_lib.BURST_BATCHES):
        node = mesh.make_node(f"n{number}")
        log.batcher.add_join(messages.Join(node=node, life=b"1"), log.now)
        log.now += batcher_lib.FIRST_BATCH_S
        assert log.flush_now(), f"entry {number} is late"
        joined_at.append(log.now)
    assert joined_at[-1] < batcher_lib.BATCH_S


def test_steady_changes_cost_few_entries() -> None:
    """A node that changes all the time causes one entry each `BATCH_S`."""
    log = Log()
    log.join(b"1")
    entries = 0
    ticks = 200
    for sequence in range(ticks):
        server = mesh.make_server("n1", incarnation=sequence + 1)
        report = messages.ServerReport(
            node_id="n1",
            incarnation=1,
            sequence=sequence + 1,
            servers=(server,),
        )
        log.batcher.add_report(report, log.now)
        log.now += batcher_lib.FIRST_BATCH_S
        entries += log.apply_due()
    spent_s = ticks * batcher_lib.FIRST_BATCH_S
    allowed = batcher_lib.BURST_BATCHES + spent_s / batcher_lib.BATCH_S
    assert 0 < entries <= allowed + 1


load_tests = fixtures.collect(__name__)
