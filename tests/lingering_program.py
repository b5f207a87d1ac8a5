"""Runs a program of the platform that leaves a thread at work at its end."""

import pathlib
import threading

import typer

from lovagesaddle.platform import startup

EXIT_STATUS = 3


def run(settings_file: startup.SettingsFile) -> None:
    """Leaves a thread that never ends, and exits."""
    assert isinstance(settings_file, pathlib.Path)
    threading.Thread(target=threading.Event().wait).start()
    print("ready", flush=True)
    raise typer.Exit(EXIT_STATUS)


if __name__ == "__main__":
    startup.run_program(run)
