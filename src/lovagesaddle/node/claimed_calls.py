"""Runs a call under a claim, or replays the stored answer of an earlier call.

The claims themselves are requested and held by `claims`.
"""

from collections.abc import Callable

from returns import result

from lovagesaddle.core.model import outcomes
from lovagesaddle.core.routing import call
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_messages
from lovagesaddle.node import call_results
from lovagesaddle.node import claims as claims_lib

MAX_STORED_BODY_BYTES = 64 * 1024
REPLAYED = ("Idempotency-Replayed", "true")
# The outcome is unknown: an earlier request with the same key may have run
# through another node, if that node got the shard map before this node.
_NO_HOLDERS = call_results.Failed(
    status=503,
    outcome=outcomes.RequestOutcome.UNKNOWN,
    reason=claim_events.RefusalReason.NO_MAJORITY.value,
    retry_after_s=1.0,
)


def run_claimed(
    claim: claims_lib.Claim | None, run: Callable[[], call_results.CallResult]
) -> call_results.CallResult:
    """Runs a call if its claim is granted, and stores the result.

    Args:
      claim: Claim on the key of the call; None while its shard has no holders.
      run: Runs the call.

    Returns:
      The result of the call, the stored answer of an earlier call with the key,
      or a refusal.
    """
    if claim is None:
        return result.Failure(_NO_HOLDERS)
    decision = claim.acquire()
    match decision:
        case claim_events.Replay():
            return result.Success(_decode_answer(decision.answer))
        case claim_events.Refuse():
            return result.Failure(
                call_results.Failed(
                    status=decision.status,
                    outcome=decision.outcome,
                    reason=decision.reason.value,
                )
            )
        case claim_events.Run():
            pass
    try:
        call_result = run()
    except Exception:
        claim.settle(
            claim_events.Ended(outcome=outcomes.RequestOutcome.UNKNOWN)
        )
        raise
    claim.settle(_make_event(call_result))
    return call_result


def _make_event(call_result: call_results.CallResult) -> claim_events.Ended:
    match call_result:
        case result.Success(answered):
            return claim_events.Ended(
                outcome=None, answer=_encode_answer(answered)
            )
        case result.Failure(failed):
            return claim_events.Ended(outcome=failed.outcome)
    raise AssertionError("unreachable")


def _encode_answer(
    answered: call_results.Answered,
) -> claim_messages.StoredAnswer:
    kept = len(answered.body) <= MAX_STORED_BODY_BYTES
    return claim_messages.StoredAnswer(
        status=answered.status,
        headers=tuple(
            claim_messages.Header(name=name, value=value)
            for name, value in answered.headers
        ),
        body=answered.body if kept else b"",
        kept=kept,
    )


def _decode_answer(
    stored: claim_messages.StoredAnswer,
) -> call_results.Answered:
    headers = tuple((each.name, each.value) for each in stored.headers)
    failed = stored.status >= call.FIRST_FAILURE_STATUS
    return call_results.Answered(
        status=stored.status,
        headers=(*headers, REPLAYED),
        body=stored.body,
        outcome=outcomes.RequestOutcome.UNKNOWN if failed else None,
    )
