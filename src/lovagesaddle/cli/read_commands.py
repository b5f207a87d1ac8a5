"""Implements the commands that only read."""

import pathlib
from typing import Annotated

import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import cluster_requests
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.core.configuration import comparison
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services

DEFAULT_HISTORY_LIMIT = 20

Folder = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, file_okay=False, help="Service files."),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def check(folder: Folder, json: Json = False) -> None:
    """Check every service file under a folder, without a cluster."""
    found = context_lib.load_services(folder)
    context_lib.load_accounts(folder)
    if json:
        output.print_json(found)
        return
    routes = sum(len(service.routes) for service in found)
    typer.echo(f"{len(found)} services, {routes} routes, no mistakes")


def status(context: typer.Context, json: Json = False) -> None:
    """Show the leader, the versions, who lags and how stale this is."""
    with context_lib.open_client(context) as client:
        found = context_lib.require_answer(
            cluster_requests.fetch_status(client)
        )
    output.warn_if_stale(found.stale_s)
    if json:
        output.print_json(found)
    else:
        typer.echo(output.describe_status(found))


def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(min=1)] = DEFAULT_HISTORY_LIMIT,
    json: Json = False,
) -> None:
    """List the accepted publications, newest first."""
    with context_lib.open_client(context) as client:
        found = context_lib.require_answer(_fetch_history(client, limit))
    output.warn_if_stale(found.stale_s)
    if json:
        output.print_json(found)
    else:
        typer.echo(output.describe_history(found.publications))


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
            old = _fetch_services(client, second or "0")
            new = context_lib.load_services(pathlib.Path(first))
        else:
            old = _fetch_services(
                client, first or _fetch_previous_version(client)
            )
            new = _fetch_services(client, second or "0")
    changes = comparison.compare_services(old, new)
    if json:
        output.print_json(changes)
    elif not changes:
        typer.echo("no difference")
    else:
        for change in changes:
            typer.echo(output.describe_change(change))


def _fetch_history(
    client: client_lib.Client, limit: int
) -> client_lib.Answer[operator_messages.HistoryAnswer]:
    return client.read(
        operator_messages.HistoryRequest(
            request_id=client_lib.UNASSIGNED_ID, limit=limit
        ),
        operator_messages.HistoryAnswer,
    )


def _fetch_previous_version(client: client_lib.Client) -> str:
    found = context_lib.require_answer(_fetch_history(client, 2))
    output.warn_if_stale(found.stale_s)
    if not found.publications:
        output.print_note("nothing has been published")
        context_lib.exit_command(exits.Exit.REFUSED)
    return str(found.publications[-1].version)


def _fetch_services(
    client: client_lib.Client, version: str
) -> tuple[services.Service, ...]:
    if not version.isdigit():
        output.print_note(f'"{version}" is not a version')
        context_lib.exit_command(exits.Exit.BAD_INPUT)
    asked = cluster_requests.fetch_services(client, int(version))
    found = context_lib.require_answer(asked)
    output.warn_if_stale(found.stale_s)
    if not found.found and int(version):
        output.print_note(f"publication {version} is not kept")
        context_lib.exit_command(exits.Exit.REFUSED)
    return found.services
