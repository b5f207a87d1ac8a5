"""Tests of real control processes: crash, resend and folder verification."""

import signal

from bench import replica_processes
from typer import testing

from lovagesaddle.control import main
from lovagesaddle.core.model import commands
from tests import fixtures


def test_resend_across_a_leader_crash_gets_the_same_version() -> None:
    """A publish resent after its leader was killed gets the same version."""
    with (
        replica_processes.ReplicaProcesses(
            3, election_timeout_s=0.3
        ) as replicas,
        replica_processes.Publisher(replicas.list_addresses()) as operator,
    ):
        first = operator.publish("p1")
        assert first.outcome is commands.PublishOutcome.ACCEPTED
        replicas.stop(operator.leader.peer_id, signal.SIGKILL)
        operator.base = 0
        assert operator.publish("p1") == first
        folder = replicas.folder / operator.leader.peer_id
        in_use = _verify(str(folder))
        assert in_use.exit_code == main.EXIT_FAILED
        assert "another process" in in_use.output
        replicas.stop(operator.leader.peer_id, signal.SIGTERM)
        sound = _verify(str(folder))
        assert sound.exit_code == 0
        assert f"replica={folder.name}" in sound.output
        segment = max(folder.glob("segment-*"))
        data = bytearray(segment.read_bytes())
        data[60] ^= 1
        segment.write_bytes(bytes(data))
        damaged = _verify(str(folder))
        assert damaged.exit_code == main.EXIT_FAILED
        assert str(segment) in damaged.output


def _verify(folder: str) -> testing.Result:
    return testing.CliRunner().invoke(main.app, ["verify", folder])


load_tests = fixtures.collect(__name__)
