"""Tests of the signals that stop a process."""

import pathlib
import tempfile

from bench import processes

from tests import fixtures
from tests import lingering_program


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


def test_thread_at_work_does_not_keep_an_ended_program() -> None:
    """A node was killed at the end of its grace period though it had ended."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Process(
            "tests.lingering_program",
            folder,
            log=pathlib.Path(folder) / "log",
        ) as process,
    ):
        assert process.read_line() == ["ready"]
        assert process.wait() == lingering_program.EXIT_STATUS


load_tests = fixtures.collect(__name__)
