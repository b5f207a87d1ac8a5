"""Detects late heartbeats from backend servers to their own node.

The heartbeats of nodes to their parents are in `core.distribution.heartbeats`.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatStamp:
    """Position of one heartbeat among those of an address.

    Attributes:
      instance: Name that the server gives itself; it may use the same name
        again after a restart.
      born_ms: Start time of its process, in milliseconds since 1970; 0 if
        unknown.
      sequence: Increases with every heartbeat of one process.
    """

    instance: str
    born_ms: int
    sequence: int


class HeartbeatOrder:
    """Tracks the newest heartbeat of the servers at one address.

    A heartbeat that was delayed by a partition may arrive after its sender
    stopped and another server took over the address, so it is ignored.
    """

    def __init__(self) -> None:
        self._newest: HeartbeatStamp | None = None
        self._is_stopped = False

    def accept(self, stamp: HeartbeatStamp) -> bool:
        """Records a heartbeat; returns False if it is late and ignored."""
        newest = self._newest
        if newest is not None and not self._is_newer(newest, stamp):
            return False
        self._newest = stamp
        self._is_stopped = False
        return True

    def is_newest(self, stamp: HeartbeatStamp) -> bool:
        """Returns whether no newer message has arrived since."""
        return stamp == self._newest and not self._is_stopped

    def record_stop(self, instance: str, born_ms: int) -> bool:
        """Records that a server stopped; returns False if it isn't the newest.

        The stop may arrive before any heartbeat of its process.

        Args:
          instance: Name of the server.
          born_ms: Start time of its process, in milliseconds since 1970; 0 if
            the server did not send it.
        """
        newest = self._newest
        if newest is not None and not born_ms:
            if newest.instance != instance:
                # Nothing tells which of the two started later.
                return False
            born_ms = newest.born_ms
        if newest is not None and born_ms < newest.born_ms:
            return False
        if newest is None or (newest.instance, newest.born_ms) != (
            instance,
            born_ms,
        ):
            self._newest = HeartbeatStamp(
                instance=instance, born_ms=born_ms, sequence=0
            )
        self._is_stopped = True
        return True

    def _is_newer(self, newest: HeartbeatStamp, other: HeartbeatStamp) -> bool:
        if other.born_ms != newest.born_ms:
            return other.born_ms > newest.born_ms
        if other.instance != newest.instance:
            return True
        return not self._is_stopped and other.sequence > newest.sequence
