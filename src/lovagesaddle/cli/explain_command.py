"""Implements the command that explains how a request is routed."""

import hashlib
import sys
from typing import Annotated

import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.cli import read_commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.routing import explanation

TOKEN_FROM_STDIN = "-"


def explain(
    context: typer.Context,
    method: Annotated[str, typer.Argument(help="HTTP method.")],
    url: Annotated[str, typer.Argument(help="http://HOST/PATH")],
    caller: Annotated[
        str, typer.Option(help="Name of a caller in the service's file.")
    ] = "",
    service: Annotated[
        str, typer.Option(help="Name of an internal service.")
    ] = "",
    token: Annotated[
        str, typer.Option(help="Bearer token; - reads it from standard input.")
    ] = "",
    json: read_commands.Json = False,
) -> None:
    """Explain which route takes a request, who may use it and why."""
    if "://" not in url:
        output.print_note(f'"{url}" is not of the form http://HOST/PATH')
        context_lib.exit_command(exits.Exit.BAD_INPUT)
    if sum(map(bool, (caller, service, token))) > 1:
        output.print_note("give one of --caller, --service and --token")
        context_lib.exit_command(exits.Exit.BAD_INPUT)
    sender = explanation.Sender(
        caller=caller, service=service, token_digest=_digest(token)
    )
    with context_lib.open_client(context) as client:
        answer = context_lib.require_answer(_fetch_snapshot(client))
    output.warn_if_stale(answer.stale_s)
    found = explanation.explain_request(
        answer.snapshot, method=method, url=url, sender=sender
    )
    if json:
        output.print_json(found)
    else:
        typer.echo(output.describe_explanation(found))


def _fetch_snapshot(
    client: client_lib.Client,
) -> client_lib.Answer[operator_messages.SnapshotAnswer]:
    return client.read(
        operator_messages.SnapshotRequest(request_id=client_lib.UNASSIGNED_ID),
        operator_messages.SnapshotAnswer,
    )


def _digest(token: str) -> str:
    if not token:
        return ""
    if token == TOKEN_FROM_STDIN:
        token = sys.stdin.readline().strip()
    return f"sha256:{hashlib.sha256(token.encode()).hexdigest()}"
