"""Tests of the command that collects the log lines of one request."""

import contextlib

from typer import testing

from lovagesaddle.cli import exits
from lovagesaddle.cli import main
from tests import fixtures

OWNER = (
    "ts=2026-06-25T13:44:13.605603+00:00 level=info event=refused part=owner"
    " attempt=9abb86-97a2.1 server=n1/desk reason=queue-full\n"
    "ts=2026-06-25T13:44:13.7+00:00 level=info event=refused part=owner"
    " attempt=9abb87-97a2.1 server=n1/desk reason=queue-full\n"
)
ENTRY = (
    "ts=2026-06-25T13:44:13.605474+00:00 level=info event=server_picked"
    " request=9abb86 server=n1/desk reason=no-room\n"
    "ts=2026-06-25T13:44:13.605706+00:00 level=info event=call_failed"
    " request=9abb86 status=503 reason=refused outcome=not-run\n"
)


def _trace(request: str) -> testing.Result:
    with contextlib.ExitStack() as stack:
        folder = fixtures.make_folder(stack)
        (folder / "entry.log").write_text(ENTRY, encoding="utf-8")
        (folder / "owner.log").write_text(OWNER, encoding="utf-8")
        paths = [str(folder / name) for name in ("entry.log", "owner.log")]
        return testing.CliRunner().invoke(
            main.make_app(), ["trace", request, *paths]
        )


def test_lines_of_several_processes_are_sorted() -> None:
    """Lines of entry and owner are sorted by time; the cause comes last."""
    shown = _trace("9abb86")
    assert shown.exit_code == exits.Exit.OK
    *lines, end = shown.stdout.splitlines()
    assert [line.split()[0] for line in lines] == [
        "entry.log:1",
        "owner.log:1",
        "entry.log:2",
    ]
    assert "no room" in end


def test_unknown_request_is_reported() -> None:
    """Lines of a request whose ID has the same prefix are not shown."""
    shown = _trace("9abb8")
    assert shown.exit_code == exits.Exit.REFUSED
    assert "no line is about request 9abb8" in shown.stderr


load_tests = fixtures.collect(__name__)
