"""The loop of an HTTP server, at a cost that does not grow with connections.

waitress asks every connection at every turn what it waits for, and registers
all of them anew. Nearly all are idle, so this loop asks again only those that
something happened to.
"""

import collections
import select
import time
from typing import Any, Protocol

from waitress import wasyncore

# How often every connection is asked all the same, which ends those that were
# idle for too long.
SWEEP_S = 1.0


class Watched(Protocol):
    """What a loop watches: a listener, a connection or a trigger."""

    def readable(self) -> bool:
        """Returns whether it waits for something to read."""

    def writable(self) -> bool:
        """Returns whether it waits for room to write."""


class EventLoop:
    """Watches the sockets of one server on one thread.

    Args:
      sockets: File descriptors to what they belong to; shared with waitress,
        which adds and removes connections.
    """

    def __init__(self, sockets: dict[int, Any]) -> None:
        self._sockets = sockets
        self._epoll = select.epoll()
        self._known: dict[int, tuple[Any, int]] = {}
        self._changed: collections.deque[int] = collections.deque()
        self._swept_at = 0.0

    def mark_changed(self, descriptor: int) -> None:
        """Notes that a connection is new, or may wait for something else.

        For any thread; wake the loop afterwards.
        """
        self._changed.append(descriptor)

    def mark_all_changed(self) -> None:
        """Has every connection asked before the next wait."""
        self._swept_at = 0.0

    def run(self) -> None:
        """Serves until no socket is left."""
        try:
            while self._sockets:
                self._turn()
        finally:
            self._epoll.close()

    def _turn(self) -> None:
        now = time.monotonic()
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            self._changed.extend(self._sockets)
        while self._changed:
            self._update(self._changed.popleft())
        if not self._sockets:
            return
        left_s = max(0.0, self._swept_at + SWEEP_S - time.monotonic())
        for descriptor, flags in self._epoll.poll(left_s):
            held = self._sockets.get(descriptor)
            if held is not None:
                wasyncore.readwrite(held, flags)
            self._changed.append(descriptor)

    def _update(self, descriptor: int) -> None:
        held = self._sockets.get(descriptor)
        if held is None:
            # Closing a descriptor has taken it out of the kernel's set.
            self._known.pop(descriptor, None)
            return
        mask = _find_mask(held)
        known = self._known.get(descriptor)
        if known == (held, mask):
            return
        self._known[descriptor] = (held, mask)
        if known is not None and known[0] is held:
            self._epoll.modify(descriptor, mask)
        else:
            # It is new, or its number was that of one that is closed.
            self._epoll.register(descriptor, mask)


def _find_mask(held: Watched) -> int:
    mask = 0
    if held.readable():
        mask |= select.EPOLLIN | select.EPOLLPRI
    if held.writable():
        mask |= select.EPOLLOUT
    return mask
