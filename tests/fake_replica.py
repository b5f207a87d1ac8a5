"""A fake replica that answers operators without consensus."""

from collections.abc import Callable
import threading
from typing import Self

import zmq

from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint
from lovagesaddle.transport import keys as keys_lib

ANY_PORT = "tcp://127.0.0.1:*"
POLL_S = 0.02

Message = operator_messages.OperatorMessage
Answerer = Callable[[Message], Message | None]


class FakeReplica:
    """Answers requests with the results of `answer`, on its own thread.

    Args:
      replica_id: ID of the replica.
      answer: Returns the answer to a request, or None to send none. It runs
        on the replica's thread.
      keys: Keys for encrypted links, or None for unencrypted ones.
    """

    def __init__(
        self,
        replica_id: str,
        answer: Answerer,
        keys: keys_lib.LinkKeys | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.seen: list[Message] = []
        self._answer = answer
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._endpoint = endpoint.Endpoint(
            context=self._context,
            own_id=replica_id,
            bind_address=ANY_PORT,
            keys=keys,
        )
        self.address = self._endpoint.address
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()
        self._endpoint.close()
        self._context.term()

    def _run(self) -> None:
        registry = operator_messages.OPERATOR_MESSAGES
        while not self._stopping.is_set():
            for received in self._endpoint.receive(POLL_S):
                request = registry.decode(received.data, peer="test")
                self.seen.append(request)
                answer = self._answer(request)
                if answer is not None:
                    self._endpoint.answer(
                        received.route,
                        received.channel,
                        registry.encode(answer),
                    )


class FakeCluster:
    """Holds the replicated state that a fake leader answers from.

    Attributes:
      state: State after the publishes accepted so far.
      in_force_version: Reported in a status; None for the newest version.
      stale_s: Staleness in seconds, reported in every answer to a read.
    """

    def __init__(self) -> None:
        self.state = state_lib.make_initial_state()
        self.in_force_version: int | None = None
        self.stale_s = 0.0

    def answer(self, request: Message) -> Message | None:
        """Returns the answer of the leader to a request."""
        match request:
            case operator_messages.PublishRequest():
                return self._publish(request)
            case operator_messages.StatusRequest():
                return self._make_status(request)
            case operator_messages.NewestRequest():
                return operator_messages.NewestAnswer(
                    request_id=request.request_id,
                    publication_version=self.state.publication_version,
                    document=self.state.document,
                )
            case operator_messages.HistoryRequest():
                kept = reversed(self.state.publications)
                return operator_messages.HistoryAnswer(
                    request_id=request.request_id,
                    version=self.state.snapshot.version,
                    stale_s=self.stale_s,
                    publications=tuple(k.publication for k in kept)[
                        : request.limit
                    ],
                )
            case operator_messages.ServicesRequest():
                return self._list_services(request)
            case operator_messages.SnapshotRequest():
                return operator_messages.SnapshotAnswer(
                    request_id=request.request_id,
                    stale_s=self.stale_s,
                    snapshot=self.state.snapshot,
                )
            case operator_messages.AddKindRequest():
                self.state = state_lib.apply_command(
                    self.state,
                    self.state.snapshot.version + 1,
                    commands.AddKind(kind=request.kind),
                ).state
                return operator_messages.AddKindAnswer(
                    request_id=request.request_id, kinds=self.state.kinds or ()
                )
            case operator_messages.ChangeReplicaRequest():
                return operator_messages.ChangeReplicaAnswer(
                    request_id=request.request_id,
                    accepted=request.action != "remove",
                    cause="too few would be left",
                )
        return None

    def _publish(
        self, request: operator_messages.PublishRequest
    ) -> operator_messages.PublishAnswer:
        applied = state_lib.apply_command(
            self.state, self.state.snapshot.version + 1, request.command
        )
        self.state = applied.state
        assert applied.result is not None
        return operator_messages.PublishAnswer(
            request_id=request.request_id, result=applied.result
        )

    def _make_status(
        self, request: operator_messages.StatusRequest
    ) -> operator_messages.StatusAnswer:
        version = self.state.snapshot.version
        in_force = self.in_force_version
        return operator_messages.StatusAnswer(
            request_id=request.request_id,
            replica_id="c1",
            leader_id="" if self.stale_s else "c1",
            term=3,
            version=version,
            publication_version=self.state.publication_version,
            stale_s=self.stale_s,
            replicas=(),
            node_count=4,
            in_force_version=version if in_force is None else in_force,
            lagging=() if in_force is None else ("n3",),
        )

    def _list_services(
        self, request: operator_messages.ServicesRequest
    ) -> operator_messages.ServicesAnswer:
        version = request.version or self.state.publication_version
        found = [
            kept
            for kept in self.state.publications
            if kept.publication.version == version
        ]
        return operator_messages.ServicesAnswer(
            request_id=request.request_id,
            found=bool(found),
            version=version,
            stale_s=self.stale_s,
            services=found[0].services if found else (),
        )


def refuse_as_follower(leader: FakeReplica) -> Answerer:
    """Returns a function that answers like a follower of `leader`."""

    def answer(request: Message) -> Message | None:
        return operator_messages.NotLeader(
            request_id=request.request_id,
            leader_id=leader.replica_id,
            leader_address=leader.address,
            cause="this replica follows",
        )

    return answer


def make_settings(
    *replicas: FakeReplica, timeout_s: float = 10.0
) -> schema.OperatorSettings:
    """Returns operator settings with the addresses of these replicas."""
    return schema.OperatorSettings(
        replicas=tuple(
            schema.ReplicaAddress(
                replica_id=replica.replica_id, address=replica.address
            )
            for replica in replicas
        ),
        operator="ana",
        timeout_s=timeout_s,
    )
