"""Tests of the leader's registry of nodes and backend servers."""

import dataclasses

from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.membership import change_batcher as batcher_lib
from lovagesaddle.core.model import snapshots
from tests import fixtures
from tests import mesh


class Log:
    """Applies each batch of a registry at once."""

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
        """Lets a second pass and returns the joins that were answered."""
        self.now += 1
        return self.flush_now()

    def apply_due(self) -> bool:
        """Returns whether an entry was due; it is applied."""
        before = self.snapshot.version
        self.flush_now()
        return self.snapshot.version > before

    def flush_now(self) -> tuple[messages.JoinAccepted, ...]:
        """Applies the entry that is due; returns the joins it answers."""
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
    """The same process joins once, however often it asks."""
    log = Log()
    (first,) = log.join(b"1")
    (again,) = log.join(b"1")
    assert first == again
    assert log.snapshot.version == first.floor == 1


def test_incarnations_rise_without_memory() -> None:
    """A new leader that knows no lives assigns a higher incarnation."""
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


def test_a_leave_of_a_past_life_changes_nothing() -> None:
    """An old leave or expiry does not take the new process out."""
    log = Log()
    (first,) = log.join(b"1")
    log.join(b"2")
    log.batcher.add_removal("n1", first.incarnation, log.now)
    log.flush()
    assert len(log.snapshot.nodes) == 1


def test_servers_of_a_past_life_are_gone_with_the_join() -> None:
    """A restarted node shows its own servers only, whatever their number."""
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
    """Reports that are late, of a past life or of others are passed over."""
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


def test_a_refused_batch_is_asked_again() -> None:
    """After a batch in doubt the same process can join with a new number."""
    log = Log()
    join = messages.Join(node=mesh.make_node("n1"), life=b"1")
    log.batcher.add_join(join, log.now)
    log.now += 1
    batch = log.batcher.flush(log.now)
    assert batch is not None
    log.batcher.abandon(batch.ticket)
    assert not log.batcher.complete(batch.ticket, 1, log.now)
    assert len(log.join(b"1")) == 1


def test_herd_that_returns_is_taken_in_a_few_quick_entries() -> None:
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
