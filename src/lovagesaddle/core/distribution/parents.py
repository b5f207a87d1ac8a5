"""Parents of a node in the relay tree: selection, monitoring, replacement."""

import dataclasses

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

# Heartbeat intervals without a frame after which a parent has failed.
MAX_MISSED_HEARTBEATS = 2.5
# Heartbeat intervals without a newer stamp from one parent after which it has
# failed, if the other parent's stamp is newer.
STALE_STAMP_HEARTBEATS = 5.0
# Heartbeat intervals without a newer stamp from either parent after which
# another lazy parent is tried; jitter adds up to one interval.
NO_FRESH_STAMP_HEARTBEATS = 10.0
FIRST_RETRY_S = 2.0
RETRY_CAP_S = 10.0
NO_STAMP = stamps.LeaderStamp(term=0, counter=0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Link:
    """A connection that this node opened to a parent.

    Attributes:
      peer: The parent.
      last_frame_at: When its last frame arrived, or when the link was made, in
        monotonic seconds.
      version: Newest version that it reported.
      stamp: Newest leader stamp that it sent.
      stamp_rose_at: When that stamp last increased, in monotonic seconds.
      sent_eager: Value of `eager` in the last heartbeat to the parent; None
        before the first.
      is_failed: Whether the parent has sent no frame for too long.
    """

    peer: peers.Peer
    last_frame_at: float
    version: int
    stamp: stamps.LeaderStamp
    stamp_rose_at: float
    sent_eager: bool | None = None
    is_failed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Failure:
    """Record of a failed parent, which is skipped for a time.

    Attributes:
      until: When the parent may be tried again, in monotonic seconds.
      backoff: Computes the delays between attempts.
    """

    until: float
    backoff: backoff_lib.Backoff


class Parents:
    """Maintains links to one eager and one lazy parent.

    A parent fails if it sends no frames, or if its leader stamp does not
    increase while the other parent's stamp is newer. A failed parent is
    skipped for a jittered, growing time; then it is tried as the lazy parent
    and returns to its place when its stamp increases. If neither stamp
    increases, other lazy parents are tried in turn.

    Args:
      heartbeat_s: Time between heartbeats, in seconds.
      random: Source of jitter.
    """

    def __init__(
        self, *, heartbeat_s: float, random: backoff_lib.Random
    ) -> None:
        self._heartbeat_s = heartbeat_s
        self._random = random
        self._plan = relay_tree.ParentPlan(eager=(), lazy=())
        self._eager: Link | None = None
        self._lazy: Link | None = None
        self._failures: dict[peers.Peer, Failure] = {}
        self._preferred: peers.Peer | None = None
        self._stamp_rose_at = 0.0
        self._newest_stamp = NO_STAMP

    @property
    def links(self) -> tuple[Link, ...]:
        """The established or pending links, the eager one first."""
        return tuple(
            link for link in (self._eager, self._lazy) if link is not None
        )

    @property
    def eager(self) -> Link | None:
        """The link to the eager parent, which pushes deltas."""
        return self._eager

    @property
    def stamp(self) -> stamps.LeaderStamp:
        """Newest leader stamp that the current parents sent."""
        return max((link.stamp for link in self.links), default=NO_STAMP)

    def set_plan(self, plan: relay_tree.ParentPlan) -> None:
        """Replaces the candidates and drops failures of removed ones."""
        self._preferred = None
        listed = {*plan.eager, *plan.lazy}
        for peer in set(self._failures) - listed:
            del self._failures[peer]
        self._plan = plan

    def find_link(self, sender_id: str) -> Link | None:
        """Returns the link to a parent, or None if the sender is none."""
        for link in self.links:
            if link.peer.peer_id == sender_id:
                return link
        return None

    def record_frame(self, sender_id: str, now: float) -> Link | None:
        """Records that a frame arrived; returns the link of a parent."""
        link = self.find_link(sender_id)
        if link is not None:
            link.last_frame_at = now
        return link

    def handle_heartbeat(
        self, sender_id: str, heartbeat: messages.ParentBeat, now: float
    ) -> Link | None:
        """Records a parent's heartbeat.

        Returns:
          The link to the parent, or None if the sender is no parent.
        """
        link = self.record_frame(sender_id, now)
        if link is None:
            return None
        link.version = max(link.version, heartbeat.version)
        if heartbeat.stamp > link.stamp:
            if link.stamp != NO_STAMP:
                self._failures.pop(link.peer, None)
            link.stamp = heartbeat.stamp
            link.stamp_rose_at = now
        return link

    def broadcast(
        self, frame: bytes, *, except_id: str
    ) -> tuple[events.Action, ...]:
        """Sends a frame to every parent but `except_id`."""
        return tuple(
            events.Send(peer=link.peer, frame=frame)
            for link in self.links
            if link.peer.peer_id != except_id
        )

    def tick(self, now: float) -> tuple[events.Action, ...]:
        """Marks failed parents and links to the best remaining candidates."""
        lines = self._detect_failures(now)
        eager = self._choose(self._plan.eager, None, now)
        probe = self._choose_probe(eager, now)
        lazy = probe or self._choose(self._plan.lazy, eager, now)
        before = {link.peer for link in self.links}
        if not self._differs(eager, lazy):
            return lines
        self._eager, self._lazy = (
            self._get_or_make_link(eager, now),
            self._get_or_make_link(lazy, now),
        )
        dropped = before - {link.peer for link in self.links}
        return (
            *lines,
            *self._detach(dropped),
            self._make_log_line(eager, lazy),
        )

    def _differs(
        self, eager: peers.Peer | None, lazy: peers.Peer | None
    ) -> bool:
        held_eager = self._eager.peer if self._eager else None
        held_lazy = self._lazy.peer if self._lazy else None
        return (held_eager, held_lazy) != (eager, lazy)

    def _detect_failures(self, now: float) -> tuple[events.Action, ...]:
        lines: list[events.Action] = []
        limit_s = MAX_MISSED_HEARTBEATS * self._heartbeat_s
        for link in self.links:
            if now - link.last_frame_at > limit_s:
                link.is_failed = True
                lines.append(self._record_failure(link, "silent", now))
        eager, lazy = self._eager, self._lazy
        if eager is None or lazy is None or lines:
            return tuple(lines)
        for link, other in ((eager, lazy), (lazy, eager)):
            if self._is_stale(link, other, now):
                return (self._record_failure(link, "stale leader stamp", now),)
        if self._lacks_fresh_stamp(now):
            return (self._record_failure(lazy, "no fresh leader stamp", now),)
        return ()

    def _is_stale(self, link: Link, other: Link, now: float) -> bool:
        stale_s = STALE_STAMP_HEARTBEATS * self._heartbeat_s
        return now - link.stamp_rose_at > stale_s and other.stamp > link.stamp

    def _lacks_fresh_stamp(self, now: float) -> bool:
        if self.stamp > self._newest_stamp or not self._stamp_rose_at:
            self._newest_stamp = max(self.stamp, self._newest_stamp)
            self._stamp_rose_at = now
        limit_s = (
            NO_FRESH_STAMP_HEARTBEATS + self._random.random()
        ) * self._heartbeat_s
        if now - self._stamp_rose_at <= limit_s:
            return False
        self._stamp_rose_at = now
        return True

    def _record_failure(
        self, link: Link, reason: str, now: float
    ) -> events.Action:
        failure = self._failures.get(link.peer)
        if failure is None:
            failure = Failure(
                until=now,
                backoff=backoff_lib.Backoff(
                    first_s=FIRST_RETRY_S,
                    cap_s=RETRY_CAP_S,
                    random=self._random,
                ),
            )
            self._failures[link.peer] = failure
        failure.until = now + failure.backoff.draw()
        if link is self._eager and self._lazy is not None:
            self._preferred = self._lazy.peer
        return events.LogLine(
            event="parent lost", peer=link.peer.peer_id, reason=reason
        )

    def _choose(
        self,
        candidates: tuple[peers.Peer, ...],
        avoided: peers.Peer | None,
        now: float,
    ) -> peers.Peer | None:
        allowed = [peer for peer in candidates if peer != avoided]
        if self._preferred is not None and self._preferred in allowed[1:]:
            allowed.insert(1, self._preferred)
        for peer in allowed:
            if peer not in self._failures:
                return peer
        alive = {link.peer for link in self.links if not link.is_failed}
        for peer in allowed:
            if peer in alive or self._failures[peer].until <= now:
                return peer
        return None

    def _choose_probe(
        self, eager: peers.Peer | None, now: float
    ) -> peers.Peer | None:
        """Returns a preferable parent that failed and may be tried again.

        It is tried as the lazy parent, so that deltas keep arriving from the
        eager one.
        """
        for peer in self._plan.eager:
            if peer == eager:
                return None
            if peer in self._failures and self._failures[peer].until <= now:
                return peer
        return None

    def _get_or_make_link(
        self, peer: peers.Peer | None, now: float
    ) -> Link | None:
        if peer is None:
            return None
        for link in self.links:
            if link.peer == peer and not link.is_failed:
                return link
        return Link(
            peer=peer,
            last_frame_at=now,
            version=0,
            stamp=NO_STAMP,
            stamp_rose_at=now,
        )

    def _detach(self, dropped: set[peers.Peer]) -> tuple[events.Action, ...]:
        frame = wire.encode(messages.Detach(reason="another parent"))
        actions: list[events.Action] = []
        for peer in sorted(dropped, key=lambda peer: peer.peer_id):
            actions.append(events.Send(peer=peer, frame=frame))
            actions.append(events.Disconnect(peer=peer))
        return tuple(actions)

    def _make_log_line(
        self, eager: peers.Peer | None, lazy: peers.Peer | None
    ) -> events.Action:
        return events.LogLine(
            event="parents chosen",
            peer=eager.peer_id if eager is not None else "",
            reason=f"lazy={lazy.peer_id if lazy is not None else 'none'}",
            candidates=tuple(peer.peer_id for peer in self._plan.eager),
        )
