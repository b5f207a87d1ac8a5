"""Implements the commands that order and show roll-outs."""

from returns import result
import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import context as context_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.cli import read_commands
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import operator_messages


def make_rollout_app() -> typer.Typer:
    """Returns the commands that concern roll-outs."""
    app = typer.Typer(help="Bring in a new version of a service's software.")
    app.command("start")(start_rollout)
    app.command("show")(show_rollout)
    return app


def start_rollout(
    context: typer.Context, service: str, target: str, ramp_s: float
) -> None:
    """Move a service to servers of version TARGET within RAMP_S seconds."""
    if not 0 < ramp_s < float("inf"):
        output.print_note("RAMP_S has to be above 0")
        context_lib.exit_command(exits.Exit.BAD_INPUT)
    request = operator_messages.StartRolloutRequest(
        request_id=client_lib.UNASSIGNED_ID,
        order=commands.StartRollout(
            service=service, target=target, ramp_s=ramp_s
        ),
    )
    with context_lib.open_client(context) as client:
        found = client.write(request, operator_messages.StartRolloutAnswer)
    if isinstance(found, result.Failure):
        output.print_note(output.describe_no_answer(found.failure()))
        output.print_note(
            "The outcome is unknown: send the same order again, which is one"
            " order however often it is sent."
        )
        context_lib.exit_command(exits.Exit.OUTCOME_UNKNOWN)
    outcome = found.unwrap().outcome
    if outcome is not commands.RolloutOutcome.ACCEPTED:
        output.print_note(f"refused: {outcome.value}")
        context_lib.exit_command(exits.Exit.REFUSED)
    typer.echo(f"{service}: roll-out of {target} is ordered")


def show_rollout(
    context: typer.Context, service: str, json: read_commands.Json = False
) -> None:
    """Show the newest roll-out of a service."""
    request = operator_messages.RolloutRequest(
        request_id=client_lib.UNASSIGNED_ID, service=service
    )
    with context_lib.open_client(context) as client:
        answer = context_lib.require_answer(
            client.write(request, operator_messages.RolloutAnswer)
        )
    rollout = answer.rollout
    if json:
        output.print_json(answer)
    elif rollout is None:
        typer.echo(f"{service}: no roll-out was ordered")
    else:
        typer.echo(
            f"{service}: {rollout.previous or '-'} -> {rollout.target}"
            f" {rollout.phase.value}, share {rollout.weight / 10:g} %,"
            f" {rollout.elapsed_s:g} s of {rollout.ramp_s:g} s at the last step"
        )
