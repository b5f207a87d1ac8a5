"""Tests of the handling of membership requests at a single replica."""

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import replica_events
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.membership import change_batcher as batcher_lib
from lovagesaddle.core.membership import leases as leases_lib
from lovagesaddle.core.membership import pending_joins
from lovagesaddle.core.membership import registrar as registrar_lib
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps
from tests import fixtures
from tests import mesh

LEADER = peers.Peer(peer_id="r1", address="r1:1")
STAMP = stamps.LeaderStamp(term=1, counter=1)


def test_join_before_the_election_is_taken_after_it() -> None:
    """A join before the election is in the new leader's first entry."""
    registrar = _make_registrar()
    _observe(registrar, now=0.0)
    assert not _find_proposals(_join(registrar, "n1", b"1", now=0.0))
    _observe(registrar, is_leader=True, now=0.2)
    registrar.tick(0.2)
    proposals = _find_proposals(registrar.tick(0.2 + batcher_lib.FIRST_BATCH_S))
    (proposal,) = proposals
    (node,) = proposal.command.nodes
    assert node.node_id == "n1"


def test_join_before_the_election_is_forwarded_after_it() -> None:
    """A replica that loses the election forwards the join to the leader."""
    registrar = _make_registrar()
    _observe(registrar, now=0.0)
    _join(registrar, "n1", b"1", now=0.0)
    _observe(registrar, leader=LEADER, now=0.2)
    (sent,) = [
        each
        for each in registrar.tick(0.2)
        if isinstance(each, events.Send) and each.peer == LEADER
    ]
    forward = wire.decode(sent.frame, peer="r2")
    assert isinstance(forward, messages.Forward)
    assert forward.origin_id == "n1"


def test_only_the_newest_join_of_a_node_is_kept() -> None:
    """A node that restarted meanwhile joins once, as its newest process."""
    registrar = _make_registrar()
    _observe(registrar, now=0.0)
    _join(registrar, "n1", b"1", now=0.0)
    _join(registrar, "n1", b"2", now=0.1)
    _observe(registrar, is_leader=True, now=0.2)
    registrar.tick(0.2)
    registrar.tick(0.2 + batcher_lib.FIRST_BATCH_S)
    answers = registrar.handle_applied(
        replica_events.EntryApplied(ticket=1, version=1), 0.3
    )
    accepted = [
        wire.decode(each.frame, peer="r2")
        for each in answers
        if isinstance(each, events.Answer)
    ]
    (answer,) = accepted
    assert isinstance(answer, messages.JoinAccepted)
    assert answer.life == b"2"


def test_join_older_than_a_restart_is_dropped() -> None:
    """A join that is older than a restart takes may be of a dead process."""
    registrar = _make_registrar()
    _observe(registrar, now=0.0)
    _join(registrar, "n1", b"1", now=0.0)
    late = pending_joins.MAX_AGE_S + 0.1
    _observe(registrar, is_leader=True, now=late)
    registrar.tick(late)
    assert not _find_proposals(registrar.tick(late + 1))


def _make_registrar() -> registrar_lib.Registrar:
    return registrar_lib.Registrar(
        leases_lib.Leases(lease_s=3.0, expiry_share=0.5)
    )


def _observe(
    registrar: registrar_lib.Registrar,
    *,
    now: float,
    is_leader: bool = False,
    leader: peers.Peer | None = None,
) -> None:
    state = state_lib.make_initial_state()
    registrar.observe(
        replica_events.ConsensusObserved(
            hashed=delta.hash_snapshot(state.snapshot),
            is_leader=is_leader,
            leader=leader,
            stamp=STAMP,
            replicas=(LEADER,),
        ),
        now,
    )


def _join(
    registrar: registrar_lib.Registrar, node_id: str, life: bytes, *, now: float
) -> registrar_lib.Actions:
    join = messages.Join(node=mesh.make_node(node_id), life=life, servers=())
    received = events.FrameReceived(
        sender_id=node_id, route=b"route", frame=wire.encode(join)
    )
    return registrar.receive(received, join, now)


def _find_proposals(
    actions: registrar_lib.Actions,
) -> list[replica_events.Propose]:
    return [
        each for each in actions if isinstance(each, replica_events.Propose)
    ]


load_tests = fixtures.collect(__name__)
