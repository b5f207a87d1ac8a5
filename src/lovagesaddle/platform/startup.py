"""Starts the control and node programs on the platform."""

from collections.abc import Callable
import os
import pathlib
import signal
import sys
from typing import Annotated, NoReturn, TypeVar

from returns import result
import typer

from lovagesaddle.observability import logs
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.settings import loader

EXIT_BAD_SETTINGS = 2
FOREIGN_SECTIONS = (settings_lib.SECTION, settings_lib.BOUNDS_SECTION)
T = TypeVar("T")
SettingsFile = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]
_log = logs.get_logger("platform")


def require_settings(loaded: result.Result[T, loader.Problems]) -> T:
    """Returns loaded settings; prints every mistake and exits on failure.

    Raises:
      typer.Exit: The settings are invalid.
    """
    if isinstance(loaded, result.Success):
        value: T = loaded.unwrap()
        return value
    typer.echo(loader.format_problems(loaded.failure()), err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)


def run_program(command: Callable[[pathlib.Path], None]) -> None:
    """Runs a program with the settings file given on its command line."""
    # SIGHUP reports changed settings; its default action would end the
    # process.
    signal.signal(signal.SIGHUP, lambda *_: _log.info("settings_changed"))
    try:
        typer.run(command)
    except SystemExit as ended:
        _end_process(ended.code)


def _end_process(code: str | int | None) -> NoReturn:
    """Ends the process at once, without waiting for its threads.

    The program has closed what it owns. A thread that still waits for a backend
    server would keep the process until the platform kills it, and the
    interpreter's own end takes a third of a second on a busy VM.
    """
    if isinstance(code, str):
        print(code, file=sys.stderr)
        code = 1
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code or 0)
