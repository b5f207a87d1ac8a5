"""Entry point of lovagesaddle-control; `program` implements the replica."""

from collections.abc import Callable
import contextlib
import enum
import pathlib
import signal
from typing import Annotated, Any

from returns import result
import typer
import zmq

from lovagesaddle import allocator
from lovagesaddle.control import program as program_lib
from lovagesaddle.control import replica_discovery
from lovagesaddle.control import verification
from lovagesaddle.core import errors
from lovagesaddle.observability import logs
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema
from lovagesaddle.storage import disk
from lovagesaddle.storage import retirement

EXIT_FAILED = 1
EXIT_SETTINGS = 2

Attach = Callable[
    [program_lib.ControlProgram], contextlib.AbstractContextManager[Any]
]


class ExitReason(enum.Enum):
    """Why the run of a replica ended."""

    STOPPED = "stopped"
    REMOVED = "removed"


app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def describe() -> None:
    """Control replica of lovagesaddle."""


def _attach_no_service(
    replica: program_lib.ControlProgram,
) -> contextlib.AbstractContextManager[Any]:
    del replica
    return contextlib.nullcontext()


def serve(
    settings: schema.ControlSettings,
    *,
    is_founding: bool,
    attach: Attach = _attach_no_service,
) -> None:
    """Runs a replica until SIGTERM or SIGINT.

    Args:
      settings: Settings of the replica.
      is_founding: Whether an empty data folder may found the cluster.
      attach: Returns a context manager that is held open while the replica
        runs, for services that share its process.

    Raises:
      errors.LovagesaddleError: The replica can't start or failed.
    """
    while _run(settings, is_founding, attach) is ExitReason.REMOVED:
        # The replica was removed from the cluster. Its data is marked as
        # retired, and the process rejoins as a new replica with an empty data
        # folder.
        retirement.mark_retired(
            pathlib.Path(settings.data_folder), disk.LocalDisk()
        )
        is_founding = False


def _run(
    settings: schema.ControlSettings, is_founding: bool, attach: Attach
) -> ExitReason:
    with (
        zmq.Context() as context,
        program_lib.ControlProgram(
            settings, context, is_founding=is_founding
        ) as program,
        attach(program),
    ):
        allocator.return_large_blocks()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: program.stop())
        try:
            program.run()
        except replica_discovery.RemovedError as error:
            logs.get_logger("control").warning(
                "replica_removed",
                replica=settings.replica_id,
                peer=error.peer,
                cause=error.cause,
            )
            # A process that is to end finds out again at its next start.
            if not program.is_stopping:
                return ExitReason.REMOVED
        return ExitReason.STOPPED


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
    loaded = loader.load_control(settings_file)
    if not isinstance(loaded, result.Success):
        typer.echo(loader.format_problems(loaded.failure()), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    settings = loaded.unwrap()
    with logs.open_log(settings.log):
        try:
            serve(settings, is_founding=found)
        except errors.LovagesaddleError as error:
            logs.get_logger("control").error(
                "replica_failed",
                step=error.step,
                peer=error.peer,
                cause=error.cause,
            )
            raise typer.Exit(EXIT_FAILED) from error


@app.command()
def verify(
    folder: Annotated[pathlib.Path, typer.Argument(metavar="DIR")],
) -> None:
    """Checks the data folder DIR while no replica uses it."""
    try:
        report = verification.verify_folder(folder)
    except errors.LovagesaddleError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FAILED) from error
    typer.echo(
        f"replica={report.identity.replica_id}"
        f" member={report.identity.member_id}"
        f" cluster={report.identity.cluster_id}"
        f" term={report.term}"
        f" snapshot-version={report.snapshot_version}"
        f" first-version={report.first_version}"
        f" last-version={report.last_version}"
        f" segments={report.segments}"
        f" torn-bytes={report.torn_bytes}"
    )


def main() -> None:
    """Runs the command line."""
    app()
