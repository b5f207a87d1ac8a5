"""Owner side: receives large bodies in parts, before their requests."""

import dataclasses
import time

from lovagesaddle.core.routing import admission_events
from lovagesaddle.core.routing import body_scheduler
from lovagesaddle.http import hop
from lovagesaddle.http import watchdog
from lovagesaddle.node import body_receiver as body_receiver_lib
from lovagesaddle.node import owned_server
from lovagesaddle.node import owner_answers
from lovagesaddle.node import stop_limit as stop_limit_lib
from lovagesaddle.observability import logs

SERVER_UNKNOWN = "server-unknown"
BODY_LOST = "body-lost"
_log = logs.get_logger("owner")


class OfferedBodies:
    """Grants turns to large bodies that entries offer, and collects them.

    Args:
      body_receiver: Receives bodies in parts; None if every body comes in one
        piece.
      stop_limit: Refuses what this node can't answer before it stops.
    """

    def __init__(
        self,
        body_receiver: body_receiver_lib.BodyReceiver | None,
        stop_limit: stop_limit_lib.StopLimit,
    ) -> None:
        self._body_receiver = body_receiver
        self._stop_limit = stop_limit

    def offer(
        self,
        owned: owned_server.OwnedServer | None,
        offer: hop.BodyOffer,
        guard: watchdog.Guard,
    ) -> hop.RunAnswer | hop.BodyTaken:
        """Waits until a large body may be sent, or refuses its request.

        Args:
          owned: The server of the request; None if it is not open here.
          offer: Describes the body.
          guard: Ends the wait at its deadline or when the entry disconnects.
        """
        if owned is None or self._body_receiver is None:
            return owner_answers.make_refusal(offer, SERVER_UNKNOWN, owned)
        run_s = owned.estimate_run_time(offer.route)
        with owned.lock:
            reason = owned.admission.check_capacity(time.monotonic())
        if self._stop_limit.refuses(
            attempt=offer.attempt_id,
            deadline=guard.deadline,
            kind=offer.route,
            estimate_run_time=lambda: run_s,
        ):
            reason = admission_events.RefusalReason.DRAINING
        if reason is not None:
            return owner_answers.make_refusal(offer, reason.value, owned)
        decision = self._body_receiver.offer(
            body_scheduler.Offered(
                attempt_id=offer.attempt_id,
                body_bytes=offer.body_bytes,
                priority=offer.priority,
                latest_at=guard.deadline - run_s,
            ),
            guard,
        )
        match decision:
            case body_scheduler.Granted():
                return hop.BodyTaken(attempt_id=offer.attempt_id)
            case body_scheduler.Declined():
                reason = admission_events.RefusalReason.DEADLINE
                after_s = decision.retry_after_s
            case None:
                reason, after_s = admission_events.RefusalReason.CANCELLED, 0.0
        return owner_answers.make_refusal(offer, reason.value, owned, after_s)

    def receive_part(
        self, owned: owned_server.OwnedServer | None, part: hop.BodyPart
    ) -> hop.RunAnswer | hop.BodyTaken:
        """Receives a part of a body, or refuses its request."""
        if owned is None or self._body_receiver is None:
            return owner_answers.make_refusal(part, SERVER_UNKNOWN, owned)
        if owned.draining or owned.down:
            self._body_receiver.drop(part.attempt_id)
            reason = admission_events.RefusalReason.SERVER_DOWN
            if owned.draining:
                reason = admission_events.RefusalReason.DRAINING
            return owner_answers.make_refusal(part, reason.value, owned)
        if self._body_receiver.add_part(
            part.attempt_id, part.offset, part.data
        ):
            return hop.BodyTaken(attempt_id=part.attempt_id)
        return owner_answers.make_refusal(part, BODY_LOST, owned)

    def complete(self, request: hop.RunRequest) -> hop.RunRequest | None:
        """Returns the request with its whole body; None if incomplete."""
        if self._body_receiver is None:
            return None
        body = self._body_receiver.finish(
            request.attempt_id, request.offset, request.body
        )
        if body is None:
            _log.warning("body_lost", attempt=request.attempt_id)
            return None
        return dataclasses.replace(request, body=body)

    def drop(self, request: hop.RunRequest) -> None:
        """Discards the parts of a request that is not run."""
        if self._body_receiver is not None and request.offset:
            self._body_receiver.drop(request.attempt_id)
