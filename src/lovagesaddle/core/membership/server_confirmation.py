"""Decides whether a heartbeat is of a server that runs at its address now.

A node remembers nothing through a restart, and a heartbeat may arrive seconds
late: its sender may have announced its leave to the node's earlier process, or
another server may have taken over the address. So until a server is known, its
heartbeat counts only with what the server at the address says of itself.
"""

import dataclasses

from lovagesaddle.core.membership import heartbeat_order

# No message of a process is older than its first heartbeat.
FIRST_SEQUENCE = 1
# Without a health answer that confirms it, a server is one whose heartbeats go
# on. Late ones are few and arrive together.
CONFIRMING_HEARTBEATS = 3
CONFIRMING_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """Answer of the server at an address to a health check.

    Attributes:
      instance: Instance ID that it states.
      is_serving: Whether it is healthy and not leaving.
    """

    instance: str
    is_serving: bool


class ServerConfirmation:
    """Tracks the heartbeats of a server that is not known yet."""

    def __init__(self) -> None:
        self._process = ("", 0)
        self._count = 0
        self._first_at = 0.0

    def confirm(
        self,
        stamp: heartbeat_order.HeartbeatStamp,
        health: Health | None,
        now: float,
    ) -> bool:
        """Returns whether the server of a heartbeat may be registered.

        Args:
          stamp: The heartbeat; newer than all before it.
          health: What the server at the address answered, or None.
          now: Monotonic time in seconds.
        """
        if health is not None and health.instance != stamp.instance:
            return False
        process = (stamp.instance, stamp.born_ms)
        if process != self._process:
            self._process = process
            self._count = 0
            self._first_at = now
        self._count += 1
        if health is not None and health.is_serving:
            return True
        return stamp.sequence == FIRST_SEQUENCE or (
            self._count >= CONFIRMING_HEARTBEATS
            and now - self._first_at >= CONFIRMING_S
        )
