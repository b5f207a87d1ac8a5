"""Tests of real control processes: crash, resend and folder verification."""

import signal
from unittest import mock

from bench import replica_processes
from typer import testing

from lovagesaddle.control import main
from lovagesaddle.control import program as program_lib
from lovagesaddle.control import replica_discovery
from lovagesaddle.core.model import commands
from lovagesaddle.settings import schema
from lovagesaddle.storage import retirement
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


def test_removed_replica_that_stops_does_not_start_again() -> None:
    """SIGTERM was lost, and the process was killed in its new life."""
    program = mock.MagicMock()
    program.__enter__.return_value = program
    program.run.side_effect = replica_discovery.RemovedError(
        step="follow the log", peer="leader", cause="removed"
    )
    program.is_stopping = True
    settings = schema.ControlSettings(
        replica_id="r1",
        address="tcp://127.0.0.1:1",
        failure_domain="a",
        data_folder="unused",
        cluster_id="c",
        replicas=(),
    )
    with (
        mock.patch.object(
            program_lib, "ControlProgram", return_value=program
        ) as start,
        mock.patch.object(retirement, "mark_retired") as retire,
        mock.patch.object(signal, "signal"),
    ):
        main.serve(settings, is_founding=False)
    assert start.call_count == 1
    assert not retire.called


def _verify(folder: str) -> testing.Result:
    return testing.CliRunner().invoke(main.app, ["verify", folder])


load_tests = fixtures.collect(__name__)
