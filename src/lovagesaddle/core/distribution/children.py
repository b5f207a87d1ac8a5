"""Children of a node or replica in the relay tree, and updates for them."""

import collections
import dataclasses

from lovagesaddle.core.distribution import acks
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import history as history_lib
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import rate_limiter
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

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
    """

    route: bytes
    eager: bool
    version: int
    digest: bytes
    last_heartbeat_at: float
    groups: tuple[messages.AckGroup, ...]


class Children:
    """Sends updates and heartbeats to the children of a node or a replica.

    Args:
      history: Versions to serve from; shared with the owner.
      limiter: Limits the rate of whole snapshots.
      heartbeat_s: Time between heartbeats, in seconds.
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
        self._next_beat_at = 0.0
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
                return self.handle_pull(received, message, now)
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
            )
            self._children[received.sender_id] = child
        child.last_heartbeat_at = now
        if child.groups != heartbeat.groups:
            child.groups = heartbeat.groups
            self._acks_changed = True
        if heartbeat.version > child.version:
            child.version, child.digest = heartbeat.version, heartbeat.digest
        if is_known:
            return ()
        greeting = (
            (events.Answer(route=received.route, frame=self._greeting),)
            if self._greeting
            else ()
        )
        return (
            *greeting,
            *self._push_delta(child),
            self._make_heartbeat(child, stamp),
        )

    def handle_pull(
        self, received: events.FrameReceived, pull: messages.Pull, now: float
    ) -> tuple[events.Action, ...]:
        """Answers a pull with a delta, a whole snapshot or `RetryLater`.

        A child that is up to date receives no answer.
        """
        if self._history.version <= pull.version:
            return ()
        if self._history.version < pull.least:
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
        self, stamp: stamps.LeaderStamp
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
            actions.extend(pushed or (self._make_heartbeat(child, stamp),))
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
        """Drops unresponsive children and sends the heartbeats that are due."""
        limit_s = MAX_MISSED_HEARTBEATS * self._heartbeat_s
        silent = [
            child_id
            for child_id, child in self._children.items()
            if now - child.last_heartbeat_at > limit_s
        ]
        for child_id in silent:
            self.drop(child_id)
        if now < self._next_beat_at:
            return ()
        self._next_beat_at = now + self._heartbeat_s
        return tuple(
            self._make_heartbeat(child, stamp)
            for child in self._children.values()
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
        self, child: Child, stamp: stamps.LeaderStamp
    ) -> events.Action:
        heartbeat = messages.ParentBeat(
            version=self._history.version,
            digest=self._history.digest,
            stamp=stamp,
        )
        return events.Answer(route=child.route, frame=wire.encode(heartbeat))
