"""Tests of the signals that stop a process."""

import pathlib
import tempfile

from bench import processes

from tests import fixtures


def test_signal_that_another_thread_receives_stops_the_process() -> None:
    """SIGTERM stops a process even if its main thread does not receive it."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Process(
            "tests.stop_program", log=pathlib.Path(folder) / "log"
        ) as process,
    ):
        assert process.read_line() == ["ready"]
        assert process.stop() == 0


load_tests = fixtures.collect(__name__)
