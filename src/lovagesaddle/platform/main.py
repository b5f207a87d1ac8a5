"""The programs as the platform starts them."""

from collections.abc import Iterator
import contextlib
import pathlib
import signal
from typing import Annotated, TypeVar

from returns import result
import typer

from lovagesaddle.control import main as control_main
from lovagesaddle.control import program as control_lib
from lovagesaddle.core import errors
from lovagesaddle.node import main as node_main
from lovagesaddle.node import program as node_lib
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.platform import endpoints
from lovagesaddle.platform import names
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.settings import loader

EXIT_FAILED = 1
EXIT_SETTINGS = 2
FOREIGN = (settings_lib.SECTION,)
T = TypeVar("T")
SettingsFile = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]
_log = logs.get_logger("platform")
app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.command()
def node(settings_file: SettingsFile) -> None:
    """Runs a node beside a backend server, with the settings in FILE."""
    settings = _take(loader.load_node(settings_file, foreign=FOREIGN))
    addresses = _take(
        settings_lib.load_section(settings_file, settings_lib.NodeAddresses)
    )

    @contextlib.contextmanager
    def attach(running: node_lib.NodeProgram) -> Iterator[None]:
        readiness = endpoints.Readiness(lambda: running.is_ready)
        beats = endpoints.Announcements(running)
        with (
            endpoints.open_endpoint(readiness, addresses.ready_address),
            endpoints.open_endpoint(beats, addresses.beat_address),
        ):
            yield

    raise typer.Exit(
        node_main.serve(settings, names=names.HEADERS, attach=attach)
    )


@app.command()
def control(settings_file: SettingsFile) -> None:
    """Runs a control replica with the settings in FILE."""
    settings = _take(loader.load_control(settings_file, foreign=FOREIGN))
    addresses = _take(
        settings_lib.load_section(settings_file, settings_lib.ControlAddresses)
    )
    seeds = {replica.replica_id for replica in settings.replicas}
    metrics = metrics_lib.Metrics()

    @contextlib.contextmanager
    def attach(replica: control_lib.ControlProgram) -> Iterator[None]:
        documents = endpoints.Configuration(replica.forwarder)
        with (
            endpoints.open_endpoint(
                documents,
                addresses.operator_address,
                max_body_bytes=endpoints.MAX_DOCUMENT_BYTES,
            ),
            endpoints.open_endpoint(
                endpoints.Metrics(metrics), addresses.metrics_address
            ),
        ):
            yield

    with logs.open_log(settings.log):
        try:
            control_main.serve(
                settings,
                is_founding=addresses.founds and settings.replica_id in seeds,
                attach=attach,
            )
        except errors.LovagesaddleError as error:
            _log.error(
                "replica_failed",
                step=error.step,
                peer=error.peer,
                cause=error.cause,
            )
            raise typer.Exit(EXIT_FAILED) from error


def _take(loaded: result.Result[T, loader.Problems]) -> T:
    if isinstance(loaded, result.Success):
        value: T = loaded.unwrap()
        return value
    typer.echo(loader.list_lines(loaded.failure()), err=True)
    raise typer.Exit(EXIT_SETTINGS)


def main() -> None:
    """Entry point of both programs."""
    # The default action would end the process when its settings change.
    signal.signal(signal.SIGHUP, lambda *_: _log.info("settings_changed"))
    app()


if __name__ == "__main__":
    main()
