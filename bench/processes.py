"""Starts and stops processes for measurements and tests."""

import dataclasses
import os
import pathlib
import select
import signal
import subprocess
import sys
from typing import Self

START_S = 30.0
STOP_S = 40.0


class Process:
    """Runs a Python module as a process, as a context manager.

    Args:
      module: Module to run with `python -m`.
      arguments: Command line arguments.
      log: File to which standard error is appended.
    """

    def __init__(self, module: str, *arguments: str, log: pathlib.Path) -> None:
        self._name = module
        with log.open("ab") as stream:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=stream,
                text=True,
            )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._process.pid

    def read_cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        return read_cpu_s(self.pid)

    def read_memory_bytes(self) -> int:
        """Returns the resident memory, in bytes."""
        return read_memory_bytes(self.pid)

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self._process.poll() is None

    def read_line(self) -> list[str]:
        """Returns the words of the next line that the process prints.

        Raises:
          OSError: It exited, or printed nothing within `START_S` seconds.
        """
        assert self._process.stdout is not None
        ready, _, _ = select.select([self._process.stdout], [], [], START_S)
        line = self._process.stdout.readline() if ready else ""
        if not line:
            raise OSError(f"{self._name} printed nothing")
        return line.split()

    def stop(self) -> int:
        """Sends SIGTERM and waits; returns the exit status."""
        self._process.send_signal(signal.SIGTERM)
        return self.wait()

    def terminate(self) -> None:
        """Sends SIGTERM and does not wait."""
        self._process.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_S) -> int:
        """Waits until the process exits; returns the exit status."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kills the process with SIGKILL, as the loss of its VM would."""
        self._process.kill()
        self._process.wait()


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_memory_bytes(pid: int) -> int:
    """Returns a process's resident memory, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text("ascii")
    return int(pages.split()[1]) * os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Addresses of a node.

    Attributes:
      http: `ip:port` for calls.
      admin: `ip:port` for administration.
    """

    http: str
    admin: str
