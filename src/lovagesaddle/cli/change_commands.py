"""Implements the commands that change the cluster."""

import pathlib
from typing import Annotated
import uuid

from returns import result
import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import cluster_requests
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.cli import read_commands
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages
from lovagesaddle.core.model import services

WAIT_TIMEOUT_S = 30.0
BASE_NOT_GIVEN = -1


def publish(
    context: typer.Context,
    folder: read_commands.Folder,
    base: Annotated[
        int,
        typer.Option(
            help="Publication this one replaces; default: the last one."
        ),
    ] = BASE_NOT_GIVEN,
    publish_id: Annotated[
        str,
        typer.Option(
            "--id", help="ID of the publish; repeat it to learn its outcome."
        ),
    ] = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force.")
    ] = False,
    timeout: Annotated[
        float, typer.Option(min=0.0, help="Seconds to wait with --wait.")
    ] = WAIT_TIMEOUT_S,
    json: read_commands.Json = False,
) -> None:
    """Publish every service file under a folder as one transaction."""
    published = context_lib.load_services(folder)
    accounts = context_lib.load_accounts(folder)
    chosen_id = publish_id or uuid.uuid4().hex
    with context_lib.open_client(context) as client:
        if base == BASE_NOT_GIVEN:
            base = context_lib.require_answer(
                cluster_requests.fetch_base_version(client)
            )
        asked = cluster_requests.publish_services(
            client,
            published,
            publish_id=chosen_id,
            base_version=base,
            accounts=accounts,
        )
        found = _require_result(
            asked, _describe_resend(folder, chosen_id, base)
        )
        _print_result(found, json=json)
        if found.outcome is not commands.PublishOutcome.ACCEPTED:
            context_lib.exit_command(exits.Exit.REFUSED)
        if publish_id:
            _check_same_content(client, found.version, published)
        if wait:
            _wait(client, found.version, timeout)


def make_replica_app() -> typer.Typer:
    """Returns the commands that change the set of replicas."""
    app = typer.Typer(help="Add, remove or replace a control replica.")
    app.command("add")(add_replica)
    app.command("remove")(remove_replica)
    app.command("replace")(replace_replica)
    return app


def add_replica(
    context: typer.Context,
    replica_id: str,
    address: str,
    public_key: str = "",
) -> None:
    """Add a replica; it votes once it has caught up."""
    _change_replica(
        context,
        operator_messages.ChangeReplicaRequest(
            request_id=client_lib.UNASSIGNED_ID,
            action="add",
            replica_id=replica_id,
            address=address,
            public_key=public_key,
        ),
    )


def remove_replica(context: typer.Context, replica_id: str) -> None:
    """Remove a replica from the cluster."""
    _change_replica(
        context,
        operator_messages.ChangeReplicaRequest(
            request_id=client_lib.UNASSIGNED_ID,
            action="remove",
            replica_id=replica_id,
        ),
    )


def replace_replica(
    context: typer.Context,
    replaced_id: str,
    replica_id: str,
    address: str,
    public_key: str = "",
) -> None:
    """Add a replica and remove another one once the first votes."""
    _change_replica(
        context,
        operator_messages.ChangeReplicaRequest(
            request_id=client_lib.UNASSIGNED_ID,
            action="replace",
            replica_id=replica_id,
            address=address,
            public_key=public_key,
            replaced_id=replaced_id,
        ),
    )


def _change_replica(
    context: typer.Context,
    request: operator_messages.ChangeReplicaRequest,
) -> None:
    with context_lib.open_client(context) as client:
        asked = client.write(request, operator_messages.ChangeReplicaAnswer)
    found = _require_result(
        asked, 'See "lovagesaddle status" for the replicas.'
    )
    if not found.accepted:
        output.print_note(f"refused: {found.cause}")
        context_lib.exit_command(exits.Exit.REFUSED)
    typer.echo(found.cause or f"{request.action} {request.replica_id}: done")


def _require_result(
    found: client_lib.Answer[client_lib.AnswerT], remedy: str
) -> client_lib.AnswerT:
    if isinstance(found, result.Failure):
        output.print_note(output.describe_no_answer(found.failure()))
        output.print_note(
            f"The outcome is unknown: it may have been accepted. {remedy}"
        )
        context_lib.exit_command(exits.Exit.OUTCOME_UNKNOWN)
    answer: client_lib.AnswerT = found.unwrap()
    return answer


def _describe_resend(folder: pathlib.Path, publish_id: str, base: int) -> str:
    return (
        "To learn it, send the same again; it is applied once at most:\n"
        f"  lovagesaddle publish {folder} --base {base} --id {publish_id}"
    )


def _print_result(found: commands.PublishResult, *, json: bool) -> None:
    if json:
        output.print_json(found)
    elif found.outcome is commands.PublishOutcome.ACCEPTED:
        typer.echo(output.describe_result(found))
    else:
        output.print_note(output.describe_result(found))


def _check_same_content(
    client: client_lib.Client,
    version: int,
    published: tuple[services.Service, ...],
) -> None:
    if cluster_requests.has_different_content(client, version, published):
        output.print_note(
            f"this ID published other files as version {version}; the files"
            " given now were not published"
        )
        context_lib.exit_command(exits.Exit.REFUSED)


def _wait(client: client_lib.Client, version: int, timeout_s: float) -> None:
    progress = cluster_requests.wait_in_force(
        client,
        version,
        timeout_s=timeout_s,
        report=lambda found: output.print_note(output.describe_progress(found)),
    )
    if not progress.in_force:
        output.print_note(
            f"accepted, but not in force everywhere after {timeout_s:g} s"
        )
        context_lib.exit_command(exits.Exit.NOT_IN_FORCE)
