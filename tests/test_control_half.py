"""Tests of the control thread and the fleet subsystem over real links."""

from collections.abc import Callable
import contextlib
import threading
import time

import zmq

from lovagesaddle.control import distribution
from lovagesaddle.control import ports as control_ports
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import stamps
from lovagesaddle.node import control_thread
from lovagesaddle.node import ports
from lovagesaddle.settings import schema
from lovagesaddle.transport import endpoint
from tests import fixtures
from tests import mesh

ANY_PORT = "tcp://127.0.0.1:*"
WAIT_S = 10.0
POLL_S = 0.02
HEARTBEAT_S = 0.2


class SingleReplica(control_ports.ReplicaPort):
    """Stands in for a single replica that applies each command at once."""

    def __init__(self) -> None:
        self.state = state_lib.apply_command(
            state_lib.make_initial_state(),
            1,
            commands.FoundCluster(cluster_id=mesh.CLUSTER_ID),
        ).state
        self.counter = 0

    def view(self) -> control_ports.ClusterView:
        """Returns the state after the last entry."""
        self.counter += 1
        return control_ports.ClusterView(
            state=self.state,
            hashed=delta.hash_snapshot(self.state.snapshot),
            is_leader=True,
            leader_id="r0",
            stamp=stamps.LeaderStamp(term=1, counter=self.counter),
            stamp_age_s=0.0,
            current_at=time.monotonic(),
        )

    def propose(
        self,
        command: commands.Command,
        on_applied: Callable[[int], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Applies the command."""
        del on_refused
        version = self.state.snapshot.version + 1
        self.state = state_lib.apply_command(self.state, version, command).state
        on_applied(version)


class Control:
    """Runs a control process of one replica on its own thread."""

    def __init__(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        self.replica = SingleReplica()
        self.endpoint = endpoint.Endpoint(
            context=context, own_id="r0", bind_address=ANY_PORT
        )
        self.fleet = distribution.Distribution(
            own_id="r0",
            endpoint=self.endpoint,
            replica=self.replica,
            list_replicas=lambda: (),
            heartbeat_s=HEARTBEAT_S,
            lease_s=6.0,
            expiry_share=0.34,
        )
        self.published = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopping.set()
        self._thread.join()
        self.endpoint.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self.published.is_set():
                self.published.clear()
                self._publish()
            now = time.monotonic()
            self.fleet.observe(self.replica.view(), now)
            self.fleet.tick(now)
            for received in self.endpoint.receive(POLL_S):
                self.fleet.receive(received, now)

    def _publish(self) -> None:
        command = commands.PublishServices(
            publish_id="p",
            operator="ana",
            base_version=0,
            services=(mesh.make_service("orderdesk"),),
        )
        self.replica.propose(command, lambda _: None, lambda _: None)


class Sink(ports.SnapshotSink):
    """Records the installed versions and the crash marks.

    Args:
      failures: Number of installations that fail first.
    """

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.installed: list[delta.HashedSnapshot] = []
        self.proofs: list[float] = []
        self.marks: list[ports.CrashMark] = []

    def install(self, hashed: delta.HashedSnapshot, *, joined: bool) -> None:
        """Records the version."""
        assert joined
        if self.failures:
            self.failures -= 1
            raise ValueError("the version can't be installed")
        self.installed.append(hashed)

    def record_proof(self, current_at: float) -> None:
        """Records the proof."""
        self.proofs.append(current_at)

    def add_crash_marks(self, marks: tuple[ports.CrashMark, ...]) -> None:
        """Records the marks."""
        self.marks.extend(marks)


def _make_settings(name: str, address: str) -> schema.NodeSettings:
    return schema.NodeSettings(
        node_id=name,
        failure_domain="a",
        region="r",
        http_address="127.0.0.1:0",
        admin_address="127.0.0.1:0",
        control_address=ANY_PORT,
        cluster_id=mesh.CLUSTER_ID,
        replicas=(schema.ReplicaAddress(replica_id="r0", address=address),),
        heartbeat_s=HEARTBEAT_S,
    )


def wait(done: Callable[[], bool]) -> None:
    """Waits until `done()` holds."""
    deadline = time.monotonic() + WAIT_S
    while not done():
        assert time.monotonic() < deadline, "condition did not come true"
        time.sleep(POLL_S)


def test_nodes_join_and_follow_over_real_links() -> None:
    """Six nodes install a published version, and the leader learns of it."""
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.Context())
        control = Control(context)
        stack.callback(control.stop)
        sinks = [Sink() for _ in range(6)]
        for number, sink in enumerate(sinks):
            stack.enter_context(
                control_thread.ControlThread(
                    settings=_make_settings(
                        f"n{number}", control.endpoint.address
                    ),
                    http_address="127.0.0.1:1",
                    sink=sink,
                    context=context,
                )
            )
        wait(lambda: len(control.replica.state.snapshot.nodes) == 6)
        control.published.set()
        wait(
            lambda: all(
                sink.installed and sink.installed[-1].snapshot.services
                for sink in sinks
            )
        )
        version = sinks[0].installed[-1].version
        wait(lambda: not control.fleet.list_lagging(version))
        assert control.fleet.find_version_in_force() >= version


def test_nodes_send_to_each_other_and_spread_marks() -> None:
    """A message reaches the node's handler; a mark reaches all other nodes."""
    received_messages: list[tuple[str, bytes]] = []
    with contextlib.ExitStack() as stack:
        threads, sinks = _start_pair(
            stack,
            lambda sender, data: received_messages.append((sender, data)),
        )
        assert threads[0].send("n1", endpoint.Channel.CLAIMS, b"claim")
        assert not threads[0].send("n9", endpoint.Channel.CLAIMS, b"claim")
        wait(lambda: received_messages == [("n0", b"claim")])
        mark = ports.CrashMark(fingerprint=b"f", mark_id=b"m", age_s=0.0)
        threads[0].spread_marks((mark,))
        wait(lambda: sinks[1].marks == [mark])
        assert not sinks[0].marks
        threads[0].stop()
        threads[0].stop()


def test_unexpected_error_does_not_end_the_thread() -> None:
    """A node goes on to follow after the handler of a message failed."""
    received_messages: list[bytes] = []

    def receive(sender_id: str, data: bytes) -> None:
        del sender_id
        received_messages.append(data)
        raise ValueError("the message can't be handled")

    with contextlib.ExitStack() as stack:
        threads, sinks = _start_pair(stack, receive)
        for data in (b"1", b"2"):
            assert threads[0].send("n1", endpoint.Channel.CLAIMS, data)
        wait(lambda: received_messages == [b"1", b"2"])
        sinks[1].installed.clear()
        threads[0].announce_server(mesh.make_server("n0"))
        wait(lambda: bool(sinks[1].installed))


def test_version_that_fails_to_install_is_asked_for_again() -> None:
    """A node whose HTTP side can't take a version does not acknowledge it.

    Its control thread goes on, and the version is installed once it can be.
    """
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.Context())
        control = Control(context)
        stack.callback(control.stop)
        sink = Sink(failures=2)
        stack.enter_context(
            control_thread.ControlThread(
                settings=_make_settings("n0", control.endpoint.address),
                http_address="127.0.0.1:1",
                sink=sink,
                context=context,
            )
        )
        wait(lambda: bool(sink.installed and sink.proofs))
        assert not sink.failures


def _start_pair(
    stack: contextlib.ExitStack, receive: control_thread.Handler
) -> tuple[list[control_thread.ControlThread], list["Sink"]]:
    """Starts two nodes that have joined, and their control."""
    context = stack.enter_context(zmq.Context())
    control = Control(context)
    stack.callback(control.stop)
    sinks = [Sink(), Sink()]
    threads = []
    for number, sink in enumerate(sinks):
        thread = control_thread.ControlThread(
            settings=_make_settings(f"n{number}", control.endpoint.address),
            http_address="127.0.0.1:1",
            sink=sink,
            context=context,
        )
        thread.subscribe(endpoint.Channel.CLAIMS, receive)
        threads.append(stack.enter_context(thread))
    wait(
        lambda: all(
            sink.installed and len(sink.installed[-1].snapshot.nodes) == 2
            for sink in sinks
        )
    )
    return threads, sinks


load_tests = fixtures.collect(__name__)
