"""Children of a node or replica in the relay tree, and updates for them."""

import collections
import dataclasses

from lovagesaddle.core import echoes
from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

# Heartbeat intervals after which a child that sent no heartbeat to answer is
# sent one all the same.
MAX_SILENT_HEARTBEATS = 1.25
# Heartbeat intervals between checks for such children.
CHECK_HEARTBEATS = 0.25
# Heartbeat intervals without a heartbeat after which a child is dropped.
MAX_MISSED_HEARTBEATS = 2.5
# Time after which a child is told to repeat its pull, if the pull requires a
# newer version than this process has.
BEHIND_RETRY_S = 0.2
# Number of processes remembered as recently served with a whole snapshot.
MAX_SERVED = 32
# Number of recently served processes that the refusal of a snapshot names as
# other sources of the snapshot.
HELPER_COUNT = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Child:
    """State of one child.

    Attributes:
      route: Connection on which the child attached.
      eager: Whether deltas are pushed to the child.
      version: Version that the child reported or was last sent, whichever is
        newer.
      digest: Digest of that version.
      last_heartbeat_at: When its last heartbeat arrived, in monotonic seconds.
      groups: Acks of its subtree.
      answered_at: When it was last sent a heartbeat, in monotonic seconds.
    """

    route: bytes
    eager: bool
    version: int
    digest: bytes
    last_heartbeat_at: float
    groups: tuple[messages.AckGroup, ...]
    answered_at: float


