"""Tests of the parts of claims: tally, records, pull, holder, client."""

import random

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_holder
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull
from lovagesaddle.core.routing import claim_records
from lovagesaddle.core.routing import claim_tally
from tests import fixtures

KEY = b"key"
State = messages.ClaimState
Vote = messages.Vote


def _holders(*names: str, incarnation: int = 1) -> tuple[snapshots.Holder, ...]:
    return tuple(
        snapshots.Holder(node_id=name, incarnation=incarnation)
        for name in names
    )


def _shard(
    epoch: int = 1, *, previous: tuple[snapshots.Holder, ...] = ()
) -> snapshots.Shard:
    return snapshots.Shard(
        number=0,
        epoch=epoch,
        holders=_holders("a", "b", "c"),
        previous=previous,
    )


def _record(
    token: str = "t",
    *,
    round_: int = 1,
    state: State = State.CLAIMED,
    body: bytes = b"b",
    age_s: float = 0.0,
) -> messages.Record:
    answered = state is State.ANSWERED
    return messages.Record(
        claim_id=KEY,
        token=token,
        round=round_,
        body_digest=body,
        state=state,
        age_s=age_s,
        expires_s=2.0,
        answer=messages.StoredAnswer(status=200) if answered else None,
    )


def _vote(
    vote: Vote = Vote.GRANTED,
    *held: messages.Record,
    epoch: int = 1,
    round_: int = 1,
) -> messages.ClaimVote:
    return messages.ClaimVote(
        shard=0, epoch=epoch, token="t", round=round_, vote=vote, held=held
    )


def _evaluate(
    votes: dict[str, messages.ClaimVote], *, final: bool = True
) -> claim_tally.ResultKind:
    tally = claim_tally.VoteTally(shard=_shard(), round_=1, body_digest=b"b")
    for sender_id, vote in votes.items():
        tally.add_vote(sender_id, vote)
    return tally.evaluate(final=final).kind


def test_votes_of_other_rounds_epochs_and_nodes_do_not_count() -> None:
    """A vote counts only for its own round and epoch, and from a holder."""
    for stray in (_vote(round_=2), _vote(epoch=2)):
        kind = _evaluate({"a": _vote(), "b": stray})
        assert kind is claim_tally.ResultKind.SPLIT, stray
    kind = _evaluate({"a": _vote(), "stranger": _vote()})
    assert kind is claim_tally.ResultKind.SPLIT
    kind = _evaluate({"a": _vote(), "b": _vote()}, final=False)
    assert kind is claim_tally.ResultKind.GRANTED


def test_another_body_is_only_shown_by_a_request_that_was_started() -> None:
    """An expired claim may still be released, so it proves nothing."""
    lapsed = _record("o", body=b"other", age_s=9.0)
    votes = {name: _vote(Vote.HELD, lapsed) for name in "abc"}
    assert _evaluate(votes) is claim_tally.ResultKind.ENDED_UNKNOWN
    for state in (State.UNKNOWN, State.ANSWERED):
        started = _record("o", body=b"other", state=state)
        votes = {"a": _vote(Vote.HELD, started)}
        assert _evaluate(votes) is claim_tally.ResultKind.OTHER_BODY
        votes["b"] = _vote(Vote.HELD, started, _record(age_s=9.0))
        assert _evaluate(votes) is claim_tally.ResultKind.ENDED_UNKNOWN
        old = _record(
            "o",
            body=b"other",
            state=state,
            age_s=claim_records.RETENTION_S - 1,
        )
        votes = {name: _vote(Vote.HELD, old) for name in "abc"}
        assert _evaluate(votes) is claim_tally.ResultKind.ENDED_UNKNOWN


def test_release_removes_only_the_named_round() -> None:
    """A late release removes neither a newer round nor a claim that ran."""
    records = claim_records.Records()
    records.store(_record(round_=2), 0.0)
    records.release(KEY, "t", 1, 0.1)
    assert len(records) == 1
    records.store(_record(round_=2, state=State.ANSWERED), 0.2)
    records.release(KEY, "t", 2, 0.3)
    assert len(records) == 1


def test_released_claim_is_not_kept_again() -> None:
    """A claim that arrives after its release is not stored."""
    records = claim_records.Records()
    records.release(KEY, "t", 2, 0.0)
    records.store(_record(round_=1), 0.1)
    assert len(records) == 0
    records.store(_record(round_=3), 0.2)
    assert len(records) == 1


def test_end_of_a_claim_is_not_overwritten() -> None:
    """A claim that arrives after its end changes nothing."""
    records = claim_records.Records()
    records.store(_record(state=State.ANSWERED), 0.0)
    records.store(_record(round_=5), 0.1)
    (held,) = records.list_claims(KEY, 0.2)
    assert held.state is State.ANSWERED


