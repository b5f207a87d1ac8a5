"""Decides whether a heartbeat is of a server that runs at its address now.

A node remembers nothing through a restart, and any heartbeat may arrive seconds
late, the first one of a process too: its sender may have announced its leave to
the node's earlier process, or another server may have taken over the address.
So until a server is known, its heartbeat counts only if it was sent since the
node started, or if the server at the address vouches for it.
"""

import dataclasses

from lovagesaddle.core.membership import heartbeat_order

# Longest time that a heartbeat is on its way. One that arrives later than this
# after the start of the node was sent since then, and this process would know
# if its sender had left.
MAX_DELAY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """Answer of the server at an address to a health check.

    Attributes:
      instance: Instance ID that it states.
      is_serving: Whether it is healthy and not leaving.
    """

    instance: str
    is_serving: bool


def confirms(
    stamp: heartbeat_order.HeartbeatStamp,
    health: Health | None,
    *,
    node_age_s: float,
) -> bool:
    """Returns whether the server of a heartbeat may be registered.

    Args:
      stamp: The heartbeat; newer than all before it.
      health: What the server at the address answered, or None.
      node_age_s: Time since the node started, in seconds.
    """
    if health is not None:
        if health.instance != stamp.instance:
            return False
        if health.is_serving:
            return True
    return node_age_s > MAX_DELAY_S
