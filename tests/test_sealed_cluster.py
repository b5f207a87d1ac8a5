"""Test of a complete cluster over encrypted links."""

import contextlib
import pathlib
import tempfile
import threading

import zmq

from lovagesaddle.control import program as program_lib
from lovagesaddle.http import sockets
from lovagesaddle.node import control_thread
from lovagesaddle.settings import schema
from lovagesaddle.transport import keys
from tests import fixtures
from tests import test_control_half

REPLICAS = ("r1", "r2", "r3")
NODES = ("n1", "n2")


class EncryptedDeployment:
    """Runs replicas and nodes with key files, each with its own context."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        self._pairs = {
            name: keys.generate_keys() for name in (*REPLICAS, *NODES, "n9")
        }
        for name, pair in self._pairs.items():
            keys.write_keys(self._folder / f"{name}.key", pair)
        self._folder.joinpath("allowed").write_text(
            "".join(
                f"{self._pairs[name].public} {name}\n"
                for name in (*REPLICAS, *NODES)
            )
        )
        self._replicas = tuple(
            schema.ReplicaAddress(
                replica_id=name,
                address=f"tcp://127.0.0.1:{sockets.find_free_ports(1)[0]}",
                public_key=self._pairs[name].public,
            )
            for name in REPLICAS
        )

    def start_replica(self, replica: schema.ReplicaAddress) -> None:
        """Runs a replica on a thread."""
        settings = schema.ControlSettings(
            replica_id=replica.replica_id,
            address=replica.address,
            failure_domain="a",
            data_folder=str(self._folder / replica.replica_id),
            cluster_id="sealed",
            replicas=self._replicas,
            keys=self._make_key_settings(replica.replica_id),
            heartbeat_s=0.2,
        )
        context = self._stack.enter_context(zmq.Context())
        program = program_lib.ControlProgram(
            settings, context, is_founding=True
        )

        def run() -> None:
            with program:
                program.run()

        thread = threading.Thread(target=run)
        thread.start()
        self._stack.callback(thread.join)
        self._stack.callback(program.stop)

    def start_replicas(self) -> None:
        """Runs every replica."""
        for replica in self._replicas:
            self.start_replica(replica)

    def start_node(self, name: str) -> test_control_half.Sink:
        """Runs the control thread of a node; returns its snapshot sink."""
        sink = test_control_half.Sink()
        settings = schema.NodeSettings(
            node_id=name,
            failure_domain="a",
            region="r",
            http_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            control_address=test_control_half.ANY_PORT,
            cluster_id="sealed",
            replicas=self._replicas,
            keys=self._make_key_settings(name),
            heartbeat_s=0.2,
        )
        self._stack.enter_context(
            control_thread.ControlThread(
                settings=settings,
                http_address="127.0.0.1:1",
                sink=sink,
                context=self._stack.enter_context(zmq.Context()),
            )
        )
        return sink

    def _make_key_settings(self, name: str) -> schema.KeySettings:
        return schema.KeySettings(
            secret_key_file=str(self._folder / f"{name}.key"),
            allowed_keys_file=str(self._folder / "allowed"),
        )


def test_replicas_and_nodes_work_over_encrypted_links() -> None:
    """Nodes with allowed keys join; a node with another key does not."""
    with contextlib.ExitStack() as stack:
        deployment = EncryptedDeployment(stack)
        deployment.start_replicas()
        stranger = deployment.start_node("n9")
        sinks = [deployment.start_node(name) for name in NODES]

        def are_joined() -> bool:
            return all(
                sink.installed
                and [n.node_id for n in sink.installed[-1].snapshot.nodes]
                == list(NODES)
                for sink in sinks
            )

        test_control_half.wait(are_joined)
        assert not stranger.installed


load_tests = fixtures.collect(__name__)
