"""Entry point of lovagesaddle-node; `program` implements the node."""

from collections.abc import Callable
import contextlib
import pathlib
import sys
from typing import Annotated, Any

from returns import result
import typer
import zmq

from lovagesaddle import allocator
from lovagesaddle import stop_signals
from lovagesaddle.core import errors
from lovagesaddle.core.routing import header_names
from lovagesaddle.node import owned_server
from lovagesaddle.node import program
from lovagesaddle.node import routing
from lovagesaddle.observability import logs
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

EXIT_REQUESTS_CUT = 1
EXIT_SETTINGS = 2
SWITCH_INTERVAL_S = 0.0005
Attach = Callable[[program.NodeProgram], contextlib.AbstractContextManager[Any]]
app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def describe() -> None:
    """Node of lovagesaddle."""
    # Without a callback, typer drops the name of a single command. The name
    # `run` is kept, since lovagesaddle-control has the same command.


@app.command()
def run(
    settings_file: Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
) -> None:
    """Runs a node with the settings in FILE until SIGTERM or SIGINT.

    Exits with 0 if no request was cut off, 1 if one was, 2 on bad settings.
    """
    match loader.load_node(settings_file):
        case result.Success(loaded):
            raise typer.Exit(serve(loaded))
        case result.Failure(problems):
            typer.echo(loader.format_problems(problems), err=True)
            raise typer.Exit(EXIT_SETTINGS)


def _attach_nothing(
    node: program.NodeProgram,
) -> contextlib.AbstractContextManager[Any]:
    del node
    return contextlib.nullcontext()


def serve(
    settings: schema.NodeSettings,
    *,
    routing_options: routing.RoutingOptions | None = None,
    owner_options: owned_server.OwnerOptions | None = None,
    names: header_names.HeaderNames = header_names.DEFAULT,
    read_service: Callable[[], str] | None = None,
    attach: Attach = _attach_nothing,
) -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit status.

    Args:
      settings: Settings of the node.
      routing_options: Policies of the entry, which routes callers' requests.
      owner_options: Policies of the owner, which runs requests on the local
        backend server.
      names: Names of the headers exchanged with callers and backend servers.
      read_service: Returns the service of this VM by the present settings.
      attach: Returns a context that is open while the node runs, such as
        additional HTTP endpoints.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        with (
            stop_signals.StopSignals() as signals,
            logs.open_log(settings.log),
            zmq.Context() as context,
            program.NodeProgram(
                settings,
                context,
                routing_options=routing_options,
                owner_options=owner_options,
                names=names,
                read_service=read_service,
            ) as node,
            attach(node),
        ):
            allocator.return_large_blocks()
            print(node.http_address, node.admin_address, flush=True)
            signals.wait()
            return 0 if node.shut_down() else EXIT_REQUESTS_CUT
    except errors.LovagesaddleError as error:
        typer.echo(str(error), err=True)
        return EXIT_SETTINGS


def main() -> None:
    """Runs the command line of the program."""
    app()


if __name__ == "__main__":
    main()
