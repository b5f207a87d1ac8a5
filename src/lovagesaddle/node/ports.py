"""Interfaces between the control thread and the HTTP side of a node.

The control thread receives configuration; the HTTP side answers callers on
waitress's threads.
"""

import abc
from collections.abc import Callable

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import snapshots
from lovagesaddle.core.rollouts import evidence
from lovagesaddle.core.routing import quarantine
from lovagesaddle.transport import endpoint

CrashMark = quarantine.CrashMark


class SnapshotSink(abc.ABC):
    """Receives accepted configuration; implemented by the HTTP side."""

    @abc.abstractmethod
    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        """Swaps the routing table; called on the control thread.

        Args:
          hashed: The snapshot; it is newer than all installed before.
          joined: Whether the version has reached the join floor, so that
            callers may be answered from it.
        """

    @abc.abstractmethod
    def record_proof(self, current_at: float) -> None:
        """Records how current the installed snapshot is.

        It is called on the control thread, after the install.

        Args:
          current_at: Monotonic time in seconds; everything that was accepted
            before it is part of the snapshot.
        """

    @abc.abstractmethod
    def add_crash_marks(self, marks: tuple[CrashMark, ...]) -> None:
        """Adds crash marks of other nodes; called on the control thread."""


class ControlPort(abc.ABC):
    """Gives any thread access to the control thread."""

    @property
    @abc.abstractmethod
    def control_bytes(self) -> int:
        """Total bytes of all frames that the control thread exchanged."""

    @abc.abstractmethod
    def announce_server(self, server: snapshots.BackendServer) -> None:
        """Reports that the local backend server joined, changed or drains."""

    @abc.abstractmethod
    def withdraw_server(self, server_id: str, incarnation: int) -> None:
        """Reports that the local backend server is gone."""

    @abc.abstractmethod
    def leave(self, timeout_s: float) -> bool:
        """Removes this node from the mesh; call it once the node is drained.

        Args:
          timeout_s: Longest time to wait, in seconds.

        Returns:
          Whether a version without this node arrived in time. If not, the
          node is removed once its lease expires.
        """

    @abc.abstractmethod
    def request_proof(self) -> None:
        """Asks for a proof of the configuration's age, without waiting."""

    @abc.abstractmethod
    def report_evidence(self, versions: tuple[evidence.Evidence, ...]) -> None:
        """Sends the leader how local servers answer during a roll-out."""

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
