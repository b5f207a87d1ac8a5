"""Order and bounds of a node's graceful shutdown.

The backend servers of the VM go on without the node, so their slots are served
while callers turn away, and drained only then. The node still listens until
they are idle, since their running requests may call other services through it.
"""

import dataclasses
import enum

from lovagesaddle.core import part

# Callers that ask every second turn away after two misses.
LINGER_S = 2.5


class Stage(enum.Enum):
    """How far a shutdown is.

    SERVING: no shutdown was asked for.
    LEAVING: everything is served; callers are asked to go elsewhere.
    DRAINING: the owner refuses new work; running requests end.
    CLOSING: nothing new can arrive; what is held is answered.
    STOPPED: the process may exit.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    CLOSING = "closing"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """A shutdown is asked for; a second one changes nothing.

    Attributes:
      bound_s: Longest time that it may take, in seconds.
      servers: Local backend servers to drain.
    """

    bound_s: float
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDrained:
    """A local backend server runs nothing any more, or is gone."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InProgressChanged:
    """What the entry holds changed.

    Attributes:
      in_progress: Requests of callers and local services without an answer,
        and answers not yet sent as a whole.
      settling: Ends of claims not yet told to their holders.
    """

    in_progress: int
    settling: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time passed."""


Event = Begin | ServerDrained | InProgressChanged | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainServer:
    """Sends `admission.Drain` to a server's owner, and announces it."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerWithClose:
    """Answers every request with `Connection: close` from now on."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseListeners:
    """Closes the listening sockets; open connections stay."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exit:
    """Leaves the mesh and ends the process.

    Attributes:
      cut: Requests that the bound of time cuts; 0 on a whole shutdown.
      busy_servers: Servers that still run something.
    """

    cut: int
    busy_servers: tuple[str, ...]


Action = DrainServer | AnswerWithClose | CloseListeners | Exit


class GracefulShutdown(part.Part[Event, Action]):
    """The shutdown of one node."""

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
        """How far the shutdown is."""
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
