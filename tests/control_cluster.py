"""Runs control replicas on threads of one process, on loopback."""

from collections.abc import Callable, Mapping
import contextlib
import pathlib
import tempfile
import threading
import time
from typing import Self, TypeVar

import zmq

from lovagesaddle.control import program as program_lib
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.http import sockets
from lovagesaddle.settings import schema
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.transport import endpoint as endpoint_lib

AnswerT = TypeVar("AnswerT")

REPLICA_COUNT = 3
WAIT_S = 10.0
RESEND_S = 0.5
ELECTION_TIMEOUT_S = 0.3
_MESSAGES = operator_messages.OPERATOR_MESSAGES
_CHANNEL = endpoint_lib.Channel.OPERATOR


class ControlCluster:
    """Runs three replicas, each on its own thread, and one operator.

    Args:
      disks: File operations by replica ID; the real ones if absent.
      tolerated_losses: Number of replicas that may be lost at a time, for
        automatic repairs; 0 disables them.
      rollback_bound_s: Bound on roll-backs, in seconds; 0 for no roll-outs.
    """

    def __init__(
        self,
        disks: Mapping[str, disk_lib.Disk] | None = None,
        *,
        tolerated_losses: int = 0,
        rollback_bound_s: float = 0.0,
    ) -> None:
        self._rollback_bound_s = rollback_bound_s
        self._tolerated_losses = tolerated_losses
        self._disks = disks or {}
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._context = self._stack.enter_context(zmq.Context())
        self.replicas = tuple(
            schema.ReplicaAddress(
                replica_id=f"r{number}",
                address=f"tcp://127.0.0.1:{sockets.find_free_ports(1)[0]}",
            )
            for number in range(1, REPLICA_COUNT + 1)
        )
        self._threads: dict[str, threading.Thread] = {}
        self.programs: dict[str, program_lib.ControlProgram] = {}
        self.failures: dict[str, BaseException] = {}
        self._operator = self._stack.enter_context(
            endpoint_lib.Endpoint(context=self._context, own_id="operator")
        )
        self._request_count = 0

    def __enter__(self) -> Self:
        for replica in self.replicas:
            self.start(replica.replica_id, is_founding=True)
        return self

    def __exit__(self, *_: object) -> None:
        for name in tuple(self._threads):
            self.stop(name)
        self._stack.close()

    def make_settings(
        self, name: str, address: str = "", folder: str = ""
    ) -> schema.ControlSettings:
        """Returns the settings of one replica."""
        known = {replica.replica_id: replica for replica in self.replicas}
        return schema.ControlSettings(
            replica_id=name,
            address=address or known[name].address,
            failure_domain="a",
            data_folder=str(self._folder / (folder or name)),
            cluster_id="test",
            replicas=self.replicas,
            election_timeout_s=ELECTION_TIMEOUT_S,
            tolerated_losses=self._tolerated_losses,
            rollback_bound_s=self._rollback_bound_s,
        )

    def add(self, name: str) -> None:
        """Starts a replica that is not a founder, on a free port."""
        port = sockets.find_free_ports(1)[0]
        self.start(name, address=f"tcp://127.0.0.1:{port}")

    def start(
        self,
        name: str,
        *,
        is_founding: bool = False,
        address: str = "",
        folder: str = "",
    ) -> None:
        """Starts a replica on a thread."""
        program = program_lib.ControlProgram(
            self.make_settings(name, address, folder),
            self._context,
            is_founding=is_founding,
            disk=self._disks.get(name),
        )
        self.programs[name] = program

        def run() -> None:
            try:
                with program:
                    program.run()
            except Exception as error:
                self.failures[name] = error

        thread = threading.Thread(target=run, name=name)
        self._threads[name] = thread
        thread.start()

    def stop(self, name: str) -> None:
        """Stops a replica as SIGTERM does, and waits for its thread."""
        thread = self._threads.pop(name)
        if thread.is_alive():
            self.programs[name].stop()
        thread.join()

    def wait(self, name: str) -> BaseException | None:
        """Waits until a replica ends by itself; returns its exception."""
        self._threads.pop(name).join(WAIT_S)
        return self.failures.get(name)

    def ask(
        self, name: str, request: operator_messages.OperatorMessage
    ) -> operator_messages.OperatorMessage | None:
        """Sends one request to one replica and waits for its answer."""
        address = self.programs[name]._settings.address
        peer = endpoint_lib.Peer(peer_id=name, address=address)
        self._operator.send(peer, _CHANNEL, _MESSAGES.encode(request))
        deadline = time.monotonic() + RESEND_S
        while (left := deadline - time.monotonic()) > 0:
            for received in self._operator.receive(left):
                answer = _MESSAGES.decode(received.data, peer=name)
                if answer.request_id == request.request_id:
                    return answer
        return None

    def publish(
        self, publish_id: str, base: int
    ) -> operator_messages.PublishAnswer:
        """Publishes an empty set of services, until a leader answers."""
        return self.ask_leader(
            lambda request_id: operator_messages.PublishRequest(
                request_id=request_id, command=make_publish(publish_id, base)
            ),
            operator_messages.PublishAnswer,
        )

    def ask_leader(
        self,
        make: Callable[[str], operator_messages.OperatorMessage],
        kind: type[AnswerT],
    ) -> AnswerT:
        """Sends a request to the running replicas in turn until one leads."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            for name in tuple(self._threads):
                self._request_count += 1
                answer = self.ask(name, make(f"q{self._request_count}"))
                if isinstance(answer, kind):
                    return answer
        raise AssertionError("no replica answered")

    def change(
        self, action: str, name: str, *, replaced_id: str = ""
    ) -> operator_messages.ChangeReplicaAnswer:
        """Requests to add, remove or replace a replica."""
        return self.ask_leader(
            lambda request_id: operator_messages.ChangeReplicaRequest(
                request_id=request_id,
                action=action,
                replica_id=name,
                replaced_id=replaced_id,
            ),
            operator_messages.ChangeReplicaAnswer,
        )

    def list_running(self) -> tuple[str, ...]:
        """Returns the IDs of the replicas that were started and not stopped."""
        return tuple(self._threads)

    def find_leader(self) -> str:
        """Returns the leader once all running replicas agree on it."""
        leaders: list[str] = []

        def is_known() -> bool:
            statuses = [self.get_status(name) for name in self._threads]
            leaders[:] = [s.leader_id for s in statuses]
            return leaders[0] in self._threads and len(set(leaders)) == 1

        self.wait_until(is_known)
        return leaders[0]

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds.

        Raises:
          AssertionError: It does not hold within `WAIT_S`.
        """
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            if condition():
                return
        raise AssertionError(f"the condition did not hold within {WAIT_S} s")

    def get_state(self, name: str) -> state_lib.State:
        """Returns the applied state of a replica, without a request."""
        return self.programs[name]._consensus.state

    def get_status(self, name: str) -> operator_messages.StatusAnswer:
        """Requests and returns the status of a replica."""
        self._request_count += 1
        request = operator_messages.StatusRequest(
            request_id=f"q{self._request_count}"
        )
        answer = self.ask(name, request)
        assert isinstance(answer, operator_messages.StatusAnswer), answer
        return answer

    def wait_for_status(
        self,
        name: str,
        condition: Callable[[operator_messages.StatusAnswer], bool],
    ) -> operator_messages.StatusAnswer:
        """Requests the status of a replica until it meets a condition."""
        seen: list[operator_messages.StatusAnswer] = []

        def is_met() -> bool:
            seen[:] = [self.get_status(name)]
            return condition(seen[0])

        self.wait_until(is_met)
        return seen[0]


def make_publish(publish_id: str, base: int) -> commands.PublishServices:
    """Returns a command that publishes an empty set of services."""
    return commands.PublishServices(
        publish_id=publish_id, operator="ana", base_version=base, services=()
    )
