"""Tests of replicas on a simulated network and simulated disks."""

import dataclasses
from unittest import mock

from bench import fuzz_schedule
import hypothesis
from hypothesis import strategies

from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import leadership
from lovagesaddle.core.consensus import log as log_lib
from lovagesaddle.core.consensus import messages
from lovagesaddle.core.consensus import progress
from tests import fixtures
from tests import replica_cluster

VERSIONS = 300
IMAGE_EVERY = 50
# The round that is confirmed, the answer that is returned and the next message
# may each be a heartbeat old, and each heartbeat a tick late.
STATED_AGE_S = 3 * (replica_cluster.TIMEOUT_S / 5 + replica_cluster.TICK_S)


def test_publish_reaches_every_replica() -> None:
    """All replicas apply an accepted command at the same index."""
    cluster = replica_cluster.Cluster(seed=1)
    index = cluster.publish(b"one")
    _wait_applied(cluster, index)


def test_leader_loss_elects_another() -> None:
    """After the leader crashes, the others continue from what it accepted."""
    cluster = replica_cluster.Cluster(seed=2)
    cluster.publish(b"one")
    old = cluster.find_leader()
    cluster.crash(old)
    cluster.publish(b"two")
    assert cluster.find_leader() != old
    cluster.check_accepted_kept()


def test_stated_age_is_small_while_a_leader_is_in_touch() -> None:
    """Each replica of a calm cluster proves its state to be current."""
    cluster = replica_cluster.Cluster(seed=6)
    cluster.publish(b"one")
    for _ in range(20):
        cluster.run(0.05)
        for name in cluster.hosts:
            age_s = cluster.get(name).compute_age()
            assert age_s is not None and age_s <= STATED_AGE_S, age_s


def test_replica_that_is_cut_off_states_a_growing_age() -> None:
    """A follower and a leader count the time without contact to the others."""
    for cuts_leader in (False, True):
        cluster = replica_cluster.Cluster(seed=7)
        cluster.publish(b"one")
        leader = cluster.find_leader()
        name = leader
        if not cuts_leader:
            name = next(each for each in cluster.hosts if each != leader)
        cluster.partition((name,))
        cluster.run(1.0)
        cluster.publish(b"two")
        age_s = cluster.get(name).compute_age()
        assert age_s is None or age_s >= 1.0 - replica_cluster.TICK_S, age_s
        cluster.heal()
        cluster.run(1.0)
        age_s = cluster.get(name).compute_age()
        assert age_s is not None and age_s <= STATED_AGE_S, age_s


def test_messages_that_waited_at_a_paused_replica_prove_no_age() -> None:
    """A follower that was paused does not take old messages for news.

    The messages wait in its buffers meanwhile, and the leader has been
    replaced when it goes on.
    """
    cluster = replica_cluster.Cluster(seed=8)
    cluster.publish(b"one")
    leader = cluster.find_leader()
    name = next(each for each in cluster.hosts if each != leader)
    with cluster.pause(name):
        cluster.run(0.05)
        paused_at = cluster.now
        cluster.crash(leader)
        cluster.restart(leader)
        cluster.publish(b"two")
    age_s = cluster.get(name).compute_age()
    assert age_s is None or age_s >= cluster.now - paused_at, age_s
    cluster.run(1.0)
    age_s = cluster.get(name).compute_age()
    assert age_s is not None and age_s <= STATED_AGE_S, age_s


def test_answers_to_rounds_that_were_never_started_end_no_leader() -> None:
    """Absurd round numbers of a majority are survived and prove no age."""
    cluster = replica_cluster.Cluster(seed=9)
    index = cluster.publish(b"one")
    leader = cluster.find_leader()
    term = cluster.get(leader).term
    for name in cluster.hosts:
        if name == leader:
            continue
        answer = messages.AppendAnswer(
            term=term,
            is_accepted=True,
            index=index,
            previous_index=index,
            round=2**40,
        )
        cluster.step(
            leader, events.MessageReceived(sender=name, message=answer)
        )
    cluster.publish(b"two")
    cluster.check_accepted_kept()


