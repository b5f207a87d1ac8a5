"""Tests of the owner side of a node."""

from collections.abc import Callable
import dataclasses
import time

from returns import result

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import graceful_shutdown
from lovagesaddle.core.routing import quarantine
from lovagesaddle.http import client
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import body_receiver as body_receiver_lib
from lovagesaddle.node import offered_bodies
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import shared_quarantine as shared_quarantine_lib
from lovagesaddle.node import stop_limit
from lovagesaddle.observability import metrics
from tests import fixtures
from tests import routing_mesh


class LateRefusal(shared_quarantine_lib.SharedQuarantine):
    """Refuses a request only when it is classified for the second time."""

    def __init__(self) -> None:
        super().__init__()
        self._verdicts = [
            quarantine.Verdict.SUSPECT,
            quarantine.Verdict.REFUSED,
        ]

    def classify(
        self, fingerprint: bytes, *, hinted: bool = False
    ) -> quarantine.Verdict:
        """Returns the next verdict."""
        del fingerprint, hinted
        return self._verdicts.pop(0)


class ForbiddenPool(client.ConnectionPool):
    """Fails the test when a request is sent to a server."""

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Raises an AssertionError."""
        del guard
        raise AssertionError(f"{address} was sent {request.target}")


def test_request_quarantined_in_the_queue_is_not_sent() -> None:
    """A suspect is classified again when it gets a slot."""
    owner = owner_lib.Owner(
        pool=ForbiddenPool(), shared_quarantine=LateRefusal()
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    answer = owner.run(routing_mesh.make_run_request("r.1"), _make_guard())
    assert answer.outcome is hop.RunOutcome.REFUSED
    assert answer.cause == hop.QUARANTINED
    assert answer.load is not None
    assert answer.load.running == 0


class ReopeningPool(client.ConnectionPool):
    """Refuses connections; runs `before_refusal` while it connects."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses: list[str] = []
        self.before_refusal: Callable[[], None] = lambda: None

    def exchange(
        self, address: str, request: client.Request, guard: watchdog.Guard
    ) -> client.ExchangeResult:
        """Returns a failure of an exchange of which nothing was sent."""
        del request, guard
        self.addresses.append(address)
        self.before_refusal()
        return result.Failure(
            client.ExchangeError(
                step="connect",
                peer=address,
                cause="refused",
                kind=client.FailureKind.NOT_SENT,
            )
        )


def test_failed_connect_to_an_ended_server_leaves_its_successor_up() -> None:
    """Only the incarnation to which an attempt was sent is marked down."""
    pool = ReopeningPool()
    owner = owner_lib.Owner(
        pool=pool, shared_quarantine=shared_quarantine_lib.SharedQuarantine()
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    pool.before_refusal = lambda: owner.open(server, "127.0.0.1:2")
    owner.run(routing_mesh.make_run_request("r.1"), _make_guard())
    pool.before_refusal = lambda: None
    for attempt_id in ("r.2", "r.3"):
        answer = owner.run(
            routing_mesh.make_run_request(attempt_id), _make_guard()
        )
        assert answer.cause == admission_events.RefusalReason.SERVER_DOWN.value
    # The successor is asked once, and is down after its own refusal.
    assert pool.addresses == ["127.0.0.1:1", "127.0.0.1:2"]


def _make_guard() -> watchdog.Guard:
    return watchdog.Guard(time.monotonic() + 60.0, lambda: False)


def _make_offer(attempt_id: str, server_id: str) -> hop.BodyOffer:
    return hop.BodyOffer(
        attempt_id=attempt_id,
        server_id=server_id,
        body_bytes=100_000,
        remaining_ms=60_000,
        priority=services.Priority.NORMAL,
    )


def test_body_is_not_sent_to_a_draining_server() -> None:
    """The request is refused before and during the transfer of its body."""
    body_receiver = body_receiver_lib.BodyReceiver(1e6)
    owner = owner_lib.Owner(
        pool=ForbiddenPool(),
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        body_receiver=body_receiver,
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    offer = _make_offer("r.1", server.server_id)
    taken = hop.BodyTaken(attempt_id="r.1")
    part = hop.BodyPart(
        attempt_id="r.1", server_id=server.server_id, offset=0, data=b"a"
    )
    assert owner.offer(offer, _make_guard()) == taken
    assert owner.receive_part(part) == taken
    owner.drain(server.server_id)
    for answer in (
        owner.receive_part(dataclasses.replace(part, offset=1)),
        owner.offer(
            dataclasses.replace(offer, attempt_id="r.2"), _make_guard()
        ),
    ):
        assert isinstance(answer, hop.RunAnswer)
        assert answer.outcome is hop.RunOutcome.REFUSED
        assert answer.cause == admission_events.RefusalReason.DRAINING.value


def test_request_that_would_outlast_the_node_is_not_run() -> None:
    """A stopping owner refuses what it could only cut, so that it moves on."""
    limit = stop_limit.StopLimit(metrics.Metrics())
    owner = owner_lib.Owner(
        pool=ForbiddenPool(),
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        body_receiver=body_receiver_lib.BodyReceiver(1e6),
        stop_limit=limit,
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    began_at = time.monotonic() - graceful_shutdown.LINGER_S
    limit.begin(graceful_shutdown.make_schedule(began_at, 10.0))
    offer = _make_offer("r.2", server.server_id)
    for answer in (
        owner.run(routing_mesh.make_run_request("r.1"), _make_guard()),
        owner.offer(offer, _make_guard()),
    ):
        assert isinstance(answer, hop.RunAnswer)
        assert answer.outcome is hop.RunOutcome.REFUSED
        assert answer.cause == admission_events.RefusalReason.DRAINING.value


def test_request_without_the_start_of_its_body_is_not_run() -> None:
    """A last part without the others is refused and not sent to a server."""
    owner = owner_lib.Owner(
        pool=ForbiddenPool(),
        shared_quarantine=shared_quarantine_lib.SharedQuarantine(),
        body_receiver=body_receiver_lib.BodyReceiver(1e6),
    )
    server = routing_mesh.make_server(0)
    owner.open(server, "127.0.0.1:1")
    request = dataclasses.replace(
        routing_mesh.make_run_request("r.1"), body=b"end", offset=10
    )
    answer = owner.run(request, _make_guard())
    assert answer.outcome is hop.RunOutcome.REFUSED
    assert answer.cause == offered_bodies.BODY_LOST


load_tests = fixtures.collect(__name__)
