"""Runs requests with an Idempotency-Key at most once for each key."""

from collections.abc import Callable
import hashlib

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import gateway
from lovagesaddle.http import watchdog
from lovagesaddle.node import attempts
from lovagesaddle.node import claims as claims_lib
from lovagesaddle.observability import logs

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
REPLAYED = ("Idempotency-Replayed", "true")
NOT_ASSIGNED = "claims are not assigned to nodes yet"
_log = logs.get_logger("keyed")

Run = Callable[[], attempts.Ended]


def read_key(request: gateway.Incoming) -> str | None:
    """Returns the request's Idempotency-Key; None if it has no meaning.

    A safe method changes nothing, so its key is passed over.
    """
    if request.method in SAFE_METHODS:
        return None
    return request.headers.get(claim_keys.KEY_HEADER.lower())


def make_keyed(
    *,
    key: str,
    match: table_lib.Match,
    access: table_lib.Access,
    request: gateway.Incoming,
    body: bytes,
    deadline: float,
) -> claims_lib.Keyed:
    """Returns what is claimed for a request.

    Args:
      key: A valid Idempotency-Key.
      match: The matched route.
      access: Who sends the request.
      request: The request.
      body: Its whole body.
      deadline: Monotonic time by which the caller has its answer, in seconds.
    """
    return claims_lib.Keyed(
        claim_id=claim_keys.compute_claim_id(
            service=match.service,
            client=f"{access.reason.value}:{access.client}",
            key=key,
        ),
        request_digest=claim_keys.compute_request_digest(
            method=request.method,
            target=request.target,
            body_digest=hashlib.sha256(body).digest(),
        ),
        deadline=deadline,
    )


class KeyedCalls:
    """Claims a key before its request runs, and keeps the answer.

    Args:
      claims: This node's part in claims.
    """

    def __init__(self, claims: claims_lib.Claims) -> None:
        self._claims = claims

    def run(
        self,
        keyed: claims_lib.Keyed,
        run: Run,
        guard: watchdog.Guard,
        request_id: str,
    ) -> attempts.Ended:
        """Returns the answer of the one run that the key may have.

        Args:
          keyed: What is claimed.
          run: Runs the request; called once at most.
          guard: Watches caller and deadline.
          request_id: For the log.
        """
        claim = self._claims.open(keyed)
        if claim is None:
            # An earlier request with the key may have run before this node
            # learnt of the shards, so this is no proof of the contrary.
            return _fail(503, outcomes.RequestOutcome.UNKNOWN, NOT_ASSIGNED)
        try:
            decision = claim.acquire(guard)
            _log.info(
                "claim_decided",
                request=request_id,
                shard=claim.shard_number,
                decision=_name(decision),
            )
            return self._follow(claim, decision, run, request_id)
        finally:
            self._claims.leave(claim)

    def _follow(
        self,
        claim: claims_lib.Claim,
        decision: claims_lib.Decision | None,
        run: Run,
        request_id: str,
    ) -> attempts.Ended:
        match decision:
            case events.Run():
                return self._run(claim, run, request_id)
            case events.Replay():
                return result.Success(_read_stored(decision.answer))
            case events.Refuse():
                return _fail(
                    decision.status, decision.outcome, decision.reason.value
                )
            case None:
                return _fail(
                    attempts.GONE_STATUS,
                    outcomes.RequestOutcome.NOT_RUN,
                    attempts.GONE_REASON,
                )

    def _run(
        self, claim: claims_lib.Claim, run: Run, request_id: str
    ) -> attempts.Ended:
        try:
            ended = run()
        except BaseException:
            claim.settle(events.Ended(outcome=outcomes.RequestOutcome.UNKNOWN))
            raise
        if not claim.settle(_describe_end(ended)):
            _log.warning(
                "claim_not_settled", request=request_id, token=claim.token
            )
        return ended


def _describe_end(ended: attempts.Ended) -> events.Ended:
    match ended:
        case result.Success(answered):
            headers = tuple(
                messages.Header(name=name, value=value)
                for name, value in answered.headers
            )
            stored = messages.StoredAnswer(
                status=answered.status, headers=headers, body=answered.body
            )
            return events.Ended(outcome=None, answer=stored)
        case result.Failure(failed):
            return events.Ended(outcome=failed.outcome)
    raise AssertionError("unreachable")


def _read_stored(stored: messages.StoredAnswer) -> attempts.Answered:
    headers = tuple((header.name, header.value) for header in stored.headers)
    failed = stored.status >= attempts.FIRST_FAILURE_STATUS
    return attempts.Answered(
        status=stored.status,
        headers=(*headers, REPLAYED),
        body=stored.body,
        outcome=outcomes.RequestOutcome.UNKNOWN if failed else None,
    )


def _fail(
    status: int, outcome: outcomes.RequestOutcome, reason: str
) -> attempts.Ended:
    return result.Failure(
        attempts.Failed(status=status, outcome=outcome, reason=reason)
    )


def _name(decision: claims_lib.Decision | None) -> str:
    match decision:
        case events.Run():
            return "run"
        case events.Replay():
            return "replay"
        case events.Refuse():
            return decision.reason.value
        case None:
            return attempts.GONE_REASON
