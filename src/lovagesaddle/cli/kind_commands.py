"""Implements the commands for the kinds of routes that a deployment has."""

import re
from typing import Annotated

import typer

from lovagesaddle.cli import change_commands
from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.core.model import operator_messages

KIND = re.compile(r"[a-z][a-z_]{0,31}")


def make_kinds_app() -> typer.Typer:
    """Returns the commands for additional kinds of routes."""
    app = typer.Typer(help="Let documents use further kinds of routes.")
    app.callback()(_describe)
    app.command("add")(add_kind)
    return app


def _describe() -> None:
    """Keep `add` a command of its own, although it is the only one."""


def add_kind(
    context: typer.Context,
    kind: Annotated[str, typer.Argument(help="Kind, as documents name it.")],
) -> None:
    """Let later documents use a kind of route that this deployment lacked."""
    if not KIND.fullmatch(kind):
        output.print_note(
            f'"{kind}" is no kind: up to 32 lower-case letters and underscores'
        )
        context_lib.exit_command(exits.Exit.BAD_INPUT)
    request = operator_messages.AddKindRequest(
        request_id=client_lib.UNASSIGNED_ID, kind=kind
    )
    with context_lib.open_client(context) as client:
        asked = client.write(request, operator_messages.AddKindAnswer)
    found = change_commands.require_result(
        asked, "Send it again: adding a kind twice changes nothing."
    )
    typer.echo(f"kinds of this deployment: {', '.join(found.kinds)}")
