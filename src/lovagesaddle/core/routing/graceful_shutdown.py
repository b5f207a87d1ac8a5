"""Stages and schedule of a node's graceful shutdown.

The backend servers of the VM outlive the node. So their slots are still served
while callers move to other nodes, and the servers are drained only after that.
The node listens until the servers are idle, since their running requests may
call other services through it. It ends once no connection of a requester is
open, since any open one may still bring a request. Each stage ends by a report
that was made after the stage began: an earlier one may miss what came until
then. All times follow from the grace period, at whose end the process is
killed: a request is taken only if it can be answered before that.
"""

import dataclasses
import enum

from lovagesaddle.core import state_machine

# Callers that poll the node every second leave the node after two failed polls,
# which this time covers.
LINGER_S = 2.5
# Largest share of the grace period that callers get for it, so that requests
# taken until then can still be answered.
MAX_LINGER_SHARE = 5 / 12
# Share of the grace period after which open requests are ended: refused if they
# have not run, else answered as unknown.
REQUEST_SHARE = 7 / 8
# Share after which connections are closed, whether all is sent or not. The rest
# is left to leave the mesh and to end the process.
ANSWER_SHARE = 11 / 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """Times of a shutdown, in monotonic seconds.

    Attributes:
      callers_left_at: When callers had time to move to other nodes.
      requests_end_at: When requests that wait or run are ended.
      answers_end_at: When answers that are not sent completely are cut off.
    """

    callers_left_at: float
    requests_end_at: float
    answers_end_at: float

    def allows(self, *, now: float, deadline: float, run_s: float) -> bool:
        """Returns whether a request that has just arrived may be taken.

        Callers that have not had time to leave are served if the request is
        expected to end in time; later, only if it has to.

        Args:
          now: When the request arrived.
          deadline: When its caller gets an answer at the latest.
          run_s: Longest time that it is expected to take, in seconds; 0 if
            unknown.
        """
        if now < self.callers_left_at:
            return now + run_s <= self.requests_end_at
        return deadline <= self.requests_end_at


def make_schedule(now: float, grace_s: float) -> Schedule:
    """Returns the schedule of a shutdown that begins now."""
    linger_s = min(LINGER_S, grace_s * MAX_LINGER_SHARE)
    return Schedule(
        callers_left_at=now + linger_s,
        requests_end_at=now + grace_s * REQUEST_SHARE,
        answers_end_at=now + grace_s * ANSWER_SHARE,
    )


class Stage(enum.Enum):
    """Stages of a shutdown.

    SERVING: no shutdown was requested.
    LEAVING: all requests are served; callers are asked to use other nodes.
    DRAINING: the owner refuses new requests and finishes the running ones.
    CLOSING: no new connection is accepted; the open ones are closed as they
      become idle, and requests that arrive on them until then are answered.
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
      grace_s: Time until the process is killed, in seconds.
    """

    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InProgressChanged:
    """Reports what is in progress at the node.

    Attributes:
      in_progress: Number of requests of callers and local services that have
        no complete answer yet.
      connections: Number of their open connections, also of those without a
        request.
      settling: Number of claims whose end was not yet acknowledged by their
        holders.
      busy_servers: IDs of the local backend servers that run requests, or of
        whose answers other nodes have only a part, sorted.
    """

    in_progress: int
    connections: int = 0
    settling: int = 0
    busy_servers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Reports that time has passed."""


Event = Begin | InProgressChanged | Tick


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainServers:
    """Drains the local backend servers, also those that are announced later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitRequests:
    """Takes only requests that the schedule allows from now on.

    Every answer gets `Connection: close`.
    """

    schedule: Schedule


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseListeners:
    """Closes the listening sockets, and idle connections from now on."""


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


Action = DrainServers | LimitRequests | CloseListeners | Exit


class GracefulShutdown(state_machine.StateMachine[Event, Action]):
    """Steps through the shutdown of one node."""

    def __init__(self) -> None:
        self._stage = Stage.SERVING
        self._schedule: Schedule | None = None
        self._report = InProgressChanged(in_progress=0)
        # Whether the report was made in the present stage.
        self._is_current = False

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
            case InProgressChanged():
                self._report = event
                self._is_current = True
            case Tick():
                pass
        self._advance(now, actions)
        return tuple(actions)

    def _begin(self, event: Begin, now: float, actions: list[Action]) -> None:
        if self._stage is not Stage.SERVING:
            return
        self._stage = Stage.LEAVING
        self._schedule = make_schedule(now, event.grace_s)
        actions.append(LimitRequests(schedule=self._schedule))

    def _advance(self, now: float, actions: list[Action]) -> None:
        if self._schedule is None or self._stage is Stage.STOPPED:
            return
        is_overdue = now >= self._schedule.answers_end_at
        if self._stage is Stage.LEAVING:
            if now < self._schedule.callers_left_at:
                return
            self._enter(Stage.DRAINING)
            actions.append(DrainServers())
        report = self._report
        if self._stage is Stage.DRAINING:
            is_idle = self._is_current and not report.busy_servers
            if not (is_overdue or is_idle):
                return
            self._enter(Stage.CLOSING)
            actions.append(CloseListeners())
        is_done = self._is_current and not (
            report.in_progress or report.connections or report.settling
        )
        if is_overdue or is_done:
            self._enter(Stage.STOPPED)
            actions.append(
                Exit(cut=report.in_progress, busy_servers=report.busy_servers)
            )

    def _enter(self, stage: Stage) -> None:
        self._stage = stage
        self._is_current = False