class Children:
    """Sends updates and heartbeats to the children of a node or a replica.

    Args:
      history: Versions to serve from; shared with the owner.
      limiter: Limits the rate of whole snapshots.
      heartbeat_s: Time between heartbeats, in seconds.

    Attributes:
      current_at: Monotonic time in seconds up to which the newest version of
        the history contains everything accepted; None if nothing proves it.
    """

    def __init__(
        self,
        *,
        history: history_lib.History,
        limiter: rate_limiter.RateLimiter,
        heartbeat_s: float,
    ) -> None:
        self._history = history
        self._limiter = limiter
        self._heartbeat_s = heartbeat_s
        self._children: dict[str, Child] = {}
        self._served_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_SERVED
        )
        self._next_check_at = 0.0
        self.current_at: float | None = None
        self._acks_changed = False
        self._greeting = b""

    @property
    def child_ids(self) -> tuple[str, ...]:
        """IDs of the attached children."""
        return tuple(self._children)

    def pop_acks_changed(self) -> bool:
        """Returns and clears whether acks changed since the last call."""
        changed, self._acks_changed = self._acks_changed, False
        return changed

    def merge_groups(
        self, own: tuple[messages.AckGroup, ...]
    ) -> tuple[messages.AckGroup, ...]:
        """Merges the acks of the eager children with `own`."""
        reported = [
            child.groups for child in self._children.values() if child.eager
        ]
        return acks.merge((own, *reported))

    def handle(
        self,
        received: events.FrameReceived,
        message: messages.DistributionMessage,
        stamp: stamps.LeaderStamp,
        now: float,
    ) -> tuple[events.Action, ...] | None:
        """Handles a message from a child.

        Returns:
          The resulting actions, or None for a message of any other kind.
        """
        match message:
            case messages.ChildBeat():
                return self.handle_heartbeat(received, message, stamp, now)
            case messages.Pull():
                return self.handle_pull(received, message, stamp, now)
            case messages.Detach():
                self.drop(received.sender_id)
                return ()
            case _:
                return None

    def handle_heartbeat(
        self,
        received: events.FrameReceived,
        heartbeat: messages.ChildBeat,
        stamp: stamps.LeaderStamp,
        now: float,
    ) -> tuple[events.Action, ...]:
        """Records a child's heartbeat and attaches a new child.

        A child that is new, reconnected or changed its role receives the
        greeting, the newest version and a heartbeat at once.
        """
        child = self._children.get(received.sender_id)
        is_known = (
            child is not None
            and child.route == received.route
            and child.eager == heartbeat.eager
        )
        if child is None or not is_known:
            child = Child(
                route=received.route,
                eager=heartbeat.eager,
                version=heartbeat.version,
                digest=heartbeat.digest,
                last_heartbeat_at=now,
                groups=(),
                answered_at=now,
            )
            self._children[received.sender_id] = child
        child.last_heartbeat_at = now
        if child.groups != heartbeat.groups:
            child.groups = heartbeat.groups
            self._acks_changed = True
        if heartbeat.version > child.version:
            child.version, child.digest = heartbeat.version, heartbeat.digest
        is_answer_due = heartbeat.sequence != echoes.NONE
        if is_known:
            if not is_answer_due:
                return ()
            return (
                self._make_heartbeat(child, stamp, now, heartbeat.sequence),
            )
        greeting = (
            (events.Answer(route=received.route, frame=self._greeting),)
            if self._greeting
            else ()
        )
        return (
            *greeting,
            *self._push_delta(child),
            self._make_heartbeat(child, stamp, now, heartbeat.sequence),
        )

    def handle_pull(
        self,
        received: events.FrameReceived,
        pull: messages.Pull,
        stamp: stamps.LeaderStamp,
        now: float,
    ) -> tuple[events.Action, ...]:
        """Answers a pull with a delta, a whole snapshot or `RetryLater`.

        A sender that is up to date receives no update. A heartbeat follows if
        the pull asks for it.
        """
        update = self._make_update(received, pull, now)
        if pull.sequence == echoes.NONE:
            return update
        heartbeat = self._encode_heartbeat(stamp, now, pull.sequence)
        return (*update, events.Answer(route=received.route, frame=heartbeat))

    def _make_update(
        self, received: events.FrameReceived, pull: messages.Pull, now: float
    ) -> tuple[events.Action, ...]:
        is_empty = not self._history.version
        if self._history.version <= pull.version and not is_empty:
            return ()
        if is_empty or self._history.version < pull.least:
            later = messages.RetryLater(after_s=BEHIND_RETRY_S)
            return (
                events.Answer(route=received.route, frame=wire.encode(later)),
            )
        frame = self._history.encode_delta(pull.version, pull.digest)
        if frame is None:
            frame = self._serve_snapshot(received.sender_id, now)
        child = self._children.get(received.sender_id)
        if child is not None:
            child.version = self._history.version
            child.digest = self._history.digest
        return (events.Answer(route=received.route, frame=frame),)

    def _serve_snapshot(self, sender_id: str, now: float) -> bytes:
        after_s = self._limiter.acquire(now)
        if after_s:
            later = messages.RetryLater(
                after_s=after_s, helpers=self._list_helpers()
            )
            return wire.encode(later)
        if sender_id not in self._served_ids:
            self._served_ids.append(sender_id)
        return self._history.encode_snapshot()

    def _list_helpers(self) -> tuple[peers.Peer, ...]:
        self._served_ids.rotate(1)
        wanted = set(tuple(self._served_ids)[:HELPER_COUNT])
        newest = self._history.newest
        listed = newest.snapshot.nodes if newest is not None else ()
        return tuple(
            relay_tree.make_peer(node)
            for node in listed
            if node.node_id in wanted
        )

    def drop(self, sender_id: str) -> None:
        """Removes a child that detached or is unresponsive, if attached."""
        if self._children.pop(sender_id, None) is not None:
            self._acks_changed = True

    def push_newest(
        self, stamp: stamps.LeaderStamp, now: float
    ) -> tuple[events.Action, ...]:
        """Sends every outdated child the newest version.

        A child that cannot be sent a delta receives a heartbeat instead, from
        which it learns the newest version.
        """
        actions: list[events.Action] = []
        for child in self._children.values():
            if child.version >= self._history.version:
                continue
            pushed = self._push_delta(child)
            actions.extend(pushed or (self._make_heartbeat(child, stamp, now),))
        return tuple(actions)

    def set_greeting(self, frame: bytes) -> tuple[events.Action, ...]:
        """Sends a frame to every child, and to each new child from now on."""
        self._greeting = frame
        return self.broadcast(frame, except_id="")

    def broadcast(
        self, frame: bytes, *, except_id: str
    ) -> tuple[events.Action, ...]:
        """Sends a frame to every child but `except_id`."""
        return tuple(
            events.Answer(route=child.route, frame=frame)
            for child_id, child in self._children.items()
            if child_id != except_id
        )

    def tick(
        self, stamp: stamps.LeaderStamp, now: float
    ) -> tuple[events.Action, ...]:
        """Drops unresponsive children and sends the heartbeats that are due.

        Most heartbeats answer those of the children, see `handle_heartbeat`.
        """
        if now < self._next_check_at:
            return ()
        self._next_check_at = now + CHECK_HEARTBEATS * self._heartbeat_s
        limit_s = MAX_MISSED_HEARTBEATS * self._heartbeat_s
        silent = [
            child_id
            for child_id, child in self._children.items()
            if now - child.last_heartbeat_at > limit_s
        ]
        for child_id in silent:
            self.drop(child_id)
        due_s = MAX_SILENT_HEARTBEATS * self._heartbeat_s
        return tuple(
            self._make_heartbeat(child, stamp, now)
            for child in self._children.values()
            if now - child.answered_at >= due_s
        )

    def _push_delta(self, child: Child) -> tuple[events.Action, ...]:
        if not child.eager or child.version >= self._history.version:
            return ()
        frame = self._history.encode_delta(child.version, child.digest)
        if frame is None:
            return ()
        child.version = self._history.version
        child.digest = self._history.digest
        return (events.Answer(route=child.route, frame=frame),)

    def _make_heartbeat(
        self,
        child: Child,
        stamp: stamps.LeaderStamp,
        now: float,
        sequence: int = echoes.NONE,
    ) -> events.Action:
        child.answered_at = now
        frame = self._encode_heartbeat(stamp, now, sequence)
        return events.Answer(route=child.route, frame=frame)

    def _encode_heartbeat(
        self, stamp: stamps.LeaderStamp, now: float, sequence: int
    ) -> bytes:
        age_s = None
        if self.current_at is not None and sequence != echoes.NONE:
            # The proof may be read from the clock after `now` was.
            age_s = max(0.0, now - self.current_at)
        return wire.encode(
            messages.ParentBeat(
                version=self._history.version,
                digest=self._history.digest,
                stamp=stamp,
                sequence=sequence,
                age_s=age_s,
            )
        )
