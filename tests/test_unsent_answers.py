"""Tests of the memory budget of answers that were read but not yet sent."""

from collections.abc import Iterator
import contextlib
import socket

from lovagesaddle.http import answer_budget
from lovagesaddle.http import applications
from lovagesaddle.http import server as server_lib
from lovagesaddle.http import thread_pools
from lovagesaddle.http import wsgi
from tests import fixtures
from tests import nodes

# More than the buffers of both ends of a connection hold.
BODY_BYTES = 32 * 1024 * 1024
BUDGET = answer_budget.AnswerBudget(4 * 8 * BODY_BYTES)


class _Application(applications.Application):
    """Answers with the body of an answer that it has read itself."""

    def __init__(self) -> None:
        self.is_answered = False

    def answer(self, request: wsgi.IncomingRequest) -> wsgi.Answer:
        """Returns a long answer, whose bytes count to the budget."""
        del request
        allocation = answer_budget.Allocation(BUDGET)
        assert allocation.grow(BODY_BYTES)
        answer_budget.keep(allocation)
        self.is_answered = True
        return wsgi.Answer(status=200, body=bytes(BODY_BYTES))


@contextlib.contextmanager
def _ask() -> Iterator[socket.socket]:
    """Sends a request; returns once all but the sending is done."""
    application = _Application()
    dispatcher = thread_pools.PoolDispatcher(
        threads={thread_pools.PoolKind.CALLER: 1},
        classify=lambda _: thread_pools.PoolKind.CALLER,
    )
    with (
        server_lib.HttpServer(
            application=application,
            dispatcher=dispatcher,
            options=server_lib.ServerOptions(
                address=nodes.ANY, max_body_bytes=1
            ),
        ) as server,
        nodes.open_request(server.address) as caller,
    ):
        nodes.wait_for(
            lambda: (
                application.is_answered
                and not server._server.list_open_requests()
            ),
            "the thread",
        )
        yield caller


def test_answer_counts_until_its_caller_has_it() -> None:
    """Answers on their way to slow callers held memory beyond the budget."""
    with _ask() as caller:
        assert BUDGET.held_bytes > BODY_BYTES // 2
        received = 0
        while received < BODY_BYTES:
            part = caller.recv(1024 * 1024)
            assert part
            received += len(part)
        nodes.wait_for(lambda: not BUDGET.held_bytes, "the release")


def test_answer_to_a_caller_that_left_is_released() -> None:
    """Its memory would have been missing until the node's end."""
    with _ask() as caller:
        assert BUDGET.held_bytes > BODY_BYTES // 2
        caller.close()
        nodes.wait_for(lambda: not BUDGET.held_bytes, "the release")


def test_answer_on_a_thread_that_serves_nobody_is_released() -> None:
    """Health checks and messages between processes answer no request."""
    allocation = answer_budget.Allocation(BUDGET)
    assert allocation.grow(BODY_BYTES)
    answer_budget.keep(allocation)
    assert not BUDGET.held_bytes


load_tests = fixtures.collect(__name__)
