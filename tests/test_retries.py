"""Tests of the retry budget."""

from lovagesaddle.core.routing import retries
from tests import fixtures

SHARE = 0.15
BUCKET = 5.0


def test_tokens_go_to_the_urgent_when_all_servers_shed() -> None:
    """Of requests that are shed equally, urgent ones are retried first.

    A quarter of the requests has rank 1, the rest rank 2, and half of each is
    shed; the retries of rank 1 alone need most of the budget.
    """
    policy = retries.RetryBudget(cap=1, share=SHARE, bucket=BUCKET)
    asked = {1: 0, 2: 0}
    allowed = {1: 0, 2: 0}
    for number in range(4000):
        priority = 1 if number % 4 == 0 else 2
        policy.count_call()
        if number % 8 < 4:
            asked[priority] += 1
            allowed[priority] += policy.allow(0, priority)
    assert allowed[1] >= 0.95 * asked[1], (asked, allowed)
    spent = allowed[1] + allowed[2]
    assert spent <= SHARE * 4000 + BUCKET
    # Tokens that the urgent requests don't need go to the others.
    assert spent >= 0.95 * SHARE * 4000


def test_bucket_of_one_token_serves_every_rank() -> None:
    """A node with a small part of the reserve still retries every rank."""
    policy = retries.RetryBudget(cap=1, share=0.0, bucket=1.0)
    assert policy.allow(0, 2)
    assert not policy.allow(0, 2)


def test_late_rank_is_repeated_while_the_bucket_is_full() -> None:
    """Without a shortage of tokens the rank makes no difference."""
    policy = retries.RetryBudget(cap=1, share=1.0, bucket=BUCKET)
    for _ in range(100):
        policy.count_call()
        assert policy.allow(0, 7)


def test_restarts_of_nodes_add_nothing_to_the_shared_reserve() -> None:
    """A restarted node had its part of the reserve once more."""
    reserve = 60.0
    nodes = 12
    spent = calls = 0
    for _ in range(5):
        for _ in range(nodes):
            # A node starts, and all of its first calls fail.
            policy = retries.RetryBudget(cap=1, share=SHARE, reserve=reserve)
            policy.set_node_count(nodes)
            for _ in range(10):
                policy.count_call()
                calls += 1
                spent += policy.allow(0)
    assert spent <= SHARE * calls + reserve, (spent, calls)


load_tests = fixtures.collect(__name__)
