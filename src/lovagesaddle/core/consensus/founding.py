"""Founding of a cluster by replicas with empty data folders.

The founding replica whose name sorts first collects the identities of all of
them and creates the first entry of the log; the others receive it by
replication. Since all of them must take part with empty logs, a replica that
lost its disk can't found the cluster a second time, and with its new identity
it is not asked for a vote until it has been added as a learner and has become
a voter.
"""

import dataclasses

from lovagesaddle.core import codec
from lovagesaddle.core import echoes
from lovagesaddle.core import state_machine
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import log as log_lib
from lovagesaddle.core.consensus import messages

INTRODUCTION_INTERVAL_S = 0.2
FOUNDING_INDEX = 1
FOUNDING_TERM = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Introduction:
    """Tells another replica who the sender is and what its log holds.

    Attributes:
      cluster_id: Cluster ID from the sender's settings.
      member: The sender's identity and address.
      is_founding: Whether the sender was started to found the cluster.
      has_log: Whether the sender's log holds any entry.
      knows_receiver: Whether the receiver is a member in the sender's log.
      is_question: Whether the sender asks if it is still a member; then
        `knows_receiver` has no meaning.
      term: Highest term that the sender has seen.
      is_settled: Whether the sender leads and a majority has synced its
        members, so that a receiver which is not among them is no member in
        this term.
      members: The members in the sender's log, which the receiver may contact.
      sequence: Number of a question, and in its answer; `echoes.NONE` in other
        introductions.
    """

    cluster_id: str
    member: entries_lib.Member
    is_founding: bool
    has_log: bool
    knows_receiver: bool = False
    is_question: bool = False
    term: int = 0
    is_settled: bool = False
    members: tuple[entries_lib.Member, ...] = ()
    sequence: int = echoes.NONE


LinkMessage = messages.Envelope | Introduction

LINK_MESSAGES: codec.Registry[LinkMessage] = codec.Registry(
    name="replica link", kinds={1: messages.Envelope, 2: Introduction}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Introduced:
    """An introduction of another replica arrived."""

    introduction: Introduction


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Introduce:
    """Sends an introduction to all known replicas."""

    introduction: Introduction


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreFoundingEntry:
    """Stores the founding entry as the first entry of the log."""

    entry: entries_lib.Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """Stops the replica, since it can't take part in founding the cluster."""

    cause: str


Event = Tick | Introduced
Action = Introduce | StoreFoundingEntry | Stop


class Founding(state_machine.StateMachine[Event, Action]):
    """Founds a cluster; runs in a replica while its log is empty.

    Args:
      cluster_id: Cluster ID from the settings.
      own: This replica.
      founders: Names of the founding replicas from the settings.
      is_founding: Whether to found the cluster; otherwise the replica only
        introduces itself and waits to be added.
    """

    def __init__(
        self,
        *,
        cluster_id: str,
        own: entries_lib.Member,
        founders: tuple[str, ...],
        is_founding: bool,
    ) -> None:
        self._cluster_id = cluster_id
        self._own = own
        self._founders = founders
        self._is_founding = is_founding
        self._known = {own.replica_id: own}
        self._next_at = 0.0
        self._is_done = False

    def step(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handles one event; see `state_machine.StateMachine.step`."""
        if self._is_done:
            return ()
        if isinstance(event, Introduced):
            return self._receive(event.introduction)
        if now < self._next_at:
            return self._found_if_complete()
        self._next_at = now + INTRODUCTION_INTERVAL_S
        return (self._introduce(), *self._found_if_complete())

    def _introduce(self) -> Introduce:
        introduction = Introduction(
            cluster_id=self._cluster_id,
            member=self._own,
            is_founding=self._is_founding,
            has_log=False,
        )
        return Introduce(introduction=introduction)

    def _receive(self, introduction: Introduction) -> tuple[Action, ...]:
        if introduction.cluster_id != self._cluster_id or not self._is_founding:
            return ()
        if introduction.is_question:
            return ()
        member = introduction.member
        if introduction.has_log and not introduction.knows_receiver:
            self._is_done = True
            return (Stop(cause=_describe_refusal(member.replica_id)),)
        if introduction.is_founding and not introduction.has_log:
            self._known[member.replica_id] = member
        return self._found_if_complete()

    def _found_if_complete(self) -> tuple[Action, ...]:
        if (
            not self._is_founding
            or self._own.replica_id != min(self._founders)
            or not set(self._founders) <= set(self._known)
        ):
            return ()
        self._is_done = True
        chosen = tuple(self._known[name] for name in self._founders)
        members = entries_lib.sort_members(chosen)
        return (StoreFoundingEntry(entry=make_founding_entry(members)),)


def make_founding_entry(members: entries_lib.Members) -> entries_lib.Entry:
    """Returns the first entry of a log, which lists the founding members."""
    return entries_lib.Entry(
        index=FOUNDING_INDEX,
        term=FOUNDING_TERM,
        kind=entries_lib.EntryKind.MEMBERS,
        payload=log_lib.encode_members(members),
    )


def _describe_refusal(peer: str) -> str:
    return (
        f"replica {peer} belongs to the cluster already, and its log does not"
        " know this folder; start without founding and have the replica added"
        " or replaced"
    )