def test_minority_leader_steps_down() -> None:
    """A partitioned leader steps down and accepts no command until then."""
    cluster = replica_cluster.Cluster(seed=3)
    cluster.publish(b"one")
    old = cluster.find_leader()
    cluster.partition((old,))
    lost = cluster.propose(old, b"lost")
    cluster.run_until(lambda: cluster.get(old).role is not events.Role.LEADER)
    assert lost not in cluster.accepted
    assert lost in cluster.refused
    cluster.publish(b"two")
    cluster.check_accepted_kept()


def test_reordered_and_doubled_messages_apply_in_order() -> None:
    """Reordered, lost and duplicated messages don't change the order."""
    cluster = replica_cluster.Cluster(seed=4)
    cluster.wait_for_leader()
    cluster.faults = replica_cluster.Faults(
        loss=0.1, duplication=0.3, delay_s=0.08
    )
    for number in range(40):
        cluster.publish(f"p{number}".encode())
    cluster.check_accepted_kept()


def test_returning_replica_raises_no_election() -> None:
    """A replica that missed hundreds of versions starts no election."""
    for image_every in (0, IMAGE_EVERY):
        cluster = replica_cluster.Cluster(seed=5, image_every=image_every)
        leader = cluster.wait_for_leader()
        follower = next(name for name in cluster.hosts if name != leader)
        cluster.partition((follower,))
        term, elections = cluster.get(leader).term, cluster.elections
        index = 0
        for number in range(VERSIONS):
            index = cluster.publish(f"p{number}".encode())
        cluster.heal()
        _wait_applied(cluster, index)
        cluster.run(1.0)
        assert cluster.get(leader).term == term
        assert cluster.find_leader() == leader
        assert cluster.elections == elections


def test_restarted_replica_catches_up() -> None:
    """A replica that restarts after hundreds of versions receives them all."""
    cluster = replica_cluster.Cluster(seed=6, image_every=IMAGE_EVERY)
    leader = cluster.wait_for_leader()
    follower = next(name for name in cluster.hosts if name != leader)
    cluster.crash(follower)
    with mock.patch.object(log_lib, "KEPT_ENTRIES", 10):
        for number in range(VERSIONS):
            cluster.publish(f"p{number}".encode())
        cluster.restart(follower)
        _wait_applied(cluster, cluster.publish(b"last"))
    assert cluster.get(follower).image.index >= VERSIONS - IMAGE_EVERY


def test_silent_follower_gets_a_bounded_backlog() -> None:
    """A follower that does not answer is sent a bounded number of messages."""
    cluster = replica_cluster.Cluster(seed=16)
    leader = cluster.wait_for_leader()
    follower = cluster.get(leader).members.list_others(leader)[0]
    cluster.run(1.0)
    cluster.partition((follower,))
    sent: list[events.Send] = []
    transmit = cluster.transmit

    def record(host: replica_cluster.Host, send: events.Send) -> None:
        match send.message:
            case messages.AppendRequest(entries=(_, *_)):
                sent.extend([send] if send.receiver == follower else [])
        transmit(host, send)

    with mock.patch.object(cluster, "transmit", record):
        for number in range(VERSIONS):
            cluster.publish(f"p{number}".encode())
    assert 0 < len(sent) <= progress.MAX_IN_FLIGHT_MESSAGES
    cluster.check_accepted_kept()


def test_snapshot_crosses_a_bad_network_in_pieces() -> None:
    """A follower receives a whole snapshot although pieces are lost."""
    cluster = replica_cluster.Cluster(seed=7, image_every=IMAGE_EVERY)
    leader = cluster.wait_for_leader()
    follower = next(name for name in cluster.hosts if name != leader)
    cluster.crash(follower)
    with (
        mock.patch.object(log_lib, "KEPT_ENTRIES", 1),
        mock.patch.object(leadership, "IMAGE_PIECE_BYTES", 3),
    ):
        for number in range(IMAGE_EVERY * 2):
            cluster.publish(f"p{number}".encode())
        cluster.faults = replica_cluster.Faults(
            loss=0.2, duplication=0.2, delay_s=0.02
        )
        cluster.restart(follower)
        cluster.run_until(lambda: cluster.get(follower).image.index > 0)
    cluster.check_accepted_kept()


