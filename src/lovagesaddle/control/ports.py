"""Interfaces between the subsystems of the control process."""

import abc
from collections.abc import Callable
import dataclasses

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import stamps
from lovagesaddle.transport import endpoint

LeaderStamp = stamps.LeaderStamp
Wake = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterView:
    """The state of the cluster as one replica knows it.

    Attributes:
      state: State after the last applied entry.
      hashed: Snapshot of that state with its digest.
      is_leader: Whether this replica leads, as confirmed by a majority.
      leader_id: ID of the assumed leader; empty if none is known.
      stamp: Newest leader stamp received.
      stamp_age_s: Time since that stamp was received, in seconds; 0 at the
        leader.
      current_at: Monotonic time in seconds up to which everything accepted is
        proved to be applied here; None if nothing proves a time.
    """

    state: state.State
    hashed: delta.HashedSnapshot
    is_leader: bool
    leader_id: str
    stamp: LeaderStamp
    stamp_age_s: float
    current_at: float | None = None


class ReplicaPort(abc.ABC):
    """Access to the consensus of this process.

    Only the replica's thread may use it.
    """

    @abc.abstractmethod
    def view(self) -> ClusterView:
        """Returns the current view of the cluster."""

    @abc.abstractmethod
    def propose(
        self,
        command: commands.Command,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Proposes a command for the replicated log.

        Args:
          command: What to replicate.
          on_applied: Called with the version once the command is applied.
          on_refused: Called with the cause when this replica does not lead,
            or no longer knows whether the command was accepted.
        """


class Subsystem(abc.ABC):
    """A component of the control process that runs on the replica's thread."""

    @property
    @abc.abstractmethod
    def channel(self) -> endpoint.Channel:
        """The channel whose messages this subsystem receives."""

    @abc.abstractmethod
    def receive(self, received: endpoint.Received, now: float) -> None:
        """Handles one message of the channel."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Handles timeouts; called about every `program.TICK_INTERVAL_S`."""

    @abc.abstractmethod
    def observe(self, view: ClusterView, now: float) -> None:
        """Handles a new applied state, leader or leader stamp."""


class NodeVersions(abc.ABC):
    """Reports which configuration versions the nodes hold."""

    @abc.abstractmethod
    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes not known to hold `version`.

        The number of IDs returned is limited.
        """

    @abc.abstractmethod
    def find_version_in_force(self) -> int:
        """Returns the lowest version that any reporting node holds."""
