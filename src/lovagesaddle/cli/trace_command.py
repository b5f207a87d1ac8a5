"""Implements the command that collects the log lines of one request."""

import pathlib
import re
from typing import Annotated

import typer

from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output

_TIMESTAMP = re.compile(r"\bts=(\S+)")
_EVENT = re.compile(r"\bevent=(\S+)")
_REASON = re.compile(r"\breason=(\S+)")
_CAUSES = {
    "deadline": "its deadline passed before an answer arrived",
    "depth": "its chain of calls was too deep",
    "no-server": "no backend server of its service was known to the node",
    "refused": "every server that was tried refused it: there was no room",
    "quarantined": "it is known to crash backend servers",
    "lost": "it was handed over and no complete answer came back",
}


def trace(
    request: Annotated[str, typer.Argument(help="ID of the request.")],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(metavar="FILE...", help="Logs of the processes."),
    ],
) -> None:
    """Show a request's lines from the logs of several processes, in order."""
    found: list[tuple[str, str]] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            output.print_note(f"{path}: can't be read: {error.strerror}")
            context_lib.exit_command(exits.Exit.BAD_INPUT)
        found.extend(
            (f"{path.name}:{number}", line)
            for number, line in enumerate(text.splitlines(), start=1)
            if names_request(line, request)
        )
    if not found:
        output.print_note(
            f"no line is about request {request}; lines of requests that were"
            " served are sampled, see lines_left_out"
        )
        context_lib.exit_command(exits.Exit.REFUSED)
    found.sort(key=lambda each: _get_timestamp(each[1]))
    for location, line in found:
        print(f"{location} {line}")
    print(describe_outcome([line for _, line in found]))


def names_request(line: str, request: str) -> bool:
    """Returns whether a log line names a request or one of its attempts."""
    ids = re.escape(request)
    return bool(re.search(rf"\b(request={ids}|attempt={ids}-\w+\.\d+)\b", line))


def describe_outcome(lines: list[str]) -> str:
    """Returns one sentence that states why a request failed, if it did.

    Args:
      lines: Log lines of the request, sorted by time.
    """
    for line in reversed(lines):
        event, reason = _EVENT.search(line), _REASON.search(line)
        if event is None or event[1] != "call_failed" or reason is None:
            continue
        cause = _CAUSES.get(reason[1], reason[1])
        return f"the request failed: {cause}"
    return "no line says that the request failed"


def _get_timestamp(line: str) -> str:
    found = _TIMESTAMP.search(line)
    return found[1] if found else ""
