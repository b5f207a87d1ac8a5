"""Tests of Idempotency-Keys: no request with a key runs twice."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_messages
from lovagesaddle.core.routing import claim_records
from tests import claim_mesh
from tests import fixtures

NOT_RUN = outcomes.RequestOutcome.NOT_RUN
UNKNOWN = outcomes.RequestOutcome.UNKNOWN
Reason = claim_events.RefusalReason

SCHEDULES = 300
SCHEDULE_STEPS = 250
GUARANTEED_S = claim_records.RETENTION_S - 10.0


def _create(nodes: int = 5) -> claim_mesh.ClaimMesh:
    mesh = claim_mesh.ClaimMesh(nodes=nodes)
    mesh.install_all()
    return mesh


def _run(
    mesh: claim_mesh.ClaimMesh, node_id: str, key: str, body: str = "b"
) -> claim_mesh.Request:
    request = mesh.start(node_id, key, body)
    assert request is not None
    mesh.settle(rounds=1)
    return request


def _list_holders(mesh: claim_mesh.ClaimMesh) -> list[str]:
    assert mesh.shard is not None
    return [holder.node_id for holder in mesh.shard.holders]


def _read_refusal(request: claim_mesh.Request) -> claim_events.Refuse:
    assert isinstance(request.told, claim_events.Refuse), request.told
    return request.told


def test_resend_through_another_entry_gets_the_stored_answer() -> None:
    """A resend after the answer gets the first answer and doesn't run."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    assert first.running
    mesh.finish(first, None)
    mesh.settle(rounds=1)
    assert first.settled
    resend = _run(mesh, "n1", "k")
    assert isinstance(resend.told, claim_events.Replay)
    assert resend.told.answer.body == first.token.encode()
    assert resend.ran_at is None


def test_resend_at_once_waits_for_the_first_attempt() -> None:
    """A resend during a running attempt gets that attempt's answer."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    resend = _run(mesh, "n1", "k")
    mesh.settle(rounds=5)
    assert resend.told is None
    mesh.finish(first, None)
    mesh.settle(rounds=10)
    assert isinstance(resend.told, claim_events.Replay)


def test_resend_that_waits_too_long_is_told_unknown() -> None:
    """At its deadline a waiting resend is refused with outcome unknown."""
    mesh = _create()
    _run(mesh, "n0", "k")
    resend = _run(mesh, "n1", "k")
    mesh.settle(rounds=80)
    assert _read_refusal(resend).reason is Reason.IN_PROGRESS
    assert _read_refusal(resend).outcome is UNKNOWN


def test_same_key_with_another_body_is_422() -> None:
    """A key that was used for another request is refused as not-run."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, None)
    mesh.settle(rounds=1)
    other = _run(mesh, "n1", "k", "another")
    refusal = _read_refusal(other)
    assert (refusal.status, refusal.outcome) == (422, NOT_RUN)


def test_dead_entry_leaves_the_outcome_unknown_for_good() -> None:
    """After an entry died with a request, no request with its key runs."""
    mesh = _create()
    dead = next(
        each for each in mesh.processes if each not in _list_holders(mesh)
    )
    _run(mesh, dead, "k")
    mesh.restart(dead)
    mesh.install(dead)
    mesh.settle(rounds=100)
    resend = _run(mesh, "n1", "k")
    mesh.settle(rounds=10)
    assert _read_refusal(resend).reason is Reason.OUTCOME_UNKNOWN
    assert resend.ran_at is None


def test_request_that_did_not_run_may_run_by_a_resend() -> None:
    """A request that ends as not-run releases its key."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, NOT_RUN)
    mesh.settle(rounds=1)
    assert _run(mesh, "n1", "k").running


def test_one_lost_holder_stops_nothing() -> None:
    """Two of three holders are enough to grant a claim."""
    mesh = _create()
    lost = _list_holders(mesh)[0]
    entry = next(each for each in mesh.processes if each != lost)
    request = mesh.start(entry, "k")
    assert request is not None
    mesh.settle(without=[lost], rounds=2)
    assert request.running


def test_without_a_majority_nothing_runs_or_is_called_not_run() -> None:
    """Without votes of a majority the outcome is unknown."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, None)
    mesh.packets.clear()
    lost = _list_holders(mesh)[:2]
    entry = next(each for each in mesh.processes if each not in lost)
    resend = mesh.start(entry, "k2")
    assert resend is not None
    mesh.settle(without=lost, rounds=100)
    refusal = _read_refusal(resend)
    assert refusal.reason is Reason.NO_MAJORITY
    assert (refusal.status, refusal.outcome) == (503, UNKNOWN)
    assert resend.ran_at is None


