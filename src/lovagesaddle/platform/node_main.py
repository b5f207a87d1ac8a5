"""Runs lovagesaddle-node with the endpoints of the platform.

Each program has a module of its own, so that neither imports the other: the
imports of a program determine how long its restart takes.
"""

from collections.abc import Iterator
import contextlib

from returns import result
import typer

from lovagesaddle.node import main as node_main
from lovagesaddle.node import program as node_lib
from lovagesaddle.observability import logs
from lovagesaddle.platform import endpoints
from lovagesaddle.platform import node_endpoints
from lovagesaddle.platform import platform_headers
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.platform import startup
from lovagesaddle.settings import loader

_log = logs.get_logger("platform")


def node(settings_file: startup.SettingsFile) -> None:
    """Runs a node beside a backend server, with the settings in FILE."""
    settings = startup.require_settings(
        loader.load_node(
            settings_file, ignored_sections=startup.FOREIGN_SECTIONS
        )
    )
    settings = startup.require_settings(
        settings_lib.apply_bounds(settings_file, settings)
    )
    addresses = startup.require_settings(
        settings_lib.load_section(settings_file, settings_lib.NodeAddresses)
    )

    @contextlib.contextmanager
    def attach(running: node_lib.NodeProgram) -> Iterator[None]:
        readiness = node_endpoints.ReadinessEndpoint(lambda: running.is_ready)
        beats = node_endpoints.HeartbeatEndpoint(running)
        with (
            endpoints.open_endpoint(readiness, addresses.ready_address),
            endpoints.open_endpoint(beats, addresses.beat_address),
        ):
            yield

    def read_service() -> str:
        loaded = loader.load_node(
            settings_file, ignored_sections=startup.FOREIGN_SECTIONS
        )
        if isinstance(loaded, result.Success):
            service: str = loaded.unwrap().service
            return service
        _log.warning(
            "settings_unreadable",
            cause=loader.format_problems(loaded.failure()),
        )
        return ""

    raise typer.Exit(
        node_main.serve(
            settings,
            names=platform_headers.HEADERS,
            read_service=read_service,
            attach=attach,
        )
    )


def main() -> None:
    """Runs the program."""
    startup.run_program(node)


if __name__ == "__main__":
    main()
