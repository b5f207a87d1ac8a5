"""Holder side: votes on claims and transfers them between epochs.

Two claimants can't both get a majority in one epoch, since a holder grants a
key only once. A holder of a new epoch first pulls the claims of the former
holders, which then no longer vote in their epoch. It votes only when every
majority of the former holders includes one whose claims it has. A node that
restarted counts as another holder.
"""

import dataclasses

from lovagesaddle.core import state_machine
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull
from lovagesaddle.core.routing import claim_records

FIRST_EPOCH = 1
EXPIRY_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Installed:
    """A newer snapshot was put in force.

    Attributes:
      shards: Its shard map.
      incarnation: Incarnation of this node in the snapshot; 0 while the
        snapshot does not contain this process's join.
    """

    shards: tuple[snapshots.Shard, ...]
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message for a holder arrived.

    Attributes:
      sender_id: Node that sent it.
      message: Any claim message; kinds not meant for holders are ignored.
    """

    sender_id: str
    message: messages.ClaimMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed; to be sent a few times a second."""


Event = Installed | Received | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message to a node, which may be this one."""

    node_id: str
    message: messages.ClaimMessage


class _ShardState:
    """State of one shard at a holder."""

    def __init__(self) -> None:
        self.records = claim_records.Records()
        self.shard: snapshots.Shard | None = None
        self.sealed_epoch = 0
        self.ready_epochs: set[int] = set()
        self.pulls: dict[int, claim_pull.Pull] = {}


class ClaimHolder(state_machine.StateMachine[Event, Send]):
    """State machine that stores and votes on claims, for one node.

    Args:
      node_id: ID of this node.
    """

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        self._incarnation = 0
        self._shard_states: dict[int, _ShardState] = {}
        self._expired_at = float("-inf")

    def step(self, event: Event, now: float) -> tuple[Send, ...]:
        """Handles one event."""
        match event:
            case Installed():
                return self._install(event, now)
            case Received():
                return self._receive(event.sender_id, event.message, now)
            case Tick():
                return self._tick(now)

    def is_ready(self, number: int) -> bool:
        """Returns whether this node currently votes on claims of a shard."""
        state = self._shard_states.get(number)
        return state is not None and self._get_denial(state) is None

    def _install(self, event: Installed, now: float) -> tuple[Send, ...]:
        self._incarnation = event.incarnation
        sends: list[Send] = []
        for shard in event.shards:
            state = self._shard_states.setdefault(shard.number, _ShardState())
            held = state.shard
            if held is not None and held.epoch >= shard.epoch:
                continue
            state.shard = shard
            state.sealed_epoch = max(state.sealed_epoch, shard.epoch)
            if self._is_holder(shard):
                sends.extend(self._start_pull(state, shard, now))
        return tuple(sends)

    def _is_holder(self, shard: snapshots.Shard) -> bool:
        own = snapshots.Holder(
            node_id=self._node_id, incarnation=self._incarnation
        )
        return bool(self._incarnation) and own in shard.holders

    def _start_pull(
        self, state: _ShardState, shard: snapshots.Shard, now: float
    ) -> list[Send]:
        if shard.epoch == FIRST_EPOCH:
            state.ready_epochs.add(shard.epoch)
            return []
        pull = claim_pull.Pull(shard=shard)
        state.pulls[shard.epoch] = pull
        return self._send_due_requests(pull, now)

    def _send_due_requests(
        self, pull: claim_pull.Pull, now: float
    ) -> list[Send]:
        return [
            Send(node_id=due.node_id, message=due.message)
            for due in pull.list_due_requests(now)
        ]

    def _tick(self, now: float) -> tuple[Send, ...]:
        should_expire = now - self._expired_at >= EXPIRY_INTERVAL_S
        sends: list[Send] = []
        for state in self._shard_states.values():
            if should_expire:
                state.records.expire(now)
            for pull in tuple(state.pulls.values()):
                self._finish_if_complete(state, pull, now)
                if pull.epoch in state.pulls:
                    sends.extend(self._send_due_requests(pull, now))
        if should_expire:
            self._expired_at = now
        return tuple(sends)

    def _receive(
        self, sender_id: str, message: messages.ClaimMessage, now: float
    ) -> tuple[Send, ...]:
        answer: messages.ClaimMessage | None = None
        match message:
            case messages.ClaimRequest():
                answer = self._vote(message, now)
            case messages.StoreRequest():
                self._get_state(message.shard).records.store(
                    message.record, now
                )
                answer = messages.Settled(
                    shard=message.shard,
                    token=message.record.token,
                    round=message.record.round,
                )
            case messages.ReleaseRequest():
                self._release(message, now)
                answer = messages.Settled(
                    shard=message.shard,
                    token=message.token,
                    round=message.round,
                )
            case messages.PullRequest():
                answer = self._answer_pull(message, now)
            case messages.PullAnswer():
                return self._receive_page(sender_id, message, now)
            case _:
                return ()
        if answer is None:
            return ()
        return (Send(node_id=sender_id, message=answer),)

    def _vote(
        self, request: messages.ClaimRequest, now: float
    ) -> messages.ClaimVote:
        state = self._get_state(request.shard)
        vote, held = self._decide_vote(state, request, now)
        return messages.ClaimVote(
            shard=request.shard,
            epoch=request.epoch,
            token=request.record.token,
            round=request.record.round,
            vote=vote,
            held=held,
        )

    def _decide_vote(
        self, state: _ShardState, request: messages.ClaimRequest, now: float
    ) -> tuple[messages.Vote, tuple[messages.Record, ...]]:
        record = request.record
        if state.shard is None or state.shard.epoch != request.epoch:
            return messages.Vote.WRONG_EPOCH, ()
        denial = self._get_denial(state)
        if denial is not None:
            return denial, ()
        held = state.records.list_claims(record.claim_id, now)
        if any(not _is_same_claim(each, record) for each in held):
            return messages.Vote.HELD, held
        if state.records.is_released(record.token, record.round):
            return messages.Vote.HELD, held
        full = len(state.records) >= claim_records.MAX_CLAIMS and not held
        if full or record.expires_s > claim_records.MAX_CLAIM_S:
            return messages.Vote.FULL, ()
        state.records.store(record, now)
        return messages.Vote.GRANTED, ()

    def _get_denial(self, state: _ShardState) -> messages.Vote | None:
        shard = state.shard
        if shard is None or state.sealed_epoch > shard.epoch:
            return messages.Vote.WRONG_EPOCH
        if not self._is_holder(shard):
            return messages.Vote.WRONG_EPOCH
        if shard.epoch not in state.ready_epochs:
            return messages.Vote.NOT_READY
        return None

    def _release(self, request: messages.ReleaseRequest, now: float) -> None:
        self._get_state(request.shard).records.release(
            request.claim_id, request.token, request.round, now
        )

    def _answer_pull(
        self, request: messages.PullRequest, now: float
    ) -> messages.PullAnswer | None:
        state = self._get_state(request.shard)
        state.sealed_epoch = max(state.sealed_epoch, request.epoch)
        previous_epoch = request.epoch - 1
        if previous_epoch in state.ready_epochs:
            page = state.records.read_page(request.cursor, now)
            return messages.PullAnswer(
                shard=request.shard,
                epoch=request.epoch,
                cursor=request.cursor,
                lost=False,
                next_cursor=page.next_cursor,
                records=page.records,
            )
        if previous_epoch in state.pulls or not self._incarnation:
            return None
        is_behind = state.shard is None or state.shard.epoch < previous_epoch
        if is_behind and self._incarnation <= request.incarnation:
            # This node may still learn of the previous epoch and pull its
            # claims, so they are not reported as lost.
            return None
        return messages.PullAnswer(
            shard=request.shard,
            epoch=request.epoch,
            cursor=request.cursor,
            lost=True,
        )

    def _receive_page(
        self, sender_id: str, answer: messages.PullAnswer, now: float
    ) -> tuple[Send, ...]:
        state = self._get_state(answer.shard)
        pull = state.pulls.get(answer.epoch)
        if pull is None:
            return ()
        for record in answer.records:
            state.records.store(record, now)
        next_request = pull.receive_page(sender_id, answer, now)
        self._finish_if_complete(state, pull, now)
        if next_request is None:
            return ()
        return (Send(node_id=sender_id, message=next_request),)

    def _finish_if_complete(
        self, state: _ShardState, pull: claim_pull.Pull, now: float
    ) -> None:
        if pull.is_complete(now):
            state.ready_epochs.add(pull.epoch)
            del state.pulls[pull.epoch]

    def _get_state(self, number: int) -> _ShardState:
        return self._shard_states.setdefault(number, _ShardState())


def _is_same_claim(held: messages.Record, requested: messages.Record) -> bool:
    return (
        held.token == requested.token
        and held.state is messages.ClaimState.CLAIMED
    )