def test_second_loss_after_a_repair_loses_nothing() -> None:
    """Losing a second disk after the first was replaced loses no entry."""
    for size in (3, 5):
        cluster = replica_cluster.Cluster(seed=8, size=size, image_every=20)
        cluster.manage_members()
        for number in range(50):
            cluster.publish(f"p{number}".encode())
        first, second, *_ = cluster.hosts
        _replace(cluster, first, "n1")
        cluster.destroy(second)
        cluster.publish(b"after the second loss")
        _replace(cluster, second, "n2", is_lost=True)
        assert len(cluster.find_committed_members().list_voters()) == size
        cluster.check_accepted_kept()


def test_all_crash_at_once_and_return() -> None:
    """No accepted entry is lost if all crash, however much was synced."""
    for synced in range(4):
        cluster = replica_cluster.Cluster(seed=9, size=5, image_every=7)
        cluster.wait_for_leader()
        cluster.faults = replica_cluster.Faults(sync_s=0.02)
        for number in range(10):
            cluster.publish(f"p{number}".encode())
            cluster.propose(cluster.wait_for_leader(), b"under way")
            cluster.run(0.002)
            for name in cluster.hosts:
                cluster.crash(name, synced=synced)
            for name in cluster.hosts:
                cluster.restart(name)
        cluster.check_accepted_kept()


def test_clock_jumps_change_nothing() -> None:
    """Clock jumps at followers raise no term, and no accepted entry is lost."""
    cluster = replica_cluster.Cluster(seed=10)
    leader = cluster.wait_for_leader()
    term = cluster.get(leader).term
    for jump in (1000.0, -2000.0, 5.0):
        for name, host in cluster.hosts.items():
            if name != leader:
                host.skew_s += jump
        cluster.publish(b"after a jump")
        assert cluster.get(leader).term == term
    cluster.hosts[leader].skew_s -= 5000.0
    cluster.run(2.0)
    cluster.publish(b"back")
    assert cluster.get(leader).term == term
    cluster.crash(leader)
    cluster.publish(b"after the leader")
    cluster.check_accepted_kept()


def test_transfer_needs_no_timeout() -> None:
    """A transfer elects another leader before an election timeout."""
    cluster = replica_cluster.Cluster(seed=11)
    cluster.publish(b"one")
    old = cluster.find_leader()
    started = cluster.now
    cluster.step(old, events.TransferLeadership())
    cluster.run_until(lambda: cluster.find_leader() not in ("", old))
    assert cluster.now - started < replica_cluster.TIMEOUT_S
    cluster.check_accepted_kept()


def test_members_do_not_change_while_leadership_is_handed_over() -> None:
    """The successor would lack the change and lose the election."""
    cluster = replica_cluster.Cluster(seed=11)
    old = cluster.wait_for_leader()
    cluster.publish(b"one")
    other = cluster.get(old).members.list_others(old)[0]
    cluster.step(old, events.TransferLeadership())
    change = cluster.change_members(old, cluster.get(old).members.drop(other))
    started = cluster.now
    cluster.run_until(lambda: cluster.find_leader() not in ("", old))
    assert cluster.now - started < replica_cluster.TIMEOUT_S
    assert "handed over" in cluster.refused[change]


def test_learner_counts_for_no_majority() -> None:
    """A learner receives entries but does not count for a majority."""
    cluster = replica_cluster.Cluster(seed=12)
    leader = cluster.wait_for_leader()
    learner = dataclasses.replace(cluster.add_host("n1"), is_voter=False)
    cluster.change_members(leader, cluster.get(leader).members.put(learner))
    cluster.publish(b"one")
    cluster.run_until(lambda: cluster.hosts["n1"].applied > 0)
    voters = [name for name in cluster.hosts if name not in (leader, "n1")]
    cluster.partition((leader, "n1"), tuple(voters))
    lost = cluster.propose(leader, b"lost")
    cluster.run(1.0)
    assert lost not in cluster.accepted


