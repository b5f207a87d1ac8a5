"""The program lovagesaddle-node."""

import pathlib
import signal
import sys
import threading
from typing import Annotated

from returns import result
import typer
import zmq

from lovagesaddle.core import errors
from lovagesaddle.node import program
from lovagesaddle.observability import logs
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

EXIT_CUT = 1
EXIT_SETTINGS = 2
SWITCH_INTERVAL_S = 0.0005
_app = typer.Typer(add_completion=False)


def main() -> None:
    """Runs the program; see `run`."""
    _app()


@_app.command()
def run(
    settings: Annotated[pathlib.Path, typer.Argument(help="INI file.")],
) -> None:
    """Runs one node until SIGTERM or SIGINT, then stops it gracefully.

    Exits with 0 when no request was cut, 1 when one was, 2 on bad settings.
    """
    match loader.load_node(settings):
        case result.Success(loaded):
            raise typer.Exit(_run(loaded))
        case result.Failure(problems):
            typer.echo(loader.list_lines(problems), err=True)
            raise typer.Exit(EXIT_SETTINGS)


def _run(settings: schema.NodeSettings) -> int:
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        with (
            logs.open_log(settings.log),
            zmq.Context() as context,
            program.NodeProgram(settings, context) as node,
        ):
            print(node.http_address, node.admin_address, flush=True)
            stopped.wait()
            return 0 if node.shut_down() else EXIT_CUT
    except errors.LovagesaddleError as error:
        typer.echo(str(error), err=True)
        return EXIT_SETTINGS


if __name__ == "__main__":
    main()
