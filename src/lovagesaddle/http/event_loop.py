"""Event loop of an HTTP server whose cost does not grow with idle connections.

At each iteration waitress's own loop queries which events every connection
waits for and registers all of them again. Nearly all connections are idle, so
this loop updates only those that had an event or were marked as changed.
"""

import collections
import select
import time
from typing import Any, Protocol

from waitress import wasyncore

# Interval at which all connections are updated, also those without an event.
# Such an update closes connections that were idle for too long.
SWEEP_S = 1.0


class Pollable(Protocol):
    """Describes what the loop polls: a listener, a connection or a trigger."""

    def readable(self) -> bool:
        """Returns whether the object waits for input."""

    def writable(self) -> bool:
        """Returns whether the object waits for space in the send buffer."""


class EventLoop:
    """Polls the sockets of one server on one thread.

    Args:
      sockets: File descriptors to their listener, connection or trigger;
        shared with waitress, which adds and removes connections.
    """

    def __init__(self, sockets: dict[int, Any]) -> None:
        self._sockets = sockets
        self._epoll = select.epoll()
        self._registered: dict[int, tuple[Any, int]] = {}
        self._changed: collections.deque[int] = collections.deque()
        self._swept_at = 0.0

    def mark_changed(self, descriptor: int) -> None:
        """Marks a connection that is new or may wait for other events.

        May be called from any thread, which has to wake the loop afterwards.
        """
        self._changed.append(descriptor)

    def mark_all_changed(self) -> None:
        """Makes the loop update every connection before its next wait."""
        self._swept_at = 0.0

    def run(self) -> None:
        """Runs until no socket is left."""
        try:
            while self._sockets:
                self._run_once()
        finally:
            self._epoll.close()

    def _run_once(self) -> None:
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
            pollable = self._sockets.get(descriptor)
            if pollable is not None:
                wasyncore.readwrite(pollable, flags)
            self._changed.append(descriptor)

    def _update(self, descriptor: int) -> None:
        pollable = self._sockets.get(descriptor)
        if pollable is None:
            # The socket was closed, and the kernel then removed its descriptor
            # from epoll.
            self._registered.pop(descriptor, None)
            return
        mask = _get_event_mask(pollable)
        registered = self._registered.get(descriptor)
        if registered == (pollable, mask):
            return
        self._registered[descriptor] = (pollable, mask)
        if registered is not None and registered[0] is pollable:
            self._epoll.modify(descriptor, mask)
        else:
            # The connection is new, possibly with the descriptor number of a
            # closed one.
            self._epoll.register(descriptor, mask)


def _get_event_mask(pollable: Pollable) -> int:
    mask = 0
    if pollable.readable():
        mask |= select.EPOLLIN | select.EPOLLPRI
    if pollable.writable():
        mask |= select.EPOLLOUT
    return mask
