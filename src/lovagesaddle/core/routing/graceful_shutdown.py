"""Stages and time limit of a node's graceful shutdown.

The backend servers of the VM outlive the node. So their slots are still served
while callers move to other nodes, and the servers are drained only after that.
The node listens until the servers are idle, since their running requests may
call other services through it.
"""

import dataclasses
import enum

from lovagesaddle.core import state_machine

# Callers that poll the node every second leave the node after two failed polls,
# which this time covers.
LINGER_S = 2.5


class Stage(enum.Enum):
    """Stages of a shutdown.

    SERVING: no shutdown was requested.
    LEAVING: all requests are served; callers are asked to use other nodes.
    DRAINING: the owner refuses new requests and finishes the running ones.
    CLOSING: no new request can arrive; requests in progress are answered.
    STOPPED: the process may exit.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Requests a shutdown; a second request changes nothing.

    Attributes:
      bound_s: Time limit of the shutdown, in seconds.
      servers: IDs of the local backend servers to drain.
    """

    bound_s: float
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDrained:
    """Reports that a local backend server is idle after a drain, or gone."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InProgressChanged:
    """Reports the number of requests in progress at the entry node.

    Attributes:
      in_progress: Number of requests of callers and local services that have
        no complete answer yet.
      settling: Number of claims whose end was not yet acknowledged by their
        holders.
    """

    in_progress: int
    settling: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Reports that time has passed."""


Event = Begin | ServerDrained | InProgressChanged | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainServer:
    """Sends `admission.Drain` to a server's owner and announces the drain."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerWithClose:
    """Answers every request with `Connection: close` from now on."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseListeners:
    """Closes the listening sockets; open connections stay."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exit:
    """Leaves the mesh and exits the process.

    Attributes:
      cut: Number of requests that the time limit cuts off; 0 after a complete
        shutdown.
      busy_servers: IDs of the servers that still run requests, sorted.
    """

    cut: int
    busy_servers: tuple[str, ...]


Action = DrainServer | AnswerWithClose | CloseListeners | Exit


class GracefulShutdown(state_machine.StateMachine[Event, Action]):
    """Steps through the shutdown of one node."""

    def __init__(self) -> None:
        self._stage = Stage.SERVING
        self._began_at = 0.0
        self._ends_at = 0.0
        self._servers: tuple[str, ...] = ()
        self._busy: set[str] = set()
        self._in_progress = 0
        self._settling = 0

    @property
    def stage(self) -> Stage:
        """Stage of the shutdown."""
        return self._stage

    def step(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handles one event."""
        actions: list[Action] = []
        match event:
            case Begin():
                self._begin(event, now, actions)
            case ServerDrained():
                self._busy.discard(event.server_id)
            case InProgressChanged():
                self._in_progress = event.in_progress
                self._settling = event.settling
            case Tick():
                pass
        self._advance(now, actions)
        return tuple(actions)

    def _begin(self, event: Begin, now: float, actions: list[Action]) -> None:
        if self._stage is not Stage.SERVING:
            return
        self._stage = Stage.LEAVING
        self._began_at = now
        self._ends_at = now + event.bound_s
        self._servers = event.servers
        actions.append(AnswerWithClose())

    def _advance(self, now: float, actions: list[Action]) -> None:
        if self._stage in (Stage.SERVING, Stage.STOPPED):
            return
        is_overdue = now >= self._ends_at
        if self._stage is Stage.LEAVING:
            if not is_overdue and now - self._began_at < LINGER_S:
                return
            self._stage = Stage.DRAINING
            self._busy = set(self._servers)
            actions.extend(
                DrainServer(server_id=server_id) for server_id in self._servers
            )
        if self._stage is Stage.DRAINING:
            if not is_overdue and self._busy:
                return
            self._stage = Stage.CLOSING
            actions.append(CloseListeners())
        if is_overdue or not (self._in_progress or self._settling):
            self._stage = Stage.STOPPED
            actions.append(
                Exit(
                    cut=self._in_progress,
                    busy_servers=tuple(sorted(self._busy)),
                )
            )
