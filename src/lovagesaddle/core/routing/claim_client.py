"""Entry side: claims an Idempotency-Key before its request runs.

The request runs only if a majority of the shard's holders grant the claim in
one epoch. Otherwise the caller gets the stored answer, waits for the request
that holds the claim, or is refused.
"""

import dataclasses
import enum

from lovagesaddle.core import state_machine
from lovagesaddle.core.model import outcomes
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_events as events
from lovagesaddle.core.routing import claim_message_builder
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_settlement
from lovagesaddle.core.routing import claim_tally
from lovagesaddle.core.routing import pick_policies

ROUND_TIMEOUT_S = 0.25
# Mean pause between two rounds; each pause is 0.5 to 1.5 times as long.
ROUND_PAUSE_S = 0.05
# Time after which a claim without a majority is refused, while no other claim
# on its key is known.
NO_MAJORITY_TIMEOUT_S = 2.0
# Maximum time from the end of a round to the evaluation of its votes; after
# that, the votes are ignored.
STALE_VOTES_S = 5.0


class _Phase(enum.Enum):
    VOTING = "voting"
    PAUSED = "paused"
    RUNNING = "running"
    SETTLING = "settling"
    OVER = "over"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOptions:
    """Identity of a claim, its deadline and its shard.

    Attributes:
      claim_id: Digest of service, client and key; see `claim_keys`.
      body_digest: Digest of method, target and body.
      token: Unique among all requests of all nodes, also over restarts.
      deadline: Monotonic time by which the caller gets an answer, in seconds.
      shard: The claim's shard by the entry node's snapshot.
    """

    claim_id: bytes
    body_digest: bytes
    token: str
    deadline: float
    shard: snapshots.Shard


