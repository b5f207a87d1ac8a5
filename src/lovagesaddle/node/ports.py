"""What the two halves of a node offer each other.

The control thread follows the configuration on a thread of its own; the HTTP
half answers callers on waitress's threads.
"""

import abc
from collections.abc import Callable

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import quarantine
from lovagesaddle.transport import endpoint

CrashMark = quarantine.CrashMark


class SnapshotSink(abc.ABC):
    """Takes accepted configuration; implemented by the HTTP half."""

    @abc.abstractmethod
    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        """Swaps the routing table; called on the control thread.

        Args:
          hashed: The snapshot, newer than every one installed before.
          joined: Whether the join floor is reached, so that callers may be
            answered from it.
        """

    @abc.abstractmethod
    def add_crash_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Takes crash marks of other nodes; called on the control thread."""


class ControlPort(abc.ABC):
    """Handle on the control thread, for any thread."""

    @property
    @abc.abstractmethod
    def control_bytes(self) -> int:
        """Bytes of every frame that the control thread sent and received."""

    @abc.abstractmethod
    def announce_server(self, server: snapshots.BackendServer) -> None:
        """Reports that the local backend server joined, changed or drains."""

    @abc.abstractmethod
    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """Reports that the local backend server is gone."""

    @abc.abstractmethod
    def leave(self, timeout_s: float) -> bool:
        """Takes this node out of the mesh, after draining.

        Args:
          timeout_s: How long to wait, in seconds.

        Returns:
          Whether a version without this node arrived in time. Otherwise its
          lease lapses later.
        """

    @abc.abstractmethod
    def spread_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Sends crash marks to every node, with the next heartbeats."""

    @abc.abstractmethod
    def send(
        self, node_id: str, channel: endpoint.Channel, data: bytes
    ) -> bool:
        """Sends a message to another node of the snapshot.

        Returns:
          False when the node is unknown.
        """

    @abc.abstractmethod
    def subscribe(
        self, channel: endpoint.Channel, handler: Callable[[str, bytes], None]
    ) -> None:
        """Calls `handler(sender_id, data)` for each message of a channel.

        The handler runs on the control thread and must not block.
        """
