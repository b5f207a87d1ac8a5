"""Runs a call behind the claim on its Idempotency-Key."""

from collections.abc import Callable

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_messages
from lovagesaddle.node import call_results
from lovagesaddle.node import claims as claims_lib

MAX_KEPT_BYTES = 64 * 1024
REPLAYED = ("Idempotency-Replayed", "true")
# An earlier request with the key may have run through a node that learnt of
# the shards before this one, so this is no proof of the contrary.
NO_SHARDS = call_results.Failed(
    status=503,
    outcome=outcomes.RequestOutcome.UNKNOWN,
    reason=claim_events.RefusalReason.NO_MAJORITY.value,
    retry_after_s=1.0,
)


def run_claimed(
    claim: claims_lib.Claim | None, run: Callable[[], call_results.CallResult]
) -> call_results.CallResult:
    """Runs a call once its claim is granted.

    Args:
      claim: On its key; None when there is no shard map yet.
      run: Carries out the call.
    """
    if claim is None:
        return result.Failure(NO_SHARDS)
    verdict = claim.acquire()
    match verdict:
        case claim_events.Replay():
            return result.Success(_restore(verdict.answer))
        case claim_events.Refuse():
            return result.Failure(
                call_results.Failed(
                    status=verdict.status,
                    outcome=verdict.outcome,
                    reason=verdict.reason.value,
                )
            )
        case claim_events.Run():
            pass
    try:
        ended = run()
    except Exception:
        claim.settle(
            claim_events.Ended(outcome=outcomes.RequestOutcome.UNKNOWN)
        )
        raise
    claim.settle(_describe(ended))
    return ended


def _describe(ended: call_results.CallResult) -> claim_events.Ended:
    match ended:
        case result.Success(answered):
            return claim_events.Ended(outcome=None, answer=_store(answered))
        case result.Failure(failed):
            return claim_events.Ended(outcome=failed.outcome)
    raise AssertionError("unreachable")


def _store(answered: call_results.Answered) -> claim_messages.StoredAnswer:
    kept = len(answered.body) <= MAX_KEPT_BYTES
    return claim_messages.StoredAnswer(
        status=answered.status,
        headers=tuple(
            claim_messages.Header(name=name, value=value)
            for name, value in answered.headers
        ),
        body=answered.body if kept else b"",
        kept=kept,
    )


def _restore(stored: claim_messages.StoredAnswer) -> call_results.Answered:
    headers = tuple((each.name, each.value) for each in stored.headers)
    failed = stored.status >= call.FIRST_FAILURE_STATUS
    return call_results.Answered(
        status=stored.status,
        headers=(*headers, REPLAYED),
        body=stored.body,
        outcome=outcomes.RequestOutcome.UNKNOWN if failed else None,
    )
