"""Heartbeats of a node to its parents, with the acks of its subtree."""

from lovagesaddle.core import echoes
from lovagesaddle.core.distribution import children as children_lib
from lovagesaddle.core.distribution import events
from lovagesaddle.core.distribution import freshness as freshness_lib
from lovagesaddle.core.distribution import installed_version
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import parents as parents_lib
from lovagesaddle.core.distribution import wire

ACK_DELAY_S = 0.05


class HeartbeatSender:
    """Makes the heartbeats that a node sends to its parents.

    A heartbeat is due at a fixed interval, at once for a new parent, and to
    the eager parent `ACK_DELAY_S` after the acks of the subtree changed.

    Args:
      installed: Version that the node has installed.
      parents: Links to the parents.
      children: Children whose acks the eager parent receives.
      heartbeat_s: Time between heartbeats, in seconds.
      freshness: Receives the proofs that the heartbeats ask for.
    """

    def __init__(
        self,
        *,
        installed: installed_version.InstalledVersion,
        parents: parents_lib.Parents,
        children: children_lib.Children,
        heartbeat_s: float,
        freshness: freshness_lib.Freshness,
    ) -> None:
        self._freshness = freshness
        self._installed = installed
        self._parents = parents
        self._children = children
        self._heartbeat_s = heartbeat_s
        self._next_at = 0.0
        self._acks_at: float | None = None

    @property
    def due_at(self) -> float:
        """When the next heartbeat is due, in monotonic seconds."""
        if self._acks_at is None:
            return self._next_at
        return min(self._next_at, self._acks_at)

    def schedule_acks(self, now: float) -> None:
        """Schedules a heartbeat to the eager parent after acks changed."""
        if self._acks_at is None:
            self._acks_at = now + ACK_DELAY_S

    def tick(
        self, own: tuple[messages.AckGroup, ...], now: float
    ) -> tuple[events.Action, ...]:
        """Returns the heartbeats that are due.

        Args:
          own: The node's own ack.
          now: Monotonic time in seconds.
        """
        due = now >= self._next_at
        acks_due = self._acks_at is not None and now >= self._acks_at
        if due:
            self._next_at = now + self._heartbeat_s
        if acks_due:
            self._acks_at = None
        actions: list[events.Action] = []
        for link in self._parents.links:
            eager = link is self._parents.eager
            asks = due or link.sent_eager != eager
            if asks or (acks_due and eager):
                sequence = self._freshness.ask(now) if asks else echoes.NONE
                actions.append(
                    self._make_heartbeat(link, own if eager else None, sequence)
                )
        return tuple(actions)

    def _make_heartbeat(
        self,
        link: parents_lib.Link,
        own: tuple[messages.AckGroup, ...] | None,
        sequence: int,
    ) -> events.Action:
        link.sent_eager = own is not None
        heartbeat = messages.ChildBeat(
            eager=own is not None,
            version=self._installed.version,
            digest=self._installed.digest,
            groups=() if own is None else self._children.merge_groups(own),
            sequence=sequence,
        )
        return events.Send(peer=link.peer, frame=wire.encode(heartbeat))
