"""Forwards publishes and linearizable reads of this process to the leader."""

import collections
from concurrent import futures
import dataclasses
import itertools

from returns import result

from lovagesaddle import clocks
from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.control import operator_requests
from lovagesaddle.control import ports
from lovagesaddle.control import replica_links
from lovagesaddle.core import errors
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint as endpoint_lib

NO_LEADER = "no leader is known"
LEADER_TIMEOUT = "the leader did not answer in time"
STOPPING = "this replica is stopping"
_MESSAGES = operator_messages.OPERATOR_MESSAGES
_Message = operator_messages.OperatorMessage


class LeaderUnavailableError(errors.LovagesaddleError):
    """Raised when no answer from a leader was received.

    The outcome of a publish is then unknown: it may have been accepted.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRequest:
    request: _Message
    answer: futures.Future[_Message]
    deadline: float


class Forwarder(ports.Subsystem):
    """Passes requests from other threads to the leader.

    Any thread may call `publish`, `read_newest`, `start_rollout` and
    `read_rollout`; only the replica's thread
    may call the other methods. A leader answers a request itself. A follower
    sends it to the leader over its own link, or refuses it at once if no
    leader is known.

    Args:
      own_id: ID of this replica.
      endpoint: ZeroMQ endpoint of the process.
      consensus: Consensus of this replica.
      operators: Answers requests while this replica leads.
      wake: Wakes the replica's thread; any thread may call it.
    """

    def __init__(
        self,
        *,
        own_id: str,
        endpoint: endpoint_lib.Endpoint,
        consensus: consensus_lib.Consensus,
        operators: operator_requests.OperatorRequests,
        wake: ports.Wake,
    ) -> None:
        self._log = logs.get_logger("forwarder")
        self._own_id = own_id
        self._endpoint = endpoint
        self._consensus = consensus
        self._operators = operators
        self._wake = wake
        self._request_numbers = itertools.count(1)
        self._queue: collections.deque[_PendingRequest] = collections.deque()
        self._in_flight: dict[str, _PendingRequest] = {}

    def publish(
        self, command: commands.PublishServices, timeout_s: float
    ) -> result.Result[commands.PublishResult, LeaderUnavailableError]:
        """Publishes a configuration and waits for the final outcome.

        Args:
          command: What to publish. Resending the same command is safe.
          timeout_s: Timeout, in seconds.
        """
        answer = self._ask(self._make_request(command), timeout_s)
        if isinstance(answer, operator_messages.PublishAnswer):
            return result.Success(answer.result)
        return result.Failure(_make_error("publish", answer))

    def read_newest(
        self, timeout_s: float
    ) -> result.Result[operator_messages.NewestAnswer, LeaderUnavailableError]:
        """Returns the newest publication, by a linearizable read.

        Args:
          timeout_s: Timeout, in seconds.
        """
        held = self._consensus.state
        request = operator_messages.NewestRequest(
            request_id=self._next_request_id(),
            held_version=held.publication_version,
        )
        answer = self._ask(request, timeout_s)
        if isinstance(answer, operator_messages.NewestAnswer):
            if answer.is_held:
                answer = dataclasses.replace(answer, document=held.document)
            return result.Success(answer)
        return result.Failure(
            _make_error("read the newest publication", answer)
        )

    def start_rollout(
        self, order: commands.StartRollout, timeout_s: float
    ) -> result.Result[commands.RolloutOutcome, LeaderUnavailableError]:
        """Orders a roll-out and waits for the outcome of the order.

        Args:
          order: What to roll out. Resending the same order is safe.
          timeout_s: Timeout, in seconds.
        """
        request = operator_messages.StartRolloutRequest(
            request_id=self._next_request_id(), order=order
        )
        answer = self._ask(request, timeout_s)
        if isinstance(answer, operator_messages.StartRolloutAnswer):
            return result.Success(answer.outcome)
        return result.Failure(_make_error("order a roll-out", answer))

    def read_rollout(
        self, service: str, timeout_s: float
    ) -> result.Result[operator_messages.RolloutAnswer, LeaderUnavailableError]:
        """Returns the newest roll-out of a service, by a linearizable read.

        Args:
          service: Name of the service.
          timeout_s: Timeout, in seconds.
        """
        request = operator_messages.RolloutRequest(
            request_id=self._next_request_id(), service=service
        )
        answer = self._ask(request, timeout_s)
        if isinstance(answer, operator_messages.RolloutAnswer):
            return result.Success(answer)
        return result.Failure(_make_error("read a roll-out", answer))

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel whose messages this subsystem receives."""
        return endpoint_lib.Channel.OPERATOR

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Handles an answer of the leader; ignores requests."""
        del now
        message = _MESSAGES.decode(received.data, peer=received.sender_id)
        pending = self._in_flight.pop(message.request_id, None)
        if pending is not None:
            pending.answer.set_result(message)

    def tick(self, now: float) -> None:
        """Refuses the requests whose deadline has passed."""
        expired = [
            k for k, held in self._in_flight.items() if now >= held.deadline
        ]
        for request_id in expired:
            self._refuse(self._in_flight.pop(request_id), LEADER_TIMEOUT)

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Ignores the new view; requests read the view when they are sent."""

    def flush(self) -> None:
        """Sends the requests that other threads have queued."""
        while self._queue:
            self._dispatch(self._queue.popleft())

    def close(self) -> None:
        """Refuses all open requests because the process is stopping."""
        self.flush()
        for pending in self._in_flight.values():
            self._refuse(pending, STOPPING)
        self._in_flight.clear()

    def _make_request(self, command: commands.PublishServices) -> _Message:
        # This method runs on the calling thread and not on the replica's, so
        # that computing the edit does not delay the replica's heartbeats.
        stored = publication_edits.to_stored_command(
            self._consensus.state, command
        )
        if isinstance(stored, commands.EditPublication):
            return operator_messages.EditRequest(
                request_id=self._next_request_id(), command=stored
            )
        return operator_messages.PublishRequest(
            request_id=self._next_request_id(), command=command
        )

    def _next_request_id(self) -> str:
        return f"{self._own_id}/{next(self._request_numbers)}"

    def _ask(self, request: _Message, timeout_s: float) -> _Message | str:
        """Returns the answer, or the cause if none was received."""
        pending = _PendingRequest(
            request=request,
            answer=futures.Future(),
            deadline=clocks.read_uptime() + timeout_s,
        )
        self._queue.append(pending)
        self._wake()
        try:
            return pending.answer.result(timeout_s)
        except futures.TimeoutError:
            return LEADER_TIMEOUT

    def _dispatch(self, pending: _PendingRequest) -> None:
        if self._consensus.view().is_leader:
            self._operators.handle(pending.request, pending.answer.set_result)
            return
        leader_id = self._consensus.view().leader_id
        leader = self._consensus.replica.members.find_replica(leader_id)
        if leader is None or leader_id == self._own_id:
            self._refuse(pending, NO_LEADER)
            return
        data = _MESSAGES.encode(pending.request)
        peer = replica_links.make_peer(leader)
        if self._endpoint.send(peer, self.channel, data):
            self._in_flight[pending.request.request_id] = pending
        else:
            self._refuse(pending, f"the link to {leader_id} is full")

    def _refuse(self, pending: _PendingRequest, cause: str) -> None:
        self._log.info(
            "forward_failed",
            request=pending.request.request_id,
            kind=type(pending.request).__name__,
            cause=cause,
        )
        leader_id = self._consensus.view().leader_id
        pending.answer.set_result(
            operator_messages.NotLeader(
                request_id=pending.request.request_id,
                leader_id=leader_id,
                leader_address="",
                cause=cause,
            )
        )


def _make_error(step: str, answer: _Message | str) -> LeaderUnavailableError:
    if isinstance(answer, operator_messages.NotLeader):
        return LeaderUnavailableError(
            step=step, peer=answer.leader_id or "leader", cause=answer.cause
        )
    cause = (
        answer
        if isinstance(answer, str)
        else "the answer has an unexpected type"
    )
    return LeaderUnavailableError(step=step, peer="leader", cause=cause)
