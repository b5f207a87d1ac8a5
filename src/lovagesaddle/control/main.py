"""The command line of lovagesaddle-control."""

import pathlib
import signal
import sys
from typing import Annotated

import structlog
import typer
import zmq

from lovagesaddle.control import program as program_lib
from lovagesaddle.core import errors
from lovagesaddle.settings import schema

EXIT_FAILED = 1

app = typer.Typer(add_completion=False, no_args_is_help=True)


def serve(settings: schema.ControlSettings, *, is_founding: bool) -> None:
    """Runs a replica until SIGTERM or SIGINT.

    Raises:
      errors.LovagesaddleError: The replica can't start or must stop.
    """
    with (
        zmq.Context() as context,
        program_lib.ControlProgram(
            settings, context, is_founding=is_founding
        ) as program,
    ):
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: program.stop())
        program.run()


@app.command()
def run(
    settings_file: Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
    found: Annotated[
        bool,
        typer.Option(
            "--found",
            help="Found the cluster if the data folder is empty.",
        ),
    ] = False,
) -> None:
    """Runs a replica with the settings in FILE."""
    raise NotImplementedError


def main() -> None:
    """Entry point of the program."""
    app()