def test_claims_are_forgotten_after_their_retention() -> None:
    """A claim keeps its age when it is transferred to another holder."""
    records = claim_records.Records()
    records.store(_record(age_s=100.0), 0.0)
    records.expire(claim_records.RETENTION_S - 101)
    assert len(records) == 1
    records.expire(claim_records.RETENTION_S - 99)
    assert len(records) == 0


def test_pages_carry_every_claim_once() -> None:
    """A transfer of many claims comes in pages without gaps."""
    records = claim_records.Records()
    count = 2 * claim_records.PAGE_RECORDS + 1
    for number in range(count):
        name = number.to_bytes(4, "big")
        claim = messages.Record(
            claim_id=name,
            token="t",
            round=1,
            body_digest=b"b",
            state=State.CLAIMED,
            age_s=0.0,
            expires_s=1.0,
        )
        records.store(claim, 0.0)
    found: list[bytes] = []
    cursor = b""
    for _ in range(3):
        page = records.read_page(cursor, 0.0)
        found.extend(record.claim_id for record in page.records)
        cursor = page.next_cursor
    assert cursor == b""
    assert len(set(found)) == len(found) == count


def _page(*, lost: bool = False) -> messages.PullAnswer:
    return messages.PullAnswer(shard=0, epoch=2, cursor=b"", lost=lost)


def test_pull_needs_one_of_every_majority() -> None:
    """Two of three former holders are needed; none is counted twice."""
    pull = claim_pull.Pull(shard=_shard(2, previous=_holders("a", "b", "c")))
    pull.receive_page("a", _page(), 0.0)
    pull.receive_page("a", _page(), 0.0)
    pull.receive_page("stranger", _page(), 0.0)
    assert not pull.is_complete(10 * claim_records.RETENTION_S)
    pull.receive_page("b", _page(), 0.0)
    assert pull.is_complete(0.0)


def test_lost_memories_count_only_after_the_retention() -> None:
    """A former holder without its claims counts only once they expired."""
    pull = claim_pull.Pull(shard=_shard(2, previous=_holders("a", "b", "c")))
    pull.receive_page("a", _page(), 0.0)
    pull.receive_page("b", _page(lost=True), 5.0)
    assert not pull.is_complete(claim_records.RETENTION_S)
    assert pull.is_complete(claim_records.RETENTION_S + 5.1)


def _ask(
    holder: claim_holder.ClaimHolder, epoch: int, incarnation: int = 1
) -> messages.PullAnswer | None:
    request = messages.PullRequest(
        shard=0, epoch=epoch, incarnation=incarnation
    )
    event = claim_holder.Received(sender_id="x", message=request)
    sends = holder.step(event, 0.0)
    if not sends:
        return None
    answer = sends[0].message
    assert isinstance(answer, messages.PullAnswer)
    return answer


def _install(
    holder: claim_holder.ClaimHolder, shard: snapshots.Shard, incarnation: int
) -> None:
    event = claim_holder.Installed(shards=(shard,), incarnation=incarnation)
    holder.step(event, 0.0)


def test_holder_hands_over_only_what_it_knows() -> None:
    """A holder that may still get claims does not answer a pull before."""
    holder = claim_holder.ClaimHolder(node_id="a")
    assert _ask(holder, 2) is None
    _install(holder, _shard(2, previous=_holders("x", "y", "z")), 1)
    assert _ask(holder, 3) is None
    ready = claim_holder.ClaimHolder(node_id="a")
    _install(ready, _shard(1), 1)
    answer = _ask(ready, 2)
    assert answer is not None
    assert not answer.lost


def test_holder_that_was_asked_votes_no_more_in_its_epoch() -> None:
    """A holder that answered a pull no longer votes in the former epoch."""
    holder = claim_holder.ClaimHolder(node_id="a")
    _install(holder, _shard(1), 1)
    assert holder.is_ready(0)
    assert _ask(holder, 2) is not None
    assert not holder.is_ready(0)
    request = messages.ClaimRequest(shard=0, epoch=1, record=_record())
    event = claim_holder.Received(sender_id="x", message=request)
    (send,) = holder.step(event, 0.0)
    assert isinstance(send.message, messages.ClaimVote)
    assert send.message.vote is Vote.WRONG_EPOCH


def test_holder_that_lags_behind_does_not_say_lost() -> None:
    """Only a restarted holder is known to have lost its claims."""
    holder = claim_holder.ClaimHolder(node_id="a")
    _install(holder, _shard(1), 1)
    assert _ask(holder, 3, incarnation=1) is None
    reborn = claim_holder.ClaimHolder(node_id="a")
    _install(reborn, _shard(1), 2)
    answer = _ask(reborn, 3, incarnation=1)
    assert answer is not None
    assert answer.lost


def _start(deadline: float = 3.0) -> claim_client.ClaimClient:
    client = claim_client.ClaimClient(
        options=claim_client.ClaimOptions(
            claim_id=KEY,
            body_digest=b"b",
            token="t",
            deadline=deadline,
            shard=_shard(),
        ),
        source=random.Random(1),
    )
    client.step(claim_events.Started(), 0.0)
    return client