def test_restarted_holder_does_not_vote_from_an_empty_memory() -> None:
    """Two restarted holders can't grant a key whose request ran before."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, None)
    mesh.settle(rounds=1)
    for node_id in _list_holders(mesh)[:2]:
        mesh.restart(node_id)
        mesh.install(node_id)
    entry = _list_holders(mesh)[2]
    resend = mesh.start(entry, "k")
    assert resend is not None
    mesh.settle(rounds=2)
    assert resend.ran_at is None


def test_claims_survive_the_handover_to_other_holders() -> None:
    """Holders that restart one after another transfer the claims."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, None)
    mesh.settle(rounds=1)
    for node_id in _list_holders(mesh) * 2:
        mesh.restart(node_id)
        mesh.install_all()
        mesh.settle(rounds=10)
    resend = _run(mesh, "n1", "k")
    assert isinstance(resend.told, claim_events.Replay)


def test_claim_of_the_old_epoch_is_refused_during_a_handover() -> None:
    """Once a new holder pulls the claims, no old claim is granted."""
    mesh = _create()
    old = mesh.processes["n0"]
    mesh.settle(rounds=1)
    victim = next(each for each in _list_holders(mesh) if each != "n0")
    mesh.restart(victim)
    mesh.plan()
    for node_id in mesh.processes:
        if node_id != old.node_id:
            mesh.install(node_id)
    mesh.settle(rounds=10)
    late = _run(mesh, "n0", "k")
    assert late.ran_at is None
    mesh.install("n0")
    mesh.settle(rounds=10)
    assert late.running


