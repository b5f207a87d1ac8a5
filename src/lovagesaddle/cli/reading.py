"""Commands that change nothing."""

import pathlib
from typing import Annotated

import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import publishing
from lovagesaddle.cli import views
from lovagesaddle.core.configuration import comparison
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services

DEFAULT_LIMIT = 20

Folder = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, file_okay=False, help="Service files."),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def check(folder: Folder, json: Json = False) -> None:
    """Check every service file under a folder, without a cluster."""
    found = context_lib.load_services(folder)
    if json:
        views.print_json(found)
        return
    routes = sum(len(service.routes) for service in found)
    typer.echo(f"{len(found)} services, {routes} routes, no mistakes")


def status(context: typer.Context, json: Json = False) -> None:
    """Show the leader, the versions, who lags and how stale this is."""
    with context_lib.open_client(context) as client:
        found = context_lib.take_answer(publishing.ask_status(client))
    views.warn_if_stale(found.stale_s)
    if json:
        views.print_json(found)
    else:
        typer.echo(views.describe_status(found))


def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(min=1)] = DEFAULT_LIMIT,
    json: Json = False,
) -> None:
    """List the accepted publications, newest first."""
    with context_lib.open_client(context) as client:
        found = context_lib.take_answer(_ask_history(client, limit))
    views.warn_if_stale(found.stale_s)
    if json:
        views.print_json(found)
    else:
        typer.echo(views.describe_history(found.publications))


def diff(
    context: typer.Context,
    first: Annotated[
        str, typer.Argument(help="Version or folder; default: the one before.")
    ] = "",
    second: Annotated[
        str, typer.Argument(help="Version; default: the last publication.")
    ] = "",
    json: Json = False,
) -> None:
    """Show what changed between two publications, or would by a folder."""
    with context_lib.open_client(context) as client:
        if first and not first.isdigit():
            old = _fetch(client, second or "0")
            new = context_lib.load_services(pathlib.Path(first))
        else:
            old = _fetch(client, first or _find_previous(client))
            new = _fetch(client, second or "0")
    changes = comparison.compare_services(old, new)
    if json:
        views.print_json(changes)
    elif not changes:
        typer.echo("no difference")
    else:
        for change in changes:
            typer.echo(views.describe_change(change))


def _ask_history(
    client: client_lib.Client, limit: int
) -> client_lib.Answer[operator_messages.HistoryAnswer]:
    return client.read(
        operator_messages.HistoryRequest(
            request_id=client_lib.UNNUMBERED, limit=limit
        ),
        operator_messages.HistoryAnswer,
    )


def _find_previous(client: client_lib.Client) -> str:
    found = context_lib.take_answer(_ask_history(client, 2))
    views.warn_if_stale(found.stale_s)
    if not found.publications:
        views.print_note("nothing has been published")
        context_lib.leave(exits.Exit.REFUSED)
    return str(found.publications[-1].version)


def _fetch(
    client: client_lib.Client, version: str
) -> tuple[services.Service, ...]:
    if not version.isdigit():
        views.print_note(f'"{version}" is not a version')
        context_lib.leave(exits.Exit.BAD_INPUT)
    asked = publishing.ask_services(client, int(version))
    found = context_lib.take_answer(asked)
    views.warn_if_stale(found.stale_s)
    if not found.found and int(version):
        views.print_note(f"publication {version} is not kept")
        context_lib.leave(exits.Exit.REFUSED)
    return found.services
