"""Assembles the commands of the `lovagesaddle` program."""

import pathlib
import sys
from typing import Annotated

import typer

from lovagesaddle.cli import change_commands
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import explain_command
from lovagesaddle.cli import key_commands
from lovagesaddle.cli import kind_commands
from lovagesaddle.cli import read_commands
from lovagesaddle.cli import rollout_commands
from lovagesaddle.cli import trace_command
from lovagesaddle.core import errors

_HELP = """Checks, publishes and inspects the configuration of a mesh.

Exit status: 0 done; 1 refused by the cluster; 2 mistakes in files, settings
or arguments; 3 no replica answered; 4 outcome of a change unknown;
5 accepted but not in force everywhere in time; 6 a promise was broken in the
demo."""


def make_app() -> typer.Typer:
    """Returns the application with every command."""
    app = typer.Typer(
        name="lovagesaddle",
        help=_HELP,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )
    app.callback()(_store_settings_path)
    for command in (
        read_commands.check,
        change_commands.publish,
        read_commands.status,
        read_commands.history,
        read_commands.diff,
        explain_command.explain,
        trace_command.trace,
        demo,
    ):
        app.command()(command)
    app.add_typer(change_commands.make_replica_app(), name="replica")
    app.add_typer(rollout_commands.make_rollout_app(), name="rollout")
    app.add_typer(key_commands.make_keys_app(), name="keys")
    app.add_typer(kind_commands.make_kinds_app(), name="kinds")
    return app


def _store_settings_path(
    context: typer.Context,
    settings: Annotated[
        pathlib.Path,
        typer.Option(
            envvar=context_lib.SETTINGS_VARIABLE,
            help="Settings file with the replicas to ask.",
        ),
    ] = pathlib.Path(context_lib.DEFAULT_SETTINGS),
) -> None:
    context.obj = settings


def demo(
    log_file: Annotated[
        str, typer.Option(help="Write the log lines to this file.")
    ] = "",
    json: read_commands.Json = False,
) -> None:
    """Run the whole system in one process for some seconds and check it."""
    # The demo imports every program, which would double the start time of
    # all other commands.
    from lovagesaddle.cli import demo as demo_lib

    demo_lib.run_demo(log_file=log_file, json=json)


def main() -> None:
    """Runs the program and exits with a status of `exits.Exit`."""
    try:
        make_app()()
    except errors.LovagesaddleError as error:
        print(error, file=sys.stderr)
        sys.exit(int(exits.Exit.BAD_INPUT))
