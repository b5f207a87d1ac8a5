"""Tests of how client accounts share an owner's room under overload."""

import collections
import random

from lovagesaddle.core.routing import admission
from lovagesaddle.core.routing import admission_events as events
from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import queues
from tests import fixtures

SLOTS = 5
RUN_S = 0.15
TARGET_S = 0.45
DEADLINE_S = 1.0
ACCOUNTS = 12
STEP_S = 0.005
# Requests a second of all accounts together, of about 33 that fit.
USUAL_RATE = 24.0
HOT_FACTOR = 9.0
HOT_FROM_S = 20.0
HOT_UNTIL_S = 32.0


class _Replay:
    """One owner and the requests of some accounts.

    Attributes:
      counts: Outcomes of each account's requests in the hot time.
    """

    def __init__(self, ranks: dict[str, int], hot: str) -> None:
        self._ranks, self._hot = ranks, hot
        self._source = random.Random(7)
        self._owner = admission.Admission(
            limit=concurrency_limits.FixedLimit(SLOTS),
            order=queues.FairShareOrder(),
        )
        self._ends: list[tuple[float, str]] = []
        self._now = 0.0
        self.counts = {name: collections.Counter[str]() for name in ranks}

    def run(self) -> None:
        """Replays the usual load, and then the hot account."""
        number = 0
        while self._now < HOT_UNTIL_S:
            self._now += STEP_S
            self._end_runs()
            for name in self._ranks:
                if self._source.random() < self._compute_rate(name) * STEP_S:
                    number += 1
                    self._arrive(name, f"{name}/{number}")

    def _compute_rate(self, name: str) -> float:
        is_hot = name == self._hot and self._now >= HOT_FROM_S
        factor = HOT_FACTOR if is_hot else 1.0
        return USUAL_RATE / len(self._ranks) * factor

    def _end_runs(self) -> None:
        for ended in [each for each in self._ends if each[0] <= self._now]:
            self._ends.remove(ended)
            self._step(events.Ended(request_id=ended[1]))

    def _arrive(self, name: str, request_id: str) -> None:
        self._step(
            events.Arrived(
                request_id=request_id,
                priority=1,
                deadline=self._now + DEADLINE_S,
                target=self._now + TARGET_S,
                kind="browse",
                account=name,
                account_rank=self._ranks[name],
            )
        )

    def _step(self, event: events.Event) -> None:
        for action in self._owner.step(event, self._now):
            if isinstance(action, events.Drained):
                continue
            if isinstance(action, events.Admitted):
                run_s = RUN_S * self._source.uniform(0.7, 1.3)
                self._ends.append((self._now + run_s, action.request_id))
            if self._now >= HOT_FROM_S:
                name = action.request_id.partition("/")[0]
                is_served = isinstance(action, events.Admitted)
                outcome = "served" if is_served else "refused"
                self.counts[name][outcome] += 1


def _replay(
    ranks: dict[str, int], hot: str
) -> dict[str, collections.Counter[str]]:
    """Returns the outcomes of each account's requests in the hot time.

    Args:
      ranks: Rank of each account.
      hot: Account that sends nine times its usual for a while.
    """
    replay = _Replay(ranks, hot)
    replay.run()
    return replay.counts


def _get_share(counts: collections.Counter[str]) -> float:
    return counts["served"] / max(1, counts.total())


def test_hot_account_hurts_itself_first() -> None:
    """Nine times the usual of one account took the room of the others."""
    names = [f"a{number}" for number in range(ACCOUNTS)]
    counts = _replay(dict.fromkeys(names, 0), hot="a0")
    total = sum(counts.values(), collections.Counter[str]())
    others = total - counts["a0"]
    # All that the others send would fit.
    assert _get_share(others) >= 0.9
    assert _get_share(counts["a0"]) <= 0.8 * _get_share(others)
    # Nobody is served less than a quarter as often as all.
    for name in names:
        assert _get_share(counts[name]) >= 0.25 * _get_share(total), name
    # The room that the others leave is not wasted.
    assert total["served"] * RUN_S >= 0.9 * SLOTS * (HOT_UNTIL_S - HOT_FROM_S)


def test_rank_of_an_account_goes_first_and_starves_nobody() -> None:
    """All send too much; the urgent account gets more, the last a quarter."""
    names = [f"a{number}" for number in range(ACCOUNTS)]
    ranks = {name: number % 3 for number, name in enumerate(names)}
    counts = _replay(ranks, hot="a1")
    total = sum(counts.values(), collections.Counter[str]())
    by_rank = [
        sum(
            (counts[name] for name in names if ranks[name] == rank),
            collections.Counter[str](),
        )
        for rank in range(3)
    ]
    assert _get_share(by_rank[0]) >= 0.9
    assert _get_share(by_rank[0]) >= _get_share(by_rank[2])
    for name in names:
        assert _get_share(counts[name]) >= 0.25 * _get_share(total), name


def test_order_without_accounts_is_that_of_kinds() -> None:
    """Where nobody has an account, ranks and shares decide as before."""
    order = queues.FairShareOrder()
    waiting = [
        queues.Waiting(
            request_id=f"r{number}",
            priority=priority,
            deadline=2.0,
            target=1.0 + number / 10,
            arrived_at=0.0,
            number=number,
        )
        for number, priority in enumerate((2, 0, 1))
    ]
    shares = (0.2, 0.9, 0.4)
    keys = [
        order.make_sort_key(
            each, queues.KindStats(run_s=0.1, served_share=share), 0.0
        )
        for each, share in zip(waiting, shares, strict=True)
    ]
    plain = [
        (
            int(
                share
                / queues.compute_due_share(each.priority)
                / queues.SHARE_STEP
            ),
            each.priority,
            each.target,
        )
        for each, share in zip(waiting, shares, strict=True)
    ]
    before = sorted(range(3), key=lambda number: plain[number])
    assert sorted(range(3), key=lambda number: keys[number]) == before


load_tests = fixtures.collect(__name__)
