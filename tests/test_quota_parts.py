"""Tests of what holders and entries of quotas do with single messages."""

import dataclasses
import random

from lovagesaddle.core.routing import quota_holder
from lovagesaddle.core.routing import quota_ledger
from lovagesaddle.core.routing import quota_messages as messages
from lovagesaddle.core.routing import quota_parts
from tests import fixtures
from tests import quota_mesh

RULES = quota_mesh.RULES
LARGE = quota_mesh.make_account("large", 60.0)
BURSTY = quota_mesh.make_account("large", 60.0, 300.0)


def test_holder_without_a_proof_grants_nothing() -> None:
    """Another node may hold the part by now; not so 1 s after a proof."""
    holder = quota_holder.QuotaHolder(node_id="n", rules=RULES, now=0.0)
    nodes = (quota_mesh.make_node("n", "d"),)
    holder.install(nodes, (LARGE,), now=0.0, table_age_s=None)
    ask = messages.Ask(account="large", stamp=1, held=0, need=1, want=1)
    ready = RULES.settle_s
    for now, age_s, state in (
        (ready - 0.1, 0.5, messages.HolderState.NOT_READY),
        (ready, RULES.proof_s + 0.1, messages.HolderState.NOT_READY),
        (ready, None, messages.HolderState.NOT_READY),
        (ready, 1.0, messages.HolderState.GRANTED),
    ):
        grant = holder.answer("e", ask, now=now, table_age_s=age_s)
        assert grant is not None
        assert grant.state is state, f"{now} {age_s}"
    repeated = holder.answer("e", ask, now=ready, table_age_s=1.0)
    assert repeated is None


def make_holder(*others: str) -> quota_holder.QuotaHolder:
    """Returns the holder of node `n`, at a time at which it is ready."""
    holder = quota_holder.QuotaHolder(node_id="n", rules=RULES, now=0.0)
    install(holder, others, now=0.0, table_age_s=None)
    return holder


def install(
    holder: quota_holder.QuotaHolder,
    others: tuple[str, ...],
    *,
    now: float,
    table_age_s: float | None = 1.0,
) -> None:
    """Installs a table with node `n` and others of its failure domain."""
    nodes = [quota_mesh.make_node(name, "d") for name in ("n", *others)]
    holder.install(nodes, (BURSTY,), now=now, table_age_s=table_age_s)


def count_granted(
    holder: quota_holder.QuotaHolder, now: float, entry_id: str, held: int = 0
) -> int | None:
    """Asks for more than a part has; returns the tokens of the entry."""
    ask = messages.Ask(
        account="large", stamp=int(now * 1000), held=held, need=998, want=999
    )
    grant = holder.answer(entry_id, ask, now=now, table_age_s=1.0)
    assert grant is not None
    is_ready = grant.state is not messages.HolderState.NOT_READY
    return grant.total if is_ready else None


def test_tokens_that_entries_hold_fill_the_bucket() -> None:
    """Entries that keep tokens for long could use them with a full bucket."""
    holder = make_holder()
    held = count_granted(holder, 60.0, "e")
    assert held == int(RULES.compute_capacity(BURSTY))
    for step in range(1, 11):
        assert count_granted(holder, 60 + 0.5 * step, "e", held) == held
    assert count_granted(holder, 65.1, "f") == 0
    # The report comes too late: what the entry holds has run out by now.
    assert count_granted(holder, 66.0, "e", held) == 0
    rate = RULES.compute_rate(BURSTY)
    granted = count_granted(holder, 66.5, "e", held)
    assert granted is not None
    assert 0.5 * rate - 1 <= granted < 0.5 * rate + 1


def test_part_that_moved_away_and_back_starts_empty() -> None:
    """Another node may have granted all of it meanwhile."""
    others = tuple(f"m{number}" for number in range(60, 120))
    holder = make_holder()
    assert count_granted(holder, 60.0, "e")
    install(holder, others, now=61.0)
    assert count_granted(holder, 62.0, "e") is None
    install(holder, (), now=70.0)
    ready = 70.0 + RULES.settle_s
    assert count_granted(holder, ready - 0.1, "e") is None
    rate = RULES.compute_rate(BURSTY)
    assert count_granted(holder, ready, "e") == int(rate * RULES.lease_s)


def test_holder_back_from_a_cut_waits_if_the_nodes_changed() -> None:
    """It may have missed tables by which its part was with another."""
    for others, total in (((), True), (("m1",), False)):
        holder = make_holder()
        install(holder, others, now=60.0, table_age_s=RULES.proof_s + 2)
        assert bool(count_granted(holder, 60.1, "e")) is total


