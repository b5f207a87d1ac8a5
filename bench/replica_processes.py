"""Runs real control processes on loopback, and an operator that publishes."""

import contextlib
import dataclasses
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
from typing import Self
import uuid

import zmq

from bench import processes
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services
from lovagesaddle.http import sockets
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint as endpoint_lib

PUBLISH_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 0.05
_MESSAGES = operator_messages.OPERATOR_MESSAGES
_CHANNEL = endpoint_lib.Channel.OPERATOR
_PROGRAM = "from lovagesaddle.control.main import main; main()"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """Totals of all replicas from start to stop.

    Attributes:
      syncs: Syncs of the log.
      traffic_bytes: Bytes sent plus received; a byte between two replicas
        counts twice.
    """

    syncs: int
    traffic_bytes: int


class ReplicaProcesses:
    """Runs replicas in processes of their own, as a context manager.

    Args:
      size: Number of founding replicas.
      election_timeout_s: Time without a message of the leader before a
        pre-vote, in seconds.
    """

    def __init__(self, size: int, *, election_timeout_s: float = 0.5) -> None:
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._election_timeout_s = election_timeout_s
        self.addresses = {
            f"r{number}": f"tcp://127.0.0.1:{sockets.find_free_ports(1)[0]}"
            for number in range(1, size + 1)
        }
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        for name in self.addresses:
            self.start(name, "--found")
        return self

    def __exit__(self, *_: object) -> None:
        for name in tuple(self._processes):
            self.stop(name, signal.SIGKILL)
        self._stack.close()

    def list_addresses(self) -> tuple[schema.ReplicaAddress, ...]:
        """Returns the address of every replica."""
        return tuple(
            schema.ReplicaAddress(replica_id=name, address=address)
            for name, address in self.addresses.items()
        )

    def start(self, name: str, *options: str) -> None:
        """Starts one replica; its log goes to a file in the folder."""
        settings = self.folder / f"{name}.ini"
        settings.write_text(self._write_settings(name), encoding="utf-8")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM, "run", *options, str(settings)]
        )

    def stop(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one replica and waits until it exits."""
        process = self._processes.pop(name)
        process.send_signal(number)
        process.wait()

    def read_cpu_s(self) -> float:
        """Returns the processor time of all replicas so far, in seconds."""
        return sum(
            processes.read_cpu_s(process.pid)
            for process in self._processes.values()
        )

    def read_memory_bytes(self) -> int:
        """Returns the resident memory of the largest replica, in bytes."""
        return max(
            processes.read_memory_bytes(process.pid)
            for process in self._processes.values()
        )

    def stop_all(self) -> Totals:
        """Stops the replicas gracefully, one by one; returns their totals."""
        for name in tuple(self._processes):
            self.stop(name, signal.SIGTERM)
        text = "".join(
            path.read_text(encoding="utf-8")
            for path in self.folder.glob("*.log")
        )
        return Totals(
            syncs=_sum_values(text, "syncs"),
            traffic_bytes=_sum_values(text, "traffic_bytes"),
        )

    def _write_settings(self, name: str) -> str:
        lines = [
            "[control]",
            f"replica-id = {name}",
            f"address = {self.addresses[name]}",
            "failure-domain = a",
            f"data-folder = {self.folder / name}",
            "cluster-id = bench",
            f"election-timeout = {int(self._election_timeout_s * 1000)}ms",
            "[log]",
            f"file = {self.folder / name}.log",
        ]
        for other, address in self.addresses.items():
            lines += [f"[replica {other}]", f"address = {address}"]
        return "\n".join(lines) + "\n"


def _sum_values(text: str, key: str) -> int:
    return sum(int(value) for value in re.findall(rf"{key}=(\d+)", text))


class Publisher:
    """Publishes one set of services repeatedly, as an operator.

    Args:
      replicas: Addresses of the replicas.
      published: Services of each publish.
    """

    def __init__(
        self,
        replicas: tuple[schema.ReplicaAddress, ...],
        published: tuple[services.Service, ...] = (),
    ) -> None:
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._endpoint = endpoint_lib.Endpoint(
            context=self._context, own_id=uuid.uuid4().hex
        )
        self._peers = [
            endpoint_lib.Peer(peer_id=r.replica_id, address=r.address)
            for r in replicas
        ]
        self._published = published
        self.leader = self._peers[0]
        self.base = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._endpoint.close()
        self._context.term()

    def publish(self, publish_id: str = "") -> commands.PublishResult:
        """Publishes once; resends until a leader answers.

        The version in the answer, also of a conflict, is the base of the next
        publish.

        Raises:
          TimeoutError: No leader answered within `PUBLISH_TIMEOUT_S` seconds.
        """
        command = commands.PublishServices(
            publish_id=publish_id or uuid.uuid4().hex,
            operator="bench",
            base_version=self.base,
            services=self._published,
        )
        deadline = time.monotonic() + PUBLISH_TIMEOUT_S
        while time.monotonic() < deadline:
            result = self._try_publish(command)
            if result is not None:
                self.base = result.version
                return result
        raise TimeoutError("no leader answered")

    def publish_accepted(self) -> int:
        """Publishes until it is accepted; returns the number of tries."""
        tries = 1
        while self.publish().outcome is not commands.PublishOutcome.ACCEPTED:
            tries += 1
        return tries

    def ask_status(self) -> operator_messages.StatusAnswer | None:
        """Returns the status that the current replica reports, or None.

        Without an answer, the next request goes to the next replica.
        """
        request = operator_messages.StatusRequest(request_id=uuid.uuid4().hex)
        answer = self._request(request)
        if isinstance(answer, operator_messages.StatusAnswer):
            return answer
        self._select_next_replica()
        return None

    def _try_publish(
        self, command: commands.PublishServices
    ) -> commands.PublishResult | None:
        request = operator_messages.PublishRequest(
            request_id=uuid.uuid4().hex, command=command
        )
        answer = self._request(request)
        if isinstance(answer, operator_messages.PublishAnswer):
            return answer.result
        leader = getattr(answer, "leader_id", "")
        known = [peer for peer in self._peers if peer.peer_id == leader]
        if known and known[0] != self.leader:
            self.leader = known[0]
        else:
            self._select_next_replica()
        return None

    def _select_next_replica(self) -> None:
        position = self._peers.index(self.leader) + 1
        self.leader = self._peers[position % len(self._peers)]

    def _request(
        self, request: operator_messages.OperatorMessage
    ) -> operator_messages.OperatorMessage | None:
        self._endpoint.send(self.leader, _CHANNEL, _MESSAGES.encode(request))
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while (left := deadline - time.monotonic()) > 0:
            for received in self._endpoint.receive(left):
                answer = _MESSAGES.decode(received.data, peer="replica")
                if answer.request_id == request.request_id:
                    return answer
        return None
