"""Runs lovagesaddle-control with the endpoints of the platform."""

from collections.abc import Iterator
import contextlib

import typer

from lovagesaddle.control import main as control_main
from lovagesaddle.control import program as control_lib
from lovagesaddle.core import errors
from lovagesaddle.http import applications
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics as metrics_lib
from lovagesaddle.platform import endpoints
from lovagesaddle.platform import operator_endpoints
from lovagesaddle.platform import rollout_endpoint
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.platform import startup
from lovagesaddle.settings import loader

EXIT_FAILED = 1
_log = logs.get_logger("platform")


def control(settings_file: startup.SettingsFile) -> None:
    """Runs a control replica with the settings in FILE."""
    settings = startup.require_settings(
        loader.load_control(
            settings_file, ignored_sections=startup.FOREIGN_SECTIONS
        )
    )
    settings = startup.require_settings(
        settings_lib.apply_bounds(settings_file, settings)
    )
    addresses = startup.require_settings(
        settings_lib.load_section(settings_file, settings_lib.ControlAddresses)
    )
    seeds = {replica.replica_id for replica in settings.replicas}
    metrics = metrics_lib.Metrics()

    @contextlib.contextmanager
    def attach(replica: control_lib.ControlProgram) -> Iterator[None]:
        calls: applications.Application = (
            operator_endpoints.ConfigurationEndpoint(replica.forwarder)
        )
        if settings.rollback_bound_s:
            calls = rollout_endpoint.RolloutEndpoint(replica.forwarder, calls)
        with (
            endpoints.open_endpoint(
                calls,
                addresses.operator_address,
                max_body_bytes=operator_endpoints.MAX_DOCUMENT_BYTES,
            ),
            endpoints.open_endpoint(
                endpoints.MetricsEndpoint(metrics), addresses.metrics_address
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


def main() -> None:
    """Runs the program."""
    startup.run_program(control)


if __name__ == "__main__":
    main()
