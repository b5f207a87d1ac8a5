"""Answers operator requests: publish, status, history, services, replicas."""

from collections.abc import Callable

from lovagesaddle.control import consensus as consensus_lib
from lovagesaddle.control import ports
from lovagesaddle.control import replica_changes
from lovagesaddle.control import rollout_requests
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.observability import logs
from lovagesaddle.transport import endpoint as endpoint_lib

Reply = Callable[[operator_messages.OperatorMessage], None]

NOT_LEADER = "this replica does not lead"
_MESSAGES = operator_messages.OPERATOR_MESSAGES
_PublishRequest = (
    operator_messages.PublishRequest | operator_messages.EditRequest
)


class OperatorRequests(ports.Subsystem):
    """Handles the messages of the operator channel of a replica.

    Args:
      own_id: ID of this replica.
      endpoint: ZeroMQ endpoint of the process.
      consensus: Consensus of this replica.
      replicas: Adds, removes and replaces replicas.
      node_versions: Reports which versions the nodes hold.
      rolls_out: Whether versions of services' software are rolled out.
    """

    def __init__(
        self,
        *,
        own_id: str,
        endpoint: endpoint_lib.Endpoint,
        consensus: consensus_lib.Consensus,
        replicas: replica_changes.ReplicaChanges,
        node_versions: ports.NodeVersions,
        rolls_out: bool = False,
    ) -> None:
        self._rollouts = rollout_requests.RolloutRequests(
            consensus, self._refuse, is_enabled=rolls_out
        )
        self._log = logs.get_logger("operators")
        self._own_id = own_id
        self._endpoint = endpoint
        self._consensus = consensus
        self._replicas = replicas
        self._node_versions = node_versions

    @property
    def channel(self) -> endpoint_lib.Channel:
        """The channel whose messages this subsystem receives."""
        return endpoint_lib.Channel.OPERATOR

    def receive(self, received: endpoint_lib.Received, now: float) -> None:
        """Handles one request."""
        del now
        request = _MESSAGES.decode(received.data, peer=received.sender_id)
        route = received.route

        def reply(answer: operator_messages.OperatorMessage) -> None:
            self._endpoint.answer(route, self.channel, _MESSAGES.encode(answer))

        self.handle(request, reply)

    def handle(
        self, request: operator_messages.OperatorMessage, reply: Reply
    ) -> None:
        """Handles one request and calls `reply` with its answer.

        A change is answered once it is committed. Messages that are not
        requests are not answered.
        """
        match request:
            case (
                operator_messages.PublishRequest()
                | operator_messages.EditRequest()
            ):
                self._publish(request, reply)
            case operator_messages.ChangeReplicaRequest():
                self._change_replica(request, reply)
            case operator_messages.AddKindRequest():
                self._add_kind(request, reply)
            case operator_messages.NewestRequest():
                self._read_newest(request, reply)
            case operator_messages.StartRolloutRequest():
                self._rollouts.start(request, reply)
            case operator_messages.RolloutRequest():
                self._rollouts.read(request, reply)
            case _:
                self._answer_read(request, reply)

    def _answer_read(
        self, request: operator_messages.OperatorMessage, reply: Reply
    ) -> None:
        """Answers a request by what this replica knows, whether it leads."""
        match request:
            case operator_messages.StatusRequest():
                reply(self._describe_status(request))
            case operator_messages.HistoryRequest():
                reply(self._list_history(request))
            case operator_messages.ServicesRequest():
                reply(self._find_services(request))
            case operator_messages.SnapshotRequest():
                reply(self._get_snapshot(request))

    def tick(self, now: float) -> None:
        """Continues a change of the replicas that is in progress."""
        del now
        self._replicas.tick()

    def observe(self, view: ports.ClusterView, now: float) -> None:
        """Ignores the new view; each request reads the current one."""

    def _refuse(self, request_id: str, cause: str, reply: Reply) -> None:
        leader_id = self._consensus.view().leader_id
        leader = self._consensus.replica.members.find_replica(leader_id)
        self._log.info("request_refused", request=request_id, cause=cause)
        answer = operator_messages.NotLeader(
            request_id=request_id,
            leader_id=leader_id,
            leader_address="" if leader is None else leader.address,
            cause=cause,
        )
        reply(answer)

    def _publish(self, request: _PublishRequest, reply: Reply) -> None:
        if not self._consensus.view().is_leader:
            self._refuse(request.request_id, NOT_LEADER, reply)
            return
        state = self._consensus.view().state
        cause_of_refusal = publication_edits.check_stored_command(
            state, request.command
        )
        if cause_of_refusal:
            self._refuse(request.request_id, cause_of_refusal, reply)
            return
        self._consensus.propose(
            request.command,
            lambda _: self._finish_publish(request, reply),
            lambda cause: self._refuse(request.request_id, cause, reply),
        )

    def _add_kind(
        self, request: operator_messages.AddKindRequest, reply: Reply
    ) -> None:
        if not self._consensus.view().is_leader:
            self._refuse(request.request_id, NOT_LEADER, reply)
            return

        def finish(_: int) -> None:
            kinds = self._consensus.state.kinds or ()
            self._log.info("kind_added", kind=request.kind, kinds=len(kinds))
            reply(
                operator_messages.AddKindAnswer(
                    request_id=request.request_id, kinds=kinds
                )
            )

        self._consensus.propose(
            commands.AddKind(kind=request.kind),
            finish,
            lambda cause: self._refuse(request.request_id, cause, reply),
        )

    def _read_newest(
        self, request: operator_messages.NewestRequest, reply: Reply
    ) -> None:
        def finish(_: int) -> None:
            state = self._consensus.state
            version = state.publication_version
            is_held = version != 0 and version == request.held_version
            reply(
                operator_messages.NewestAnswer(
                    request_id=request.request_id,
                    publication_version=version,
                    document=None if is_held else state.document,
                    is_held=is_held,
                )
            )

        self._consensus.read(
            finish,
            lambda cause: self._refuse(request.request_id, cause, reply),
        )

    def _finish_publish(self, request: _PublishRequest, reply: Reply) -> None:
        result = self._find_result(request.command.publish_id)
        self._log.info(
            "publish_answered",
            publish=request.command.publish_id,
            operator=request.command.operator,
            outcome=result.outcome.value,
            version=result.version,
        )
        reply(
            operator_messages.PublishAnswer(
                request_id=request.request_id, result=result
            )
        )

    def _find_result(self, publish_id: str) -> commands.PublishResult:
        for record in reversed(self._consensus.view().state.results):
            if record.publish_id == publish_id:
                return record.result
        raise AssertionError(f"publish {publish_id} was not applied")

    def _change_replica(
        self, request: operator_messages.ChangeReplicaRequest, reply: Reply
    ) -> None:
        if not self._consensus.view().is_leader:
            self._refuse(request.request_id, NOT_LEADER, reply)
            return

        def finish(decision: replica_changes.Decision) -> None:
            answer = operator_messages.ChangeReplicaAnswer(
                request_id=request.request_id,
                accepted=decision.is_accepted,
                cause=decision.cause,
            )
            reply(answer)

        self._replicas.change(request, finish)

    def _describe_status(
        self, request: operator_messages.StatusRequest
    ) -> operator_messages.StatusAnswer:
        view = self._consensus.view()
        snapshot = view.state.snapshot
        return operator_messages.StatusAnswer(
            request_id=request.request_id,
            replica_id=self._own_id,
            leader_id=view.leader_id,
            term=self._consensus.replica.term,
            version=snapshot.version,
            publication_version=view.state.publication_version,
            stale_s=view.stamp_age_s,
            replicas=self._describe_replicas(),
            node_count=len(snapshot.nodes),
            in_force_version=self._node_versions.find_version_in_force(),
            lagging=self._node_versions.list_lagging(snapshot.version),
        )

    def _describe_replicas(
        self,
    ) -> tuple[operator_messages.ReplicaStatus, ...]:
        replica = self._consensus.replica
        matched = replica.list_match_indexes()
        return tuple(
            operator_messages.ReplicaStatus(
                replica_id=member.replica_id,
                address=member.address,
                role=_get_role(member, replica.leader),
                matched_version=matched.get(member.member_id, 0),
            )
            for member in replica.members.members
        )

    def _list_history(
        self, request: operator_messages.HistoryRequest
    ) -> operator_messages.HistoryAnswer:
        view = self._consensus.view()
        newest_first = reversed(view.state.publications)
        publications = tuple(record.publication for record in newest_first)
        return operator_messages.HistoryAnswer(
            request_id=request.request_id,
            version=view.state.snapshot.version,
            stale_s=view.stamp_age_s,
            publications=publications[: max(0, request.limit)],
        )

    def _find_services(
        self, request: operator_messages.ServicesRequest
    ) -> operator_messages.ServicesAnswer:
        view = self._consensus.view()
        version = request.version or view.state.publication_version
        found = [
            record
            for record in view.state.publications
            if record.publication.version == version
        ]
        return operator_messages.ServicesAnswer(
            request_id=request.request_id,
            found=bool(found) or version == 0,
            version=version,
            stale_s=view.stamp_age_s,
            services=found[0].services if found else (),
        )

    def _get_snapshot(
        self, request: operator_messages.SnapshotRequest
    ) -> operator_messages.SnapshotAnswer:
        view = self._consensus.view()
        return operator_messages.SnapshotAnswer(
            request_id=request.request_id,
            stale_s=view.stamp_age_s,
            snapshot=view.state.snapshot,
        )


def _get_role(member: entries_lib.Member, leader: str) -> str:
    if member.member_id == leader:
        return events.Role.LEADER.value
    return events.Role.FOLLOWER.value if member.is_voter else "learner"
