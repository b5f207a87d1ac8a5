"""The parents of a node: choosing, watching and replacing them."""

import dataclasses

from lovagesaddle.core.distribution import backoff as backoff_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import relay_tree
from lovagesaddle.core.distribution import wire
from lovagesaddle.core.model import peers
from lovagesaddle.core.model import stamps

SILENT_BEATS = 2.5
STALE_BEATS = 5.0
STARVED_BEATS = 10.0
FAILED_FIRST_S = 2.0
FAILED_CAP_S = 10.0
NO_STAMP = stamps.LeaderStamp(term=0, counter=0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Link:
    """A connection of this node's own to a parent.

    Attributes:
      peer: The parent.
      last_frame_at: When it was last heard, or when the link was made.
      version: Newest version it spoke of.
      stamp: Newest leader stamp it passed on.
      stamp_rose_at: When that stamp last rose.
      sent_eager: The role that the parent was told last; None for none yet.
      is_failed: Whether the parent fell silent.
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
    """A parent that is passed over for a time."""

    until: float
    backoff: backoff_lib.Backoff


class Parents:
    """Keeps one eager and one lazy parent.

    A silent parent, and an eager one whose leader stamp stands still while
    the lazy one's rises, is passed over for a jittered, growing time; then it
    is tried as the lazy one and gets its place back when its stamp rises.
    When neither stamp rises, other lazy parents are tried in turn.

    Args:
      heartbeat_s: Time between beats, in seconds.
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
        self._newest = NO_STAMP

    @property
    def links(self) -> tuple[Link, ...]:
        """The links that are up or being made, the eager one first."""
        return tuple(
            link for link in (self._eager, self._lazy) if link is not None
        )

    @property
    def eager(self) -> Link | None:
        """The link that deltas arrive on."""
        return self._eager

    @property
    def stamp(self) -> stamps.LeaderStamp:
        """Newest leader stamp of the current parents."""
        return max((link.stamp for link in self.links), default=NO_STAMP)

    def set_plan(self, plan: relay_tree.ParentPlan) -> None:
        """Takes the candidates of a new version."""
        self._preferred = None
        listed = {*plan.eager, *plan.lazy}
        for peer in set(self._failures) - listed:
            del self._failures[peer]
        self._plan = plan

    def find_link(self, sender_id: str) -> Link | None:
        """Returns the link to a parent."""
        for link in self.links:
            if link.peer.peer_id == sender_id:
                return link
        return None

    def record_frame(self, sender_id: str, now: float) -> Link | None:
        """Notes that a parent sent something."""
        link = self.find_link(sender_id)
        if link is not None:
            link.last_frame_at = now
        return link

    def handle_beat(
        self, sender_id: str, beat: messages.ParentBeat, now: float
    ) -> Link | None:
        """Takes a parent's beat; returns its link if it is a parent."""
        link = self.record_frame(sender_id, now)
        if link is None:
            return None
        link.version = max(link.version, beat.version)
        if beat.stamp > link.stamp:
            if link.stamp != NO_STAMP:
                self._failures.pop(link.peer, None)
            link.stamp = beat.stamp
            link.stamp_rose_at = now
        return link

    def broadcast(
        self, frame: bytes, *, except_id: str
    ) -> tuple[events.Action, ...]:
        """Sends one frame to every parent but the one that it came from."""
        return tuple(
            events.Send(peer=link.peer, frame=frame)
            for link in self.links
            if link.peer.peer_id != except_id
        )

    def tick(self, now: float) -> tuple[events.Action, ...]:
        """Passes over parents that failed and links to the best others."""
        lines = self._find_failed(now)
        eager = self._choose(self._plan.eager, None, now)
        probe = self._choose_probe(eager, now)
        lazy = probe or self._choose(self._plan.lazy, eager, now)
        before = {link.peer for link in self.links}
        if not self._changes(eager, lazy):
            return lines
        self._eager, self._lazy = (
            self._link(eager, now),
            self._link(lazy, now),
        )
        dropped = before - {link.peer for link in self.links}
        return (*lines, *self._part(dropped), self._describe(eager, lazy))

    def _changes(
        self, eager: peers.Peer | None, lazy: peers.Peer | None
    ) -> bool:
        held_eager = self._eager.peer if self._eager else None
        held_lazy = self._lazy.peer if self._lazy else None
        return (held_eager, held_lazy) != (eager, lazy)

    def _find_failed(self, now: float) -> tuple[events.Action, ...]:
        lines: list[events.Action] = []
        limit_s = SILENT_BEATS * self._heartbeat_s
        for link in self.links:
            if now - link.last_frame_at > limit_s:
                link.is_failed = True
                lines.append(self._fail(link, "silent", now))
        eager, lazy = self._eager, self._lazy
        if eager is None or lazy is None or lines:
            return tuple(lines)
        for link, other in ((eager, lazy), (lazy, eager)):
            if self._is_stale(link, other, now):
                return (self._fail(link, "stale leader stamp", now),)
        if self._is_starved(now):
            return (self._fail(lazy, "no fresh leader stamp", now),)
        return ()

    def _is_stale(self, link: Link, other: Link, now: float) -> bool:
        stale_s = STALE_BEATS * self._heartbeat_s
        return now - link.stamp_rose_at > stale_s and other.stamp > link.stamp

    def _is_starved(self, now: float) -> bool:
        if self.stamp > self._newest or not self._stamp_rose_at:
            self._newest = max(self.stamp, self._newest)
            self._stamp_rose_at = now
        limit_s = (STARVED_BEATS + self._random.random()) * self._heartbeat_s
        if now - self._stamp_rose_at <= limit_s:
            return False
        self._stamp_rose_at = now
        return True

    def _fail(self, link: Link, reason: str, now: float) -> events.Action:
        failure = self._failures.get(link.peer)
        if failure is None:
            failure = Failure(
                until=now,
                backoff=backoff_lib.Backoff(
                    first_s=FAILED_FIRST_S,
                    cap_s=FAILED_CAP_S,
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
        """Returns a better parent that failed and may be tried again.

        It is tried as the lazy one, so that deltas go on arriving.
        """
        for peer in self._plan.eager:
            if peer == eager:
                return None
            if peer in self._failures and self._failures[peer].until <= now:
                return peer
        return None

    def _link(self, peer: peers.Peer | None, now: float) -> Link | None:
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

    def _part(self, dropped: set[peers.Peer]) -> tuple[events.Action, ...]:
        frame = wire.encode(messages.Detach(reason="another parent"))
        actions: list[events.Action] = []
        for peer in sorted(dropped, key=lambda peer: peer.peer_id):
            actions.append(events.Send(peer=peer, frame=frame))
            actions.append(events.Disconnect(peer=peer))
        return tuple(actions)

    def _describe(
        self, eager: peers.Peer | None, lazy: peers.Peer | None
    ) -> events.Action:
        return events.LogLine(
            event="parents chosen",
            peer=eager.peer_id if eager is not None else "",
            reason=f"lazy={lazy.peer_id if lazy is not None else 'none'}",
            candidates=tuple(peer.peer_id for peer in self._plan.eager),
        )
