"""Carries publishes and confirmed reads of this process to the leader."""

import collections
from concurrent import futures
import dataclasses
import itertools
import time

from returns import result

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
LEADER_SILENT = "the leader did not answer in time"
STOPPED = "this replica stops"
_MESSAGES = operator_messages.OPERATOR_MESSAGES
_Message = operator_messages.OperatorMessage


class LeaderUnavailableError(errors.LovagesaddleError):
    """Raised when no leader gave an answer.

    A publish may have been accepted all the same.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Errand:
    request: _Message
    answer: futures.Future[_Message]
    deadline: float


class Forwarder(ports.Subsystem):
    """Has requests of other threads answered by the leader.

    Any thread may publish and read; the rest belongs to the replica's thread.
    A replica that leads answers by itself, another one asks the leader over
    its own link and refuses at once while it knows of none.

    Args:
      own_id: Name of this replica.
      endpoint: The process's endpoint.
      consensus: The replica of this process.
      operators: Answers what this replica can answer itself.
      wake: Wakes the replica's thread; for any thread.
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
        self._numbers = itertools.count(1)
        self._asked: collections.deque[_Errand] = collections.deque()
        self._sent: dict[str, _Errand] = {}

    def publish(
        self, command: commands.PublishServices, timeout_s: float
    ) -> result.Result[commands.PublishResult, LeaderUnavailableError]:
        """Publishes; returns once it is accepted or refused for good.

        Args:
          command: What to publish; the same one may be sent again.
          timeout_s: Longest wait, in seconds.
        """
        answer = self._ask(self._make_order(command), timeout_s)
        if isinstance(answer, operator_messages.PublishAnswer):
            return result.Success(answer.result)
        return result.Failure(_describe("publish", answer))

    def read_newest(
        self, timeout_s: float
    ) -> result.Result[operator_messages.NewestAnswer, LeaderUnavailableError]:
        """Returns what is sure to be the newest publication.

        Args:
          timeout_s: Longest wait, in seconds.
        """
        held = self._consensus.state
        request = operator_messages.NewestRequest(
            request_id=self._number(), held_version=held.publication_version
        )
        answer = self._ask(request, timeout_s)
        if isinstance(answer, operator_messages.NewestAnswer):
            if answer.is_held:
                answer = dataclasses.replace(answer, document=held.document)
            return result.Success(answer)
        return result.Failure(_describe("read the newest publication", answer))

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel whose messages this subsystem receives."""
        return endpoint_lib.Channel.OPERATOR

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Takes an answer of the leader; requests are not for this part."""
        del now
        message = _MESSAGES.decode(received.data, peer=received.sender_id)
        errand = self._sent.pop(message.request_id, None)
        if errand is not None:
            errand.answer.set_result(message)

    def tick(self, now: float) -> None:
        """Refuses what the leader left unanswered for too long."""
        late = [k for k, held in self._sent.items() if now >= held.deadline]
        for request_id in late:
            self._refuse(self._sent.pop(request_id), LEADER_SILENT)

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Takes a new applied state, leader or leader stamp."""

    def flush(self) -> None:
        """Sends what other threads have asked for."""
        while self._asked:
            self._carry_out(self._asked.popleft())

    def close(self) -> None:
        """Refuses everything that is open, since the process stops."""
        self.flush()
        for errand in self._sent.values():
            self._refuse(errand, STOPPED)
        self._sent.clear()

    def _make_order(self, command: commands.PublishServices) -> _Message:
        # On the calling thread, so that the replica's own beats go on.
        stored = publication_edits.to_stored_command(
            self._consensus.state, command
        )
        if isinstance(stored, commands.EditPublication):
            return operator_messages.EditRequest(
                request_id=self._number(), command=stored
            )
        return operator_messages.PublishRequest(
            request_id=self._number(), command=command
        )

    def _number(self) -> str:
        return f"{self._own_id}/{next(self._numbers)}"

    def _ask(self, request: _Message, timeout_s: float) -> _Message | str:
        """Returns the answer, or why none came."""
        errand = _Errand(
            request=request,
            answer=futures.Future(),
            deadline=time.monotonic() + timeout_s,
        )
        self._asked.append(errand)
        self._wake()
        try:
            return errand.answer.result(timeout_s)
        except futures.TimeoutError:
            return LEADER_SILENT

    def _carry_out(self, errand: _Errand) -> None:
        if self._consensus.view().is_leader:
            self._operators.handle(errand.request, errand.answer.set_result)
            return
        leader_id = self._consensus.view().leader_id
        leader = self._consensus.replica.members.find_replica(leader_id)
        if leader is None or leader_id == self._own_id:
            self._refuse(errand, NO_LEADER)
            return
        data = _MESSAGES.encode(errand.request)
        peer = replica_links.make_peer(leader)
        if self._endpoint.send(peer, self.channel, data):
            self._sent[errand.request.request_id] = errand
        else:
            self._refuse(errand, f"the link to {leader_id} is full")

    def _refuse(self, errand: _Errand, cause: str) -> None:
        self._log.info(
            "forward_failed",
            request=errand.request.request_id,
            kind=type(errand.request).__name__,
            cause=cause,
        )
        leader_id = self._consensus.view().leader_id
        errand.answer.set_result(
            operator_messages.NotLeader(
                request_id=errand.request.request_id,
                leader_id=leader_id,
                leader_address="",
                cause=cause,
            )
        )


def _describe(step: str, answer: _Message | str) -> LeaderUnavailableError:
    if isinstance(answer, operator_messages.NotLeader):
        return LeaderUnavailableError(
            step=step, peer=answer.leader_id or "leader", cause=answer.cause
        )
    cause = answer if isinstance(answer, str) else "answer is of another kind"
    return LeaderUnavailableError(step=step, peer="leader", cause=cause)
