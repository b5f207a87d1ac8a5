"""Holder side: votes on claims and hands them over between epochs.

Two claimants can't both get a majority in one epoch, since a holder grants a
key once. Across epochs: a holder of a new epoch votes only once it took the
claims of so many former holders that every majority of theirs is met, and
these vote no more in their epoch. A node that restarted is another holder.
"""

import dataclasses

from lovagesaddle.core import state_machine
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_messages as messages
from lovagesaddle.core.routing import claim_pull
from lovagesaddle.core.routing import claim_records

FIRST_EPOCH = 1
EXPIRE_EVERY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Installed:
    """A newer snapshot is in force.

    Attributes:
      shards: Its shard map.
      incarnation: Of this process by that snapshot; 0 until its own join is
        contained.
    """

    shards: tuple[snapshots.Shard, ...]
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message for a holder came.

    Attributes:
      sender_id: Node that sent it.
      message: Of the kinds that holders take; others are ignored.
    """

    sender_id: str
    message: messages.ClaimMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed; due a few times a second."""


Event = Installed | Received | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message to a node, which may be this one."""

    node_id: str
    message: messages.ClaimMessage


class _ShardMemory:
    """What a holder knows of one shard."""

    def __init__(self) -> None:
        self.records = claim_records.Records()
        self.shard: snapshots.Shard | None = None
        self.sealed_epoch = 0
        self.ready_epochs: set[int] = set()
        self.pulls: dict[int, claim_pull.Pull] = {}


class ClaimHolder(state_machine.StateMachine[Event, Send]):
    """The claims that one node holds.

    Args:
      node_id: Of this node.
    """

    def __init__(self, *, node_id: str) -> None:
        self._node_id = node_id
        self._incarnation = 0
        self._memories: dict[int, _ShardMemory] = {}
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
        """Returns whether this node votes on claims of a shard now."""
        memory = self._memories.get(number)
        return memory is not None and self._find_denial(memory) is None

    def _install(self, event: Installed, now: float) -> tuple[Send, ...]:
        self._incarnation = event.incarnation
        sends: list[Send] = []
        for shard in event.shards:
            memory = self._memories.setdefault(shard.number, _ShardMemory())
            held = memory.shard
            if held is not None and held.epoch >= shard.epoch:
                continue
            memory.shard = shard
            memory.sealed_epoch = max(memory.sealed_epoch, shard.epoch)
            if self._is_holder(shard):
                sends.extend(self._join(memory, shard, now))
        return tuple(sends)

    def _is_holder(self, shard: snapshots.Shard) -> bool:
        own = snapshots.Holder(
            node_id=self._node_id, incarnation=self._incarnation
        )
        return bool(self._incarnation) and own in shard.holders

    def _join(
        self, memory: _ShardMemory, shard: snapshots.Shard, now: float
    ) -> list[Send]:
        if shard.epoch == FIRST_EPOCH:
            memory.ready_epochs.add(shard.epoch)
            return []
        pull = claim_pull.Pull(shard=shard)
        memory.pulls[shard.epoch] = pull
        return self._ask(pull, now)

    def _ask(self, pull: claim_pull.Pull, now: float) -> list[Send]:
        return [
            Send(node_id=due.node_id, message=due.message)
            for due in pull.list_due_requests(now)
        ]

    def _tick(self, now: float) -> tuple[Send, ...]:
        expire = now - self._expired_at >= EXPIRE_EVERY_S
        sends: list[Send] = []
        for memory in self._memories.values():
            if expire:
                memory.records.expire(now)
            for pull in tuple(memory.pulls.values()):
                self._conclude(memory, pull, now)
                if pull.epoch in memory.pulls:
                    sends.extend(self._ask(pull, now))
        if expire:
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
                self._find(message.shard).records.store(message.record, now)
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
                answer = self._hand_over(message, now)
            case messages.PullAnswer():
                return self._take_page(sender_id, message, now)
            case _:
                return ()
        if answer is None:
            return ()
        return (Send(node_id=sender_id, message=answer),)

    def _vote(
        self, request: messages.ClaimRequest, now: float
    ) -> messages.ClaimVote:
        memory = self._find(request.shard)
        vote, held = self._judge(memory, request, now)
        return messages.ClaimVote(
            shard=request.shard,
            epoch=request.epoch,
            token=request.record.token,
            round=request.record.round,
            vote=vote,
            held=held,
        )

    def _judge(
        self, memory: _ShardMemory, request: messages.ClaimRequest, now: float
    ) -> tuple[messages.Vote, tuple[messages.Record, ...]]:
        record = request.record
        if memory.shard is None or memory.shard.epoch != request.epoch:
            return messages.Vote.WRONG_EPOCH, ()
        denial = self._find_denial(memory)
        if denial is not None:
            return denial, ()
        held = memory.records.list_claims(record.claim_id, now)
        if any(not _is_same_claim(each, record) for each in held):
            return messages.Vote.HELD, held
        if memory.records.is_released(record.token, record.round):
            return messages.Vote.HELD, held
        full = len(memory.records) >= claim_records.MAX_CLAIMS and not held
        if full or record.expires_s > claim_records.MAX_CLAIM_S:
            return messages.Vote.FULL, ()
        memory.records.store(record, now)
        return messages.Vote.GRANTED, ()

    def _find_denial(self, memory: _ShardMemory) -> messages.Vote | None:
        shard = memory.shard
        if shard is None or memory.sealed_epoch > shard.epoch:
            return messages.Vote.WRONG_EPOCH
        if not self._is_holder(shard):
            return messages.Vote.WRONG_EPOCH
        if shard.epoch not in memory.ready_epochs:
            return messages.Vote.NOT_READY
        return None

    def _release(self, request: messages.ReleaseRequest, now: float) -> None:
        self._find(request.shard).records.release(
            request.claim_id, request.token, request.round, now
        )

    def _hand_over(
        self, request: messages.PullRequest, now: float
    ) -> messages.PullAnswer | None:
        memory = self._find(request.shard)
        memory.sealed_epoch = max(memory.sealed_epoch, request.epoch)
        former = request.epoch - 1
        if former in memory.ready_epochs:
            page = memory.records.read_page(request.cursor, now)
            return messages.PullAnswer(
                shard=request.shard,
                epoch=request.epoch,
                cursor=request.cursor,
                lost=False,
                next_cursor=page.next_cursor,
                records=page.records,
            )
        if former in memory.pulls or not self._incarnation:
            return None
        behind = memory.shard is None or memory.shard.epoch < former
        if behind and self._incarnation <= request.incarnation:
            # It may yet learn of the epoch and take its claims over.
            return None
        return messages.PullAnswer(
            shard=request.shard,
            epoch=request.epoch,
            cursor=request.cursor,
            lost=True,
        )

    def _take_page(
        self, sender_id: str, answer: messages.PullAnswer, now: float
    ) -> tuple[Send, ...]:
        memory = self._find(answer.shard)
        pull = memory.pulls.get(answer.epoch)
        if pull is None:
            return ()
        for record in answer.records:
            memory.records.store(record, now)
        following = pull.receive_page(sender_id, answer, now)
        self._conclude(memory, pull, now)
        if following is None:
            return ()
        return (Send(node_id=sender_id, message=following),)

    def _conclude(
        self, memory: _ShardMemory, pull: claim_pull.Pull, now: float
    ) -> None:
        if pull.is_complete(now):
            memory.ready_epochs.add(pull.epoch)
            del memory.pulls[pull.epoch]

    def _find(self, number: int) -> _ShardMemory:
        return self._memories.setdefault(number, _ShardMemory())


def _is_same_claim(held: messages.Record, asked: messages.Record) -> bool:
    return (
        held.token == asked.token and held.state is messages.ClaimState.CLAIMED
    )
