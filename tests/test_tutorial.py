"""Tests that the commands of docs/tutorial.md work as written."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from lovagesaddle.http import sockets
from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
WAIT_S = 20.0
POLL_S = 0.1
STOP_S = 15.0
COMMAND_TIMEOUT_S = 60.0
# Skipped: the packages are installed, and the copy is not a repository.
SKIPPED = ("make setup", "git checkout")
# Repeated until the expected output appears, as a user would.
REPEATED = (
    "curl",
    "lovagesaddle status",
    "lovagesaddle replica replace",
    "grep",
)
_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_PORT = re.compile(r"127\.0\.0\.1:(\d{4})\b")


def test_tutorial_works_as_written() -> None:
    """Every command of the tutorial gives the output that it shows."""
    text = (ROOT / "docs" / "tutorial.md").read_text(encoding="utf-8")
    with _open_session() as session:
        for command, expected in _list_commands(text):
            session.run(command, expected)


class _Session:
    """Runs commands on a copy of the samples and keeps the shell's state."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._ports: dict[str, str] = {}
        self._exports: list[str] = []
        binaries = str(pathlib.Path(sys.executable).parent)
        self._variables = {
            **os.environ,
            "PATH": f"{binaries}{os.pathsep}{os.environ['PATH']}",
        }

    def renumber(self) -> None:
        """Replaces every port in the samples by a free one."""
        paths = sorted((self.folder / "examples").rglob("*.ini"))
        texts = {path: path.read_text(encoding="utf-8") for path in paths}
        found = {p for text in texts.values() for p in _PORT.findall(text)}
        chosen = sockets.find_free_ports(len(found))
        for port, free in zip(sorted(found), chosen, strict=True):
            self._ports[port] = str(free)
        for path, text in texts.items():
            path.write_text(self._renumber(text), encoding="utf-8")

    def run(self, command: str, expected: str) -> None:
        """Runs one command and checks its output."""
        if command.startswith(SKIPPED):
            return
        if command.startswith(("export", "cd")):
            self._exports.append(command)
            return
        pattern = _make_pattern(self._renumber(expected))
        deadline = time.monotonic() + WAIT_S
        while not pattern.fullmatch(printed := self._execute(command)):
            repeated = command.startswith(REPEATED)
            if not repeated or time.monotonic() > deadline:
                raise AssertionError(f"$ {command}\n{printed}")
            time.sleep(POLL_S)

    def kill_all(self) -> None:
        """Kills every process that the tutorial left running."""
        for path in self.folder.rglob("*.pid"):
            with contextlib.suppress(ProcessLookupError):
                os.kill(int(path.read_text()), signal.SIGKILL)

    def wait_for_end(self) -> None:
        """Waits until every process that was told to stop has ended."""
        deadline = time.monotonic() + STOP_S
        pids = [int(p.read_text()) for p in self.folder.rglob("*.pid")]
        while running := [pid for pid in pids if _is_running(pid)]:
            assert time.monotonic() < deadline, running
            time.sleep(POLL_S)

    def _execute(self, command: str) -> str:
        lines = [*self._exports, self._renumber(command)]
        finished = subprocess.run(
            ["bash", "-c", "\n".join(lines)],
            cwd=self.folder,
            env=self._variables,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        return finished.stdout.decode().replace("\r", "")

    def _renumber(self, text: str) -> str:
        return _PORT.sub(
            lambda match: f"127.0.0.1:{self._ports.get(match[1], match[1])}",
            text,
        )


@contextlib.contextmanager
def _open_session() -> Iterator[_Session]:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        shutil.copytree(
            ROOT / "examples",
            folder / "examples",
            ignore=shutil.ignore_patterns("data"),
        )
        session = _Session(folder)
        session.renumber()
        try:
            yield session
            session.wait_for_end()
        finally:
            session.kill_all()


def _list_commands(text: str) -> Iterator[tuple[str, str]]:
    for block in _BLOCK.findall(text):
        for part in re.split(r"^\$ ", block, flags=re.MULTILINE)[1:]:
            command, _, expected = part.partition("\n")
            yield command, expected


def _make_pattern(expected: str) -> re.Pattern[str]:
    """Returns a pattern in which "..." stands for anything.

    Progress lines of a waiting command may come before it.
    """
    if not expected:
        return re.compile(r"(?s).*")
    escaped = re.escape(expected.rstrip("\n")).replace(r"\.\.\.", r"(?s:.*)")
    return re.compile(rf"(?s).*{escaped}\s*")


def _is_running(pid: int) -> bool:
    stat = pathlib.Path(f"/proc/{pid}/stat")
    try:
        return stat.read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


load_tests = fixtures.collect(__name__)
