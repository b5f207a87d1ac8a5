"""What a replica's consensus offers to the other parts of its process."""

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
    """What one replica knows after applying the log.

    Attributes:
      state: The applied state.
      hashed: Snapshot of that state with its digest.
      is_leader: Whether this replica leads and a majority confirms it.
      leader_id: Believed leader; empty when none is known.
      stamp: Newest leader stamp seen.
      stamp_age_s: Seconds since that stamp arrived; 0 at the leader.
    """

    state: state.State
    hashed: delta.HashedSnapshot
    is_leader: bool
    leader_id: str
    stamp: LeaderStamp
    stamp_age_s: float


class ReplicaPort(abc.ABC):
    """Handle on the consensus of this process, for its own thread only."""

    @abc.abstractmethod
    def view(self) -> ClusterView:
        """Returns what the replica knows now."""

    @abc.abstractmethod
    def propose(
        self,
        command: commands.Command,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Offers a command to the log.

        Args:
          command: What to replicate.
          on_applied: Called with the version once the command is applied.
          on_refused: Called with the cause when this replica does not lead,
            or can't tell any more whether the command was accepted.
        """


class Subsystem(abc.ABC):
    """A part of the control process that runs on the replica's thread."""

    @property
    @abc.abstractmethod
    def channel(self) -> endpoint.Channel:
        """The channel whose messages this subsystem receives."""

    @abc.abstractmethod
    def receive(self, received: endpoint.Received, now: float) -> None:
        """Handles one message of the channel."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Lets time pass; called at least every `control.TICK_S`."""

    @abc.abstractmethod
    def observe(self, view: ClusterView, now: float) -> None:
        """Takes a new applied state, leader or leader stamp."""


class NodeVersions(abc.ABC):
    """What a replica knows of the versions that nodes hold."""

    @abc.abstractmethod
    def list_lagging(self, version: int) -> tuple[str, ...]:
        """Returns IDs of nodes not known to hold `version`, capped."""

    @abc.abstractmethod
    def find_version_in_force(self) -> int:
        """Returns the version that every reporting node holds at least."""
