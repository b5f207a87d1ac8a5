"""Tests of keys that are taken away, in touch with control or not."""

import dataclasses
import math

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import account_keys
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.core.routing import table_age
from tests import fixtures
from tests import mesh as mesh_lib
from tests import replica_cluster

BOUND_S = 5.0
IN_FORCE_S = 2.0
# Callers are owed nothing once a VM has been cut off for this share of it.
SERVED_SHARE = 0.6
KEY = "2thhkmgjqnirth5mgjy5"
REPLICAS = 5
NODES = 12
PARSED = account_keys.parse_header(f"Token {KEY}")


@dataclasses.dataclass(slots=True)
class _Entry:
    """What the entry of one node decides by, as its program holds it."""

    age: table_age.TableAge
    served_until: float = -math.inf
    back_at: float = math.inf


class _Calls:
    """Sends a request with the key to every node at every step of time."""

    def __init__(self) -> None:
        self.mesh = mesh_lib.Mesh(replica_count=REPLICAS, is_paced=True)
        self.mesh.add_nodes(NODES)
        self._publish(PARSED.digest)
        self.mesh.run(4)
        self.mesh.run_until_converged()
        self.acknowledged_at = math.inf
        self.entries = {
            name: _Entry(table_age.TableAge(IN_FORCE_S, BOUND_S))
            for name in self.mesh.nodes
        }

    def withdraw(self) -> None:
        """Publishes the accounts without the key, which is acknowledged."""
        self._publish("sha256:" + "0" * 64)
        self.acknowledged_at = self.mesh.now

    def run(self, seconds: float) -> None:
        """Runs the mesh and checks every answer."""
        end = self.mesh.now + seconds
        while self.mesh.now < end:
            self.mesh.run(mesh_lib.TICK_S)
            for name in sorted(set(self.entries) & set(self.mesh.nodes)):
                self._call(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Freezes a node: it reads nothing and its timers don't fire."""
        node = self.mesh.nodes.pop(name)
        held: list[events.FrameReceived] = []

        def hold(sender: str, target: str, frame: bytes) -> bool:
            if target == name:
                held.append(
                    events.FrameReceived(
                        sender_id=sender, route=b"", frame=frame
                    )
                )
            return target == name

        self.mesh.intercept = hold
        self.run(seconds)
        self.mesh.intercept = lambda *_: False
        self.mesh.nodes[name] = node
        # The first request is answered before what waited is read.
        self._call(name)
        for received in held:
            self.mesh.step(name, received)
            self._call(name)

    def _publish(self, digest: str) -> None:
        account = services.ClientAccount(name="pulo", digests=(digest,))
        self.mesh.commit(
            commands.PublishServices(
                publish_id=f"p{self.mesh.entries}",
                operator="ana",
                base_version=self.mesh.state.publication_version,
                services=(mesh_lib.make_service("orderdesk"),),
                accounts=(account,),
            )
        )

    def _call(self, name: str) -> None:
        now = self.mesh.now
        if not self._takes_key(name):
            return
        entry = self.entries[name]
        entry.served_until = now
        entry.back_at = min(entry.back_at, now)
        assert now <= self.acknowledged_at + BOUND_S, (name, now)

    def _takes_key(self, name: str) -> bool:
        member, entry = self.mesh.nodes[name], self.entries[name]
        if member.current_at is not None:
            entry.age.record_proof(member.current_at, self.mesh.now)
        if not member.installed or not entry.age.takes_keys(self.mesh.now):
            return False
        accounts = member.installed[-1].snapshot.accounts or ()
        return account_keys.AccountIndex(accounts).find(PARSED) is not None


def test_withdrawn_key_is_refused_in_touch_and_cut_off() -> None:
    """Nodes in touch refuse it soon, nodes that are cut off by the bound.

    Those that are cut off serve on for most of the bound, and take the keys
    that are left at once when they are back.
    """
    calls = _Calls()
    cut = set(sorted(calls.mesh.nodes)[: NODES // 2])
    calls.mesh.cut(set(calls.mesh.replicas), cut)
    calls.mesh.cut(cut, set(calls.mesh.nodes) - cut)
    cut_at = calls.mesh.now
    calls.run(0.5)
    calls.withdraw()
    calls.run(3 * BOUND_S)
    for name, entry in calls.entries.items():
        if name in cut:
            assert entry.served_until >= cut_at + SERVED_SHARE * BOUND_S, name
        else:
            late_s = entry.served_until - calls.acknowledged_at
            assert late_s <= IN_FORCE_S, name


def test_keys_are_taken_again_with_the_proof() -> None:
    """A key that was not taken away is refused while nothing proves it."""
    calls = _Calls()
    calls.mesh.cut(set(calls.mesh.replicas), set(calls.mesh.nodes))
    calls.run(2 * BOUND_S)
    for entry in calls.entries.values():
        entry.back_at = math.inf
    calls.run(0.5)
    assert all(entry.back_at == math.inf for entry in calls.entries.values())
    calls.mesh.heal()
    healed_at = calls.mesh.now
    for name in calls.mesh.nodes:
        # A request that is refused for its key asks for a proof.
        assert calls.entries[name].age.asks_for_keys(healed_at)
        calls.mesh.step(name, events.ProofRequested())
    calls.run(1.0)
    for name, entry in calls.entries.items():
        assert entry.back_at <= healed_at + 0.3, name


def test_replica_cut_off_after_the_acknowledgement_keeps_no_key_alive() -> None:
    """Nodes that reach only a replica without the withdrawal refuse too."""
    calls = _Calls()
    calls.mesh.isolate_replica("r0")
    calls.mesh.cut(set(calls.mesh.replicas) - {"r0"}, set(calls.mesh.nodes))
    calls.withdraw()
    calls.run(3 * BOUND_S)
    latest = max(entry.served_until for entry in calls.entries.values())
    assert latest >= calls.acknowledged_at + SERVED_SHARE * BOUND_S


def test_frozen_node_wakes_without_its_keys() -> None:
    """The first request after a freeze finds a proof that is too old.

    So does one that is answered between the frames that waited meanwhile.
    """
    calls = _Calls()
    name = min(calls.mesh.nodes)
    calls.withdraw()
    calls.freeze(name, 2 * BOUND_S)
    calls.run(2.0)
    assert calls.entries[name].served_until < calls.acknowledged_at + BOUND_S


def test_restarted_node_takes_no_key_before_it_has_a_proof() -> None:
    """What a node knew before its restart is no proof."""
    calls = _Calls()
    name = min(calls.mesh.nodes)
    calls.mesh.kill(name)
    calls.withdraw()
    calls.run(BOUND_S)
    calls.mesh.add_node(name)
    calls.entries[name] = _Entry(table_age.TableAge(IN_FORCE_S, BOUND_S))
    assert not calls.entries[name].age.takes_keys(calls.mesh.now)
    calls.run(BOUND_S)
    assert calls.entries[name].served_until == -math.inf


def test_age_of_keys_counts_to_the_bound_only_where_one_is_set() -> None:
    """Without a bound, a node that is cut off takes keys for good."""
    for bound_s, age_s, takes in (
        (0.0, 1e6, True),
        (BOUND_S, 4.4, True),
        (BOUND_S, 4.6, False),
    ):
        age = table_age.TableAge(IN_FORCE_S, bound_s)
        age.record_proof(100.0, 100.0)
        assert age.takes_keys(100.0 + age_s) is takes, (bound_s, age_s)
    assert not table_age.TableAge(IN_FORCE_S, BOUND_S).takes_keys(0.0)


def test_requests_ask_for_a_proof_in_turns_while_no_key_is_taken() -> None:
    """Many requests at a node that is cut off make few messages."""
    age = table_age.TableAge(IN_FORCE_S, BOUND_S)
    asked = [age.asks_for_keys(100.0 + n * 0.01) for n in range(100)]
    assert sum(asked) == 4
    age.record_proof(101.0, 101.0)
    assert not age.asks_for_keys(103.0)


def test_leader_lost_after_the_acknowledgement_leaves_no_false_proof() -> None:
    """No replica states an age by which it lacks what was acknowledged.

    The cluster checks that at every step (`replica_cluster`).
    """
    for seed in range(6):
        cluster = replica_cluster.Cluster(size=5, seed=seed)
        leader = cluster.wait_for_leader()
        cluster.publish(b"with key")
        cluster.publish(b"without key")
        cluster.crash(leader)
        cluster.run(2.0)
        cluster.restart(leader)
        cluster.run(2.0)
        ages = [cluster.get(name).compute_age() for name in cluster.hosts]
        assert all(age is not None and age < 1.0 for age in ages), ages


def test_table_finds_accounts_anew_only_if_they_change() -> None:
    """Most versions change servers only; accounts may be many."""
    calls = _Calls()
    name = min(calls.mesh.nodes)
    hashed = calls.mesh.nodes[name].installed[-1]
    first = table_lib.Table(hashed.snapshot)
    moved = dataclasses.replace(hashed.snapshot, version=99)
    second = table_lib.Table(
        delta.apply_delta(
            hashed, delta.compute_delta(hashed, delta.hash_snapshot(moved))
        ).snapshot,
        first,
    )
    assert second._accounts is first._accounts


load_tests = fixtures.collect(__name__)
