"""The children of a parent: who they are, what they hold, what they get."""

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

SILENT_BEATS = 2.5
BEHIND_RETRY_S = 0.2
KEPT_SERVED = 32
HELPERS = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Child:
    """One child.

    Attributes:
      route: Connection it came over.
      eager: Whether deltas are pushed to it.
      version: What it holds or was sent last.
      digest: Digest of that.
      last_frame_at: When it was last heard.
      groups: What its subtree holds.
    """

    route: bytes
    eager: bool
    version: int
    digest: bytes
    last_frame_at: float
    groups: tuple[messages.AckGroup, ...]


class Children:
    """Serves the children of a node or of a replica.

    Args:
      history: Versions to serve from; shared with the owner.
      limiter: Limit on whole snapshots.
      heartbeat_s: Time between beats, in seconds.
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
        self._served: collections.deque[str] = collections.deque(
            maxlen=KEPT_SERVED
        )
        self._next_beat_at = 0.0
        self._changed = False
        self._greeting = b""

    @property
    def child_ids(self) -> tuple[str, ...]:
        """IDs of the children."""
        return tuple(self._children)

    def pop_changed(self) -> bool:
        """Returns whether the subtree's acks changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def merge_groups(
        self, own: tuple[messages.AckGroup, ...]
    ) -> tuple[messages.AckGroup, ...]:
        """Returns the acks of the whole subtree, `own` included."""
        reported = [
            child.groups for child in self._children.values() if child.eager
        ]
        return acks.merge((own, *reported))

    def handle(
        self,
        arrival: events.FrameReceived,
        message: messages.DistributionMessage,
        stamp: stamps.LeaderStamp,
        now: float,
    ) -> tuple[events.Action, ...] | None:
        """Handles a message of a child; returns None for any other message."""
        match message:
            case messages.ChildBeat():
                return self.handle_beat(arrival, message, stamp, now)
            case messages.Pull():
                return self.handle_pull(arrival, message, now)
            case messages.Detach():
                self.drop(arrival.sender_id)
                return ()
            case _:
                return None

    def handle_beat(
        self,
        arrival: events.FrameReceived,
        beat: messages.ChildBeat,
        stamp: stamps.LeaderStamp,
        now: float,
    ) -> tuple[events.Action, ...]:
        """Takes a child's beat; a new child is answered at once."""
        child = self._children.get(arrival.sender_id)
        known = (
            child is not None
            and child.route == arrival.route
            and child.eager == beat.eager
        )
        if child is None or not known:
            child = Child(
                route=arrival.route,
                eager=beat.eager,
                version=beat.version,
                digest=beat.digest,
                last_frame_at=now,
                groups=(),
            )
            self._children[arrival.sender_id] = child
        child.last_frame_at = now
        if child.groups != beat.groups:
            child.groups = beat.groups
            self._changed = True
        if beat.version > child.version:
            child.version, child.digest = beat.version, beat.digest
        if known:
            return ()
        greeting = (
            (events.Answer(route=arrival.route, frame=self._greeting),)
            if self._greeting
            else ()
        )
        return (*greeting, *self._push(child), self._beat(child, stamp))

    def handle_pull(
        self, arrival: events.FrameReceived, pull: messages.Pull, now: float
    ) -> tuple[events.Action, ...]:
        """Answers with a delta, a whole snapshot, a later turn or nothing."""
        if self._history.version <= pull.version:
            return ()
        if self._history.version < pull.least:
            later = messages.RetryLater(after_s=BEHIND_RETRY_S)
            return (
                events.Answer(route=arrival.route, frame=wire.encode(later)),
            )
        frame = self._history.encode_delta(pull.version, pull.digest)
        if frame is None:
            frame = self._serve_whole(arrival.sender_id, now)
        child = self._children.get(arrival.sender_id)
        if child is not None:
            child.version = self._history.version
            child.digest = self._history.digest
        return (events.Answer(route=arrival.route, frame=frame),)

    def _serve_whole(self, sender_id: str, now: float) -> bytes:
        after_s = self._limiter.acquire(now)
        if after_s:
            later = messages.RetryLater(
                after_s=after_s, helpers=self._list_served()
            )
            return wire.encode(later)
        if sender_id not in self._served:
            self._served.append(sender_id)
        return self._history.encode_snapshot()

    def _list_served(self) -> tuple[peers.Peer, ...]:
        self._served.rotate(1)
        wanted = set(tuple(self._served)[:HELPERS])
        newest = self._history.newest
        listed = newest.snapshot.nodes if newest is not None else ()
        return tuple(
            relay_tree.make_peer(node)
            for node in listed
            if node.node_id in wanted
        )

    def drop(self, sender_id: str) -> None:
        """Forgets a child that has another parent now."""
        if self._children.pop(sender_id, None) is not None:
            self._changed = True

    def push_newest(
        self, stamp: stamps.LeaderStamp
    ) -> tuple[events.Action, ...]:
        """Brings every child the newest version, or word of it."""
        actions: list[events.Action] = []
        for child in self._children.values():
            if child.version >= self._history.version:
                continue
            pushed = self._push(child)
            actions.extend(pushed or (self._beat(child, stamp),))
        return tuple(actions)

    def set_greeting(self, frame: bytes) -> tuple[events.Action, ...]:
        """Sends a frame to every child, and to each one that comes later."""
        self._greeting = frame
        return self.broadcast(frame, except_id="")

    def broadcast(
        self, frame: bytes, *, except_id: str
    ) -> tuple[events.Action, ...]:
        """Sends one frame to every child but the one that it came from."""
        return tuple(
            events.Answer(route=child.route, frame=frame)
            for child_id, child in self._children.items()
            if child_id != except_id
        )

    def tick(
        self, stamp: stamps.LeaderStamp, now: float
    ) -> tuple[events.Action, ...]:
        """Drops silent children and sends the beats that are due."""
        limit_s = SILENT_BEATS * self._heartbeat_s
        silent = [
            child_id
            for child_id, child in self._children.items()
            if now - child.last_frame_at > limit_s
        ]
        for child_id in silent:
            self.drop(child_id)
        if now < self._next_beat_at:
            return ()
        self._next_beat_at = now + self._heartbeat_s
        return tuple(
            self._beat(child, stamp) for child in self._children.values()
        )

    def _push(self, child: Child) -> tuple[events.Action, ...]:
        if not child.eager or child.version >= self._history.version:
            return ()
        frame = self._history.encode_delta(child.version, child.digest)
        if frame is None:
            return ()
        child.version = self._history.version
        child.digest = self._history.digest
        return (events.Answer(route=child.route, frame=frame),)

    def _beat(self, child: Child, stamp: stamps.LeaderStamp) -> events.Action:
        beat = messages.ParentBeat(
            version=self._history.version,
            digest=self._history.digest,
            stamp=stamp,
        )
        return events.Answer(route=child.route, frame=wire.encode(beat))