def test_rule_without_slack_leaves_tokens_for_every_part() -> None:
    """A bucket without burst and slack would hold no token at all."""
    rules = dataclasses.replace(RULES, overrun=0.0, slack=0.0)
    for rate, burst in ((10.0, 0.0), (0.5, 0.0), (4.0, 4.0), (300.0, 300.0)):
        account = quota_mesh.make_account("a", rate, burst)
        capacity = rules.compute_capacity(account)
        assert capacity > 0
        assert rules.compute_rate(account) > 0
        inflow = rules.compute_rate(account) * rules.window_s
        assert capacity + inflow <= rate * rules.window_s + burst + 1e-9


def test_holders_follow_from_the_nodes_alone() -> None:
    """Whatever tables a node had before, all agree on who holds a part."""
    source = random.Random(3)
    pool = [
        quota_mesh.make_node(f"n{number}", f"d{number % 3}")
        for number in range(24)
    ]
    parts: quota_parts.PartMap | None = None
    nodes = list(pool)
    for _ in range(400):
        node = source.choice(pool)
        if node not in nodes:
            nodes.append(node)
        elif len(nodes) > 1:
            nodes.remove(node)
        parts = quota_parts.PartMap(nodes, parts)
        fresh = quota_parts.PartMap(nodes)
        for account in ("a", "b", "c"):
            assert parts.find_holders(account) == fresh.find_holders(account)


def make_ledger() -> quota_ledger.QuotaLedger:
    """Returns the ledger of an entry with one holder, `h`."""
    parts = quota_parts.PartMap((quota_mesh.make_node("h", "d"),))
    return quota_ledger.QuotaLedger(
        node_id="e", rules=RULES, find_parts=lambda: parts
    )


def ask_one(ledger: quota_ledger.QuotaLedger, now: float) -> messages.Ask:
    """Returns the ask of a request that waits."""
    ledger.change_waiting("large", 1)
    [send] = ledger.plan_asks("large", now)
    ledger.change_waiting("large", -1)
    assert isinstance(send.message, messages.Ask)
    return send.message


def test_token_of_a_request_that_did_not_run_comes_back_once() -> None:
    """A later ask has reported it as used, so that it can't come back."""
    ledger = make_ledger()
    ask = ask_one(ledger, 10.0)
    grant = messages.Grant(account="large", stamp=ask.stamp, total=2)
    ledger.receive("h", grant, 10.01)
    first = ledger.take("large", 10.02)
    assert first is not None
    assert ledger.give_back(first)
    assert not ledger.give_back(first)
    second = ledger.take("large", 10.03)
    assert second is not None
    assert ask_one(ledger, 10.04).held == 1
    assert not ledger.give_back(second)


def test_answers_to_older_asks_and_old_tokens_are_worthless() -> None:
    """An answer that was held up could name tokens that are granted again."""
    ledger = make_ledger()
    late = ask_one(ledger, 10.0)
    assert ledger.plan_asks("large", 10.05) == ()
    ledger.change_waiting("large", 1)
    assert ledger.plan_asks("large", 10.05) == ()
    assert ledger.judge("large", 10.05)[0] is quota_ledger.Verdict.UNKNOWN
    ask = ask_one(ledger, 11.1)
    grant = messages.Grant(account="large", stamp=late.stamp, total=5)
    ledger.receive("h", grant, 11.11)
    assert ledger.take("large", 11.12) is None
    grant = messages.Grant(account="large", stamp=ask.stamp, total=5)
    ledger.receive("h", grant, 11.13)
    assert ask.is_short
    assert ledger.take("large", 11.1 + RULES.short_lease_s) is None
    assert ledger.take("large", 11.09 + RULES.short_lease_s) is not None


def test_refusal_names_the_time_of_the_next_token() -> None:
    """Over the quota only if every holder says so; else the node can't tell."""
    ledger = make_ledger()
    for state, verdict in (
        (messages.HolderState.EMPTY, quota_ledger.Verdict.OVER),
        (messages.HolderState.NOT_READY, quota_ledger.Verdict.UNKNOWN),
    ):
        now = 10.0 * (1 + state.value)
        ask = ask_one(ledger, now)
        answer = messages.Grant(
            account="large",
            stamp=ask.stamp,
            total=0,
            state=state,
            retry_ms=300,
        )
        ledger.receive("h", answer, now)
        found, retry_s = ledger.judge("large", now)
        assert found is verdict
        assert abs(retry_s - 0.3) < 0.001
        assert ledger.judge("large", now + 0.31) == (
            quota_ledger.Verdict.WAIT,
            0.0,
        )


load_tests = fixtures.collect(__name__)
