"""Tests of the shard assignment by the leader."""

from collections.abc import Callable

from lovagesaddle.control import ports
from lovagesaddle.control import shard_assigner
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.model import stamps
from lovagesaddle.core.routing import shard_plan
from tests import fixtures


class _FakeReplica(ports.ReplicaPort):
    """Applies or refuses every proposed command at once."""

    def __init__(self) -> None:
        self.state = state_lib.make_initial_state()
        self.is_leader = True
        self.proposed = 0
        self.refuses = False

    def view(self) -> ports.ClusterView:
        """See base class."""
        return ports.ClusterView(
            state=self.state,
            hashed=delta.hash_snapshot(self.state.snapshot),
            is_leader=self.is_leader,
            leader_id="r1",
            stamp=stamps.LeaderStamp(term=1, counter=1),
            stamp_age_s=0.0,
        )

    def propose(
        self,
        command: commands.Command,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """See base class."""
        self.proposed += 1
        if self.refuses:
            on_refused("lost leadership")
            return
        version = self.state.snapshot.version + 1
        self.state = state_lib.apply_command(self.state, version, command).state
        on_applied(version)

    def join(self, *names: str, incarnation: int = 1) -> None:
        """Adds nodes, each in a failure domain of its own."""
        nodes = tuple(
            snapshots.Node(
                node_id=name,
                incarnation=incarnation,
                failure_domain=f"domain-{name}",
                region="r",
                http_address="",
                control_address="",
                public_key="",
            )
            for name in names
        )
        version = self.state.snapshot.version + 1
        command = commands.ChangeMembership(nodes=nodes)
        self.state = state_lib.apply_command(self.state, version, command).state


def _advance_time(
    assigner: shard_assigner.ShardAssigner,
    replica: _FakeReplica,
    start: int,
    end: int,
) -> None:
    for second in range(start, end):
        assigner.tick(float(second))
        assigner.observe(replica.view(), float(second))


def test_every_shard_gets_three_holders() -> None:
    """Each shard of a mesh of four nodes has three different holders."""
    replica = _FakeReplica()
    replica.join("a", "b", "c", "d")
    assigner = shard_assigner.ShardAssigner(replica)
    assigner.observe(replica.view(), 0.0)
    _advance_time(assigner, replica, 1, 10)
    assigned = replica.state.snapshot.shards
    assert len(assigned) == shard_plan.SHARD_COUNT
    assert all(len(set(shard.holders)) == 3 for shard in assigned)
    proposed = replica.proposed
    _advance_time(assigner, replica, 10, 30)
    assert replica.proposed == proposed


def test_changed_shard_is_left_alone_until_it_settled() -> None:
    """A shard is not reassigned again within its settling time.

    A holder that restarts twice is replaced one epoch at a time.
    """
    replica = _FakeReplica()
    replica.join("a", "b", "c")
    assigner = shard_assigner.ShardAssigner(replica)
    assigner.observe(replica.view(), 0.0)
    _advance_time(assigner, replica, 1, 20)
    replica.join("c", incarnation=2)
    assigner.observe(replica.view(), 20.0)
    _advance_time(assigner, replica, 20, 24)
    epochs = {shard.epoch for shard in replica.state.snapshot.shards}
    assert epochs == {2}
    replica.join("c", incarnation=3)
    assigner.observe(replica.view(), 24.0)
    _advance_time(assigner, replica, 24, 25)
    epochs = {shard.epoch for shard in replica.state.snapshot.shards}
    assert epochs == {2}
    _advance_time(assigner, replica, 25, 40)
    epochs = {shard.epoch for shard in replica.state.snapshot.shards}
    assert epochs == {3}


def test_follower_assigns_nothing() -> None:
    """Only a leader proposes, and a refused proposal is made again."""
    replica = _FakeReplica()
    replica.join("a", "b", "c")
    replica.is_leader = False
    assigner = shard_assigner.ShardAssigner(replica)
    assigner.observe(replica.view(), 0.0)
    _advance_time(assigner, replica, 1, 5)
    assert replica.proposed == 0
    replica.is_leader = True
    replica.refuses = True
    _advance_time(assigner, replica, 5, 8)
    assert replica.proposed == 2
    replica.refuses = False
    _advance_time(assigner, replica, 8, 15)
    assert len(replica.state.snapshot.shards) == shard_plan.SHARD_COUNT


load_tests = fixtures.collect(__name__)