def test_silent_learner_never_votes() -> None:
    """A learner that stopped answering is not made a voter."""
    cluster = replica_cluster.Cluster(seed=15)
    leader = cluster.wait_for_leader()
    learner = dataclasses.replace(cluster.add_host("n1"), is_voter=False)
    cluster.change_members(leader, cluster.get(leader).members.put(learner))
    cluster.publish(b"one")
    cluster.run(1.0)
    assert cluster.get(leader).list_match_indexes()["n1"] > 0
    cluster.crash("n1")
    cluster.run(1.0)
    cluster.manage_members()
    cluster.run(1.0)
    assert "n1" not in cluster.get(leader).members.list_voters()
    cluster.restart("n1")
    cluster.run_until(
        lambda: "n1" in cluster.find_committed_members().list_voters()
    )


def test_members_change_one_voter_at_a_time() -> None:
    """A change of two voters, a second change and self-removal are refused."""
    cluster = replica_cluster.Cluster(seed=13, size=5)
    leader = cluster.wait_for_leader()
    members = cluster.get(leader).members
    first, second, *_ = members.list_others(leader)
    cluster.faults = replica_cluster.Faults(delay_s=0.01)
    refused = [
        cluster.change_members(leader, members.drop(first).drop(second)),
        cluster.change_members(leader, members.drop(leader)),
    ]
    accepted = cluster.change_members(leader, members.drop(first))
    refused.append(
        cluster.change_members(leader, members.drop(first).drop(second))
    )
    cluster.run_until(lambda: accepted in cluster.accepted)
    assert set(refused) <= set(cluster.refused)


def test_replica_cut_off_from_the_leader_alone_disturbs_nobody() -> None:
    """Replicas in contact with the leader grant no vote to one that is not."""
    cluster = replica_cluster.Cluster(seed=17)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    follower = cluster.get(leader).members.list_others(leader)[0]
    cluster.cut_link(leader, follower)
    term, elections = cluster.get(leader).term, cluster.elections
    cluster.run(3.0)
    assert cluster.get(leader).term == term
    assert cluster.elections == elections


def test_removed_replica_disturbs_nobody() -> None:
    """A removed replica that requests votes raises no term."""
    cluster = replica_cluster.Cluster(seed=14)
    leader = cluster.wait_for_leader()
    gone = cluster.get(leader).members.list_others(leader)[0]
    cluster.partition((gone,))
    cluster.change_members(leader, cluster.get(leader).members.drop(gone))
    cluster.publish(b"one")
    term = cluster.get(leader).term
    cluster.heal()
    cluster.run(3.0)
    assert cluster.get(leader).term == term


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_schedules_of_faults_break_no_promise(seed: int) -> None:
    """No schedule of faults violates an invariant of the log."""
    fuzz_schedule.Schedule(seed, fuzz_schedule.DEFAULTS).run()


def _wait_applied(cluster: replica_cluster.Cluster, index: int) -> None:
    cluster.run_until(
        lambda: all(host.applied >= index for host in cluster.hosts.values())
    )


def _replace(
    cluster: replica_cluster.Cluster,
    old: str,
    new: str,
    *,
    is_lost: bool = False,
) -> None:
    if not is_lost:
        cluster.destroy(old)
    learner = dataclasses.replace(
        cluster.add_host(new), is_voter=False, replaces=old
    )

    def is_done() -> bool:
        leader = cluster.find_leader()
        if leader and cluster.get(leader).members.find(new) is None:
            members = cluster.get(leader).members
            cluster.change_members(leader, members.put(learner))
        voters = cluster.find_committed_members().list_voters()
        return new in voters and old not in voters

    cluster.run_until(is_done)


load_tests = fixtures.collect(__name__)