def test_lost_majority_of_holders_waits_until_claims_lapse() -> None:
    """If two of three holders lost their claims, no key runs until expiry."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    mesh.finish(first, None)
    mesh.settle(rounds=1)
    for node_id in _list_holders(mesh)[:2]:
        mesh.restart(node_id)
    mesh.install_all()
    mesh.settle(rounds=10)
    soon = _run(mesh, "n3", "k")
    assert soon.ran_at is None
    mesh.advance(claim_records.RETENTION_S + 1)
    mesh.settle(rounds=2)
    assert _run(mesh, "n4", "other").running


def test_large_answer_is_not_kept_but_never_run_again() -> None:
    """A resend of a request with a large answer is refused as unknown."""
    mesh = _create()
    first = _run(mesh, "n0", "k")
    assert first.running
    too_large = claim_records.MAX_ANSWER_BYTES + 1
    ended = claim_events.Ended(
        outcome=None,
        answer=claim_messages.StoredAnswer(status=200, body=bytes(too_large)),
    )
    mesh.step(first, ended)
    mesh.settle(rounds=1)
    resend = _run(mesh, "n1", "k")
    assert _read_refusal(resend).reason is Reason.ANSWER_NOT_KEPT


def test_change_of_another_shard_leaves_a_claim_alone() -> None:
    """A claim does not react when the holders of another shard change."""
    own = _make_shard(0, "n0", "n1", "n2")
    client = claim_client.ClaimClient(
        options=claim_client.ClaimOptions(
            claim_id=b"c",
            body_digest=b"b",
            token="t",
            deadline=10.0,
            shard=own,
        ),
        source=random.Random(1),
    )
    client.step(claim_events.Started(), 0.0)
    other = dataclasses.replace(_make_shard(1, "n3", "n4", "n5"), epoch=2)
    changed = claim_events.ShardChanged(shard=other)
    assert client.step(changed, 0.1) == ()
    moved = dataclasses.replace(_make_shard(0, "n3", "n4", "n5"), epoch=2)
    assert client.step(claim_events.ShardChanged(shard=moved), 0.2)


def _make_shard(number: int, *node_ids: str) -> snapshots.Shard:
    holders = tuple(
        snapshots.Holder(node_id=node_id, incarnation=1) for node_id in node_ids
    )
    return snapshots.Shard(number=number, epoch=1, holders=holders, previous=())


def _act(mesh: claim_mesh.ClaimMesh, source: random.Random) -> None:
    """Performs one random step."""
    node_ids = list(mesh.processes)
    node_id = node_ids[source.randrange(len(node_ids))]
    roll = source.random()
    if roll < 0.60:
        _disturb_network(mesh, source)
    elif roll < 0.70:
        body = "b" if source.random() < 0.8 else "c"
        key = source.choice(("k", "l"))
        mesh.start(node_id, key, body, source.choice((0.5, 3.0)))
    elif roll < 0.76:
        _finish_one(mesh, source)
    elif roll < 0.77:
        mesh.restart(node_id)
    elif roll < 0.81:
        mesh.leaving ^= {node_id}
        mesh.plan()
    elif roll < 0.92:
        mesh.install(node_id)
    else:
        mesh.advance(source.choice((0.05, 0.1, 0.3, 1.0, 150.0)))


def _disturb_network(mesh: claim_mesh.ClaimMesh, source: random.Random) -> None:
    """Delivers, loses or duplicates some of the messages under way."""
    for _ in range(source.choice((1, 4, 16))):
        if not mesh.packets:
            return
        position = source.randrange(len(mesh.packets))
        roll = source.random()
        if roll < 0.1:
            mesh.packets.pop(position)
            continue
        if roll < 0.2:
            mesh.packets.append(mesh.packets[position])
        mesh.deliver(position)


def _finish_one(mesh: claim_mesh.ClaimMesh, source: random.Random) -> None:
    running = [each for each in mesh.requests if each.running and not each.over]
    if running:
        request = running[source.randrange(len(running))]
        mesh.finish(request, source.choice((None, None, NOT_RUN, UNKNOWN)))


def _check_runs(mesh: claim_mesh.ClaimMesh) -> None:
    """Checks that a key runs again only after a not-run end or its expiry."""
    for request in mesh.requests:
        ran_at = request.ran_at
        if ran_at is None or (request.end is not None and _is_not_run(request)):
            continue
        for later in mesh.requests:
            if later is request or later.key != request.key:
                continue
            if later.ran_at is None or later.ran_at < ran_at:
                continue
            if _is_not_run(later):
                continue
            apart_s = later.ran_at - ran_at
            assert apart_s > GUARANTEED_S, (request.token, later.token)


def _check_told(mesh: claim_mesh.ClaimMesh) -> None:
    """Checks that every not-run and every stored answer is true."""
    for request in mesh.requests:
        told = request.told
        ran = [
            each
            for each in mesh.requests
            if each.key == request.key
            and each.body == request.body
            and each.ran_at is not None
            and not _is_not_run(each)
        ]
        if isinstance(told, claim_events.Refuse) and told.outcome is NOT_RUN:
            for each in ran:
                age_s = request.told_at - (each.ran_at or 0.0)
                assert not 0 <= age_s <= GUARANTEED_S, request.token
        if isinstance(told, claim_events.Replay):
            answers = {each.token.encode() for each in ran}
            assert told.answer.body in answers, request.token


def _is_not_run(request: claim_mesh.Request) -> bool:
    return request.end is not None and request.end.outcome is NOT_RUN


@hypothesis.settings(
    max_examples=SCHEDULES, derandomize=True, deadline=None, database=None
)
@hypothesis.given(seed=strategies.integers(0, 2**32 - 1))
def _check_schedule(seed: int) -> None:
    source = random.Random(seed)
    mesh = claim_mesh.ClaimMesh(nodes=3 + seed % 4, seed=seed)
    mesh.install_all()
    for _ in range(SCHEDULE_STEPS):
        _act(mesh, source)
        _check_runs(mesh)
    _check_told(mesh)


def test_no_key_runs_twice_under_random_schedules() -> None:
    """No key runs twice under lost, duplicate or late messages and restarts."""
    _check_schedule()


load_tests = fixtures.collect(__name__)