def _receive(
    client: claim_client.ClaimClient,
    sender_id: str,
    message: messages.ClaimMessage,
    now: float = 0.0,
) -> tuple[claim_events.Action, ...]:
    event = claim_events.Received(sender_id=sender_id, message=message)
    return client.step(event, now)


def test_claim_granted_too_late_does_not_run() -> None:
    """A majority that comes after the deadline proves that nothing ran."""
    client = _start()
    _receive(client, "a", _vote(), 1.0)
    actions = _receive(client, "b", _vote(), 3.5)
    refusals = [a for a in actions if isinstance(a, claim_events.Refuse)]
    assert [refusal.outcome for refusal in refusals] == [
        outcomes.RequestOutcome.NOT_RUN
    ]


def test_change_of_another_shard_moves_no_claim() -> None:
    """A claim stays with the holders of its own shard."""
    client = _start()
    other = snapshots.Shard(
        number=1, epoch=2, holders=_holders("x"), previous=()
    )
    assert client.step(claim_events.ShardChanged(shard=other), 0.1) == ()
    moved = client.step(claim_events.ShardChanged(shard=_shard(2)), 0.1)
    assert any(isinstance(each, claim_events.Send) for each in moved)


def test_votes_that_a_paused_process_counts_late_decide_nothing() -> None:
    """Votes from before a long suspension prove nothing."""
    client = _start(deadline=100.0)
    started = _record("o", body=b"other", state=State.ANSWERED)
    _receive(client, "a", _vote(Vote.HELD, started), 0.1)
    late = client.step(claim_events.TimerFired(), 90.0)
    refusals = [a for a in late if isinstance(a, claim_events.Refuse)]
    assert [refusal.outcome for refusal in refusals] == [
        outcomes.RequestOutcome.UNKNOWN
    ]


def test_long_call_is_claimed_like_a_short_one() -> None:
    """A call with a long timeout claims no longer than holders grant."""
    holder = claim_holder.ClaimHolder(node_id="a")
    _install(holder, _shard(1), 1)
    client = claim_client.ClaimClient(
        options=claim_client.ClaimOptions(
            claim_id=KEY,
            body_digest=b"b",
            token="t",
            deadline=3600.0,
            shard=_shard(),
        ),
        source=random.Random(1),
    )
    action = client.step(claim_events.Started(), 0.0)[0]
    assert isinstance(action, claim_events.Send)
    event = claim_holder.Received(sender_id="x", message=action.message)
    (send,) = holder.step(event, 0.0)
    assert isinstance(send.message, messages.ClaimVote)
    assert send.message.vote is Vote.GRANTED


def test_acknowledged_release_of_an_old_round_settles_nothing() -> None:
    """The caller is answered only after acknowledgements of the end."""
    client = _start()
    client.step(claim_events.TimerFired(), 0.3)
    client.step(claim_events.TimerFired(), 0.5)
    for name in "ab":
        _receive(client, name, _vote(round_=2), 0.5)
    answer = messages.StoredAnswer(status=200)
    client.step(claim_events.Ended(outcome=None, answer=answer), 0.6)
    for name in "abc":
        old = messages.Settled(shard=0, token="t", round=1)
        assert _receive(client, name, old, 0.6) == ()
    done = messages.Settled(shard=0, token="t", round=2)
    assert _receive(client, "a", done, 0.7) == ()
    settled = claim_events.Settled(acknowledged=True)
    assert _receive(client, "b", done, 0.7) == (settled,)


def test_full_or_overlong_claims_are_refused() -> None:
    """A claim with too long an expiry is not granted."""
    holder = claim_holder.ClaimHolder(node_id="a")
    _install(holder, _shard(1), 1)
    record = messages.Record(
        claim_id=KEY,
        token="t",
        round=1,
        body_digest=b"b",
        state=State.CLAIMED,
        age_s=0.0,
        expires_s=claim_records.MAX_CLAIM_S + 1,
    )
    request = messages.ClaimRequest(shard=0, epoch=1, record=record)
    event = claim_holder.Received(sender_id="x", message=request)
    (send,) = holder.step(event, 0.0)
    assert isinstance(send.message, messages.ClaimVote)
    assert send.message.vote is Vote.FULL


def test_keys_of_different_clients_are_different_claims() -> None:
    """A caller can't get the answer of another one by using its key."""
    found = {
        claim_keys.compute_claim_id(service="s", client=client, key="k")
        for client in ("a", "b")
    }
    assert len(found) == 2
    assert not claim_keys.is_valid_key("")
    assert not claim_keys.is_valid_key("a\nb")
    assert not claim_keys.is_valid_key("x" * 256)


load_tests = fixtures.collect(__name__)