class ClaimClient(state_machine.StateMachine[events.Event, events.Action]):
    """State machine of the claim that one request makes on its key.

    Args:
      options: Identity of the claim.
      source: Source of random numbers, for the pauses between rounds.
    """

    def __init__(
        self, *, options: ClaimOptions, source: pick_policies.RandomSource
    ) -> None:
        self._options = options
        self._random = source
        self._shard = options.shard
        self._builder = claim_message_builder.ClaimMessageBuilder(
            number=options.shard.number,
            claim_id=options.claim_id,
            body_digest=options.body_digest,
            token=options.token,
            deadline=options.deadline,
        )
        self._phase = _Phase.VOTING
        self._round = 0
        self._tally = claim_tally.VoteTally(
            shard=self._shard, round_=0, body_digest=options.body_digest
        )
        self._started_at = 0.0
        self._has_seen_other = False
        self._round_deadline = 0.0
        self._settlement: claim_settlement.Settlement | None = None

    @property
    def token(self) -> str:
        """Token of the claim, which holders repeat in every answer."""
        return self._options.token

    def step(
        self, event: events.Event, now: float
    ) -> tuple[events.Action, ...]:
        """Handles one event."""
        if self._phase is _Phase.OVER:
            return ()
        match event:
            case events.Started():
                self._started_at = now
                return self._open_round(now)
            case events.Received():
                return self._receive(event, now)
            case events.TimerFired():
                return self._handle_timer(now)
            case events.ShardChanged():
                return self._change_shard(event.shard, now)
            case events.Ended():
                return self._settle(event, now)

    def _open_round(self, now: float) -> tuple[events.Action, ...]:
        self._phase = _Phase.VOTING
        self._round += 1
        self._tally = claim_tally.VoteTally(
            shard=self._shard,
            round_=self._round,
            body_digest=self._options.body_digest,
        )
        self._round_deadline = min(
            now + ROUND_TIMEOUT_S, self._options.deadline
        )
        request = messages.ClaimRequest(
            shard=self._shard.number,
            epoch=self._shard.epoch,
            record=self._builder.build_claim(self._round, now),
        )
        timer = events.SetTimer(at=self._round_deadline)
        return (*self._send_all(request), timer)

    def _send_all(self, message: messages.ClaimMessage) -> list[events.Send]:
        return [
            events.Send(node_id=holder.node_id, message=message)
            for holder in self._shard.holders
        ]

    def _receive(
        self, event: events.Received, now: float
    ) -> tuple[events.Action, ...]:
        message = event.message
        if isinstance(message, messages.Settled):
            if self._settlement is None or message.round != self._round:
                return ()
            return self._end_if_finished(
                self._settlement.count_acknowledgement(event.sender_id)
            )
        voting = self._phase is _Phase.VOTING
        if not isinstance(message, messages.ClaimVote) or not voting:
            return ()
        if message.token != self._options.token:
            return ()
        self._tally.add_vote(event.sender_id, message)
        return self._evaluate_votes(now, final=False)

    def _evaluate_votes(
        self, now: float, *, final: bool
    ) -> tuple[events.Action, ...]:
        if now - self._round_deadline > STALE_VOTES_S:
            # This process was suspended, so the votes may be out of date.
            return self._pause(now)
        result = self._tally.evaluate(final=final)
        match result.kind:
            case claim_tally.ResultKind.OPEN:
                return ()
            case claim_tally.ResultKind.GRANTED:
                return self._start_request(now)
            case claim_tally.ResultKind.ANSWERED:
                return self._replay(result.answer)
            case claim_tally.ResultKind.OTHER_BODY:
                return self._refuse(
                    422,
                    outcomes.RequestOutcome.NOT_RUN,
                    events.RefusalReason.OTHER_BODY,
                )
            case claim_tally.ResultKind.ENDED_UNKNOWN:
                return self._refuse_unknown(
                    events.RefusalReason.OUTCOME_UNKNOWN
                )
            case claim_tally.ResultKind.IN_PROGRESS:
                self._has_seen_other = True
        return self._pause(now)

    def _start_request(self, now: float) -> tuple[events.Action, ...]:
        if now >= self._options.deadline:
            # No other attempt ran either, since a majority knows of none.
            return self._refuse(
                504,
                outcomes.RequestOutcome.NOT_RUN,
                events.RefusalReason.DEADLINE,
            )
        self._phase = _Phase.RUNNING
        return (events.Run(),)

    def _pause(self, now: float) -> tuple[events.Action, ...]:
        """Releases this round, so that another claimant can get a majority."""
        if now >= self._compute_give_up_time():
            return self._give_up()
        self._phase = _Phase.PAUSED
        resume_at = now + ROUND_PAUSE_S * (0.5 + self._random.random())
        timer = events.SetTimer(at=min(resume_at, self._options.deadline))
        return (*self._release(), timer)

    def _compute_give_up_time(self) -> float:
        if self._has_seen_other:
            return self._options.deadline
        return min(
            self._options.deadline, self._started_at + NO_MAJORITY_TIMEOUT_S
        )

    def _give_up(self) -> tuple[events.Action, ...]:
        if self._has_seen_other:
            return self._refuse_unknown(events.RefusalReason.IN_PROGRESS)
        return self._refuse_unknown(events.RefusalReason.NO_MAJORITY)

    def _release(self) -> list[events.Send]:
        return self._send_all(self._builder.build_release(self._round))

    def _replay(
        self, answer: messages.StoredAnswer | None
    ) -> tuple[events.Action, ...]:
        if answer is None or not answer.kept:
            return self._refuse_unknown(events.RefusalReason.ANSWER_NOT_KEPT)
        self._phase = _Phase.OVER
        return (*self._release(), events.Replay(answer=answer), events.Finish())

    def _refuse_unknown(
        self, reason: events.RefusalReason
    ) -> tuple[events.Action, ...]:
        # The outcome is unknown, since another attempt with this key may have
        # run and the caller regards both attempts as one request.
        status = 503 if reason is events.RefusalReason.NO_MAJORITY else 409
        return self._refuse(status, outcomes.RequestOutcome.UNKNOWN, reason)

    def _refuse(
        self,
        status: int,
        outcome: outcomes.RequestOutcome,
        reason: events.RefusalReason,
    ) -> tuple[events.Action, ...]:
        self._phase = _Phase.OVER
        refusal = events.Refuse(status=status, outcome=outcome, reason=reason)
        return (*self._release(), refusal, events.Finish())

    def _handle_timer(self, now: float) -> tuple[events.Action, ...]:
        match self._phase:
            case _Phase.VOTING:
                if now < self._round_deadline:
                    return (events.SetTimer(at=self._round_deadline),)
                return self._evaluate_votes(now, final=True)
            case _Phase.PAUSED:
                if now >= self._compute_give_up_time():
                    return self._give_up()
                return self._open_round(now)
            case _Phase.SETTLING if self._settlement is not None:
                return self._end_if_finished(self._settlement.resend(now))
            case _:
                return ()

    def _change_shard(
        self, shard: snapshots.Shard, now: float
    ) -> tuple[events.Action, ...]:
        if shard.number != self._shard.number:
            return ()
        if shard.epoch <= self._shard.epoch:
            return ()
        released = self._release() if self._phase is _Phase.VOTING else []
        self._shard = shard
        if self._phase is _Phase.VOTING:
            return (*released, *self._open_round(now))
        if self._settlement is not None:
            return self._settlement.restart(shard, now)
        return ()

    def _settle(
        self, event: events.Ended, now: float
    ) -> tuple[events.Action, ...]:
        if self._phase is not _Phase.RUNNING:
            return ()
        self._phase = _Phase.SETTLING
        settlement = claim_settlement.Settlement(
            end=self._builder.build_end(event, self._round, now),
            shard=self._shard,
            started_at=now,
        )
        self._settlement = settlement
        return settlement.send(now)

    def _end_if_finished(
        self, actions: tuple[events.Action, ...]
    ) -> tuple[events.Action, ...]:
        if actions and isinstance(actions[-1], events.Finish):
            self._phase = _Phase.OVER
        return actions
