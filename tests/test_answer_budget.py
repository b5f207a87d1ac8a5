"""Tests of the memory budget for answers that are being read."""

from concurrent import futures
import contextlib
import threading
import time

from bench import backend
from bench import stand_in

from lovagesaddle.http import answer_budget
from lovagesaddle.http import client
from lovagesaddle.http import watchdog
from tests import endless_server
from tests import fixtures
from tests import nodes

# The budget is an eighth of it, 1 MiB.
MEMORY_BYTES = 8 * 1024 * 1024
TOTAL_BYTES = 1024 * 1024
STEP_BYTES = 1024
ENDLESS = 3


def _fill(allocation: answer_budget.Allocation) -> int:
    """Grows an answer to its limit and returns its size in bytes."""
    grown = 0
    while allocation.grow(STEP_BYTES):
        grown += STEP_BYTES
    return grown


def test_answers_that_grow_on_leave_room_for_others() -> None:
    """One answer gets half of the budget; n leave 1 / (n + 1) of it free."""
    alone = answer_budget.AnswerBudget(MEMORY_BYTES)
    most = TOTAL_BYTES // 2 + answer_budget.ASSURED_BYTES
    assert _fill(answer_budget.Allocation(alone)) == most
    budget = answer_budget.AnswerBudget(MEMORY_BYTES)
    allocations = [answer_budget.Allocation(budget) for _ in range(ENDLESS)]
    growing = list(allocations)
    while growing:
        growing = [
            allocation for allocation in growing if allocation.grow(STEP_BYTES)
        ]
    slack = ENDLESS * STEP_BYTES
    most = TOTAL_BYTES * ENDLESS // (ENDLESS + 1) + slack
    assert budget.held_bytes <= most
    late = _fill(answer_budget.Allocation(budget))
    assert late > answer_budget.ASSURED_BYTES
    for allocation in allocations:
        allocation.release()


def test_small_answer_has_room_whatever_the_others_hold() -> None:
    """Assured bytes need no budget, and are released completely."""
    budget = answer_budget.AnswerBudget(0)
    allocations = [answer_budget.Allocation(budget) for _ in range(ENDLESS)]
    for allocation in allocations:
        assert _fill(allocation) == answer_budget.ASSURED_BYTES
        assert not allocation.has_room(1)
        allocation.release()
    assert budget.held_bytes == 0


def test_endless_answers_at_a_time_share_the_memory() -> None:
    """Several endless bodies stay within the budget; a short one is read."""
    budget = answer_budget.AnswerBudget(MEMORY_BYTES)
    gone = threading.Event()
    # Less than its limit, so that each stays open at its full size.
    body = b"x" * (TOTAL_BYTES // 8 + answer_budget.ASSURED_BYTES)
    held = endless_server.Script(first=b"HTTP/1.1 200 OK\r\n\r\n" + body)
    endless = endless_server.Script(
        first=b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"x" * STEP_BYTES
    )
    request = client.Request(method="GET", target="/", headers={}, body=b"")
    with (
        endless_server.EndlessServer(*[held] * ENDLESS, endless) as server,
        backend.Backend(stand_in.BackendOptions()) as sound,
        client.ConnectionPool(allows_unframed=True, budget=budget) as pool,
        watchdog.Watchdog() as guards,
        futures.ThreadPoolExecutor(ENDLESS) as callers,
        contextlib.ExitStack() as stack,
    ):
        # Disconnects the callers also when something below fails.
        stack.callback(gone.set)

        def exchange(address: str) -> client.ExchangeResult:
            with guards.watch(
                deadline=time.monotonic() + nodes.WAIT_S, is_gone=gone.is_set
            ) as guard:
                return pool.exchange(address, request, guard)

        waiting = [
            callers.submit(exchange, server.address) for _ in range(ENDLESS)
        ]
        least = ENDLESS * TOTAL_BYTES // 8
        nodes.wait_for(lambda: budget.held_bytes >= least, "the bodies")
        with endless_server.count_reads() as read:
            over = exchange(server.address)
        passed = exchange(sound.address)
        gone.set()
        kinds = {each.result().failure().kind for each in waiting}
    assert over.failure().kind is client.FailureKind.TOO_LARGE
    assert read.value <= TOTAL_BYTES
    assert passed.unwrap().status == 200
    assert kinds == {client.FailureKind.CANCELLED}
    assert budget.held_bytes == 0


load_tests = fixtures.collect(__name__)
