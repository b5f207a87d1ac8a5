"""Loads settings and services, opens the client and ends commands."""

import pathlib
from typing import NoReturn, TypeVar

from returns import result
import typer

from lovagesaddle.cli import client as client_lib
from lovagesaddle.cli import exits
from lovagesaddle.cli import output
from lovagesaddle.cli import service_folders
from lovagesaddle.core import errors
from lovagesaddle.core.model import services
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema

T = TypeVar("T")

DEFAULT_SETTINGS = "lovagesaddle.ini"
SETTINGS_VARIABLE = "LOVAGESADDLE_SETTINGS"


def exit_command(status: exits.Exit) -> NoReturn:
    """Ends the command with an exit status.

    Raises:
      typer.Exit: Always.
    """
    raise typer.Exit(int(status))


def load_settings(path: pathlib.Path) -> schema.OperatorSettings:
    """Returns the operator's settings; prints mistakes and exits on failure."""
    return _require_valid(loader.load_operator(path))


def load_services(folder: pathlib.Path) -> tuple[services.Service, ...]:
    """Returns a folder's services; prints mistakes and exits on failure."""
    return _require_valid(service_folders.load_folder(folder))


def load_accounts(folder: pathlib.Path) -> tuple[services.ClientAccount, ...]:
    """Returns a folder's accounts; prints mistakes and exits on failure."""
    return _require_valid(service_folders.load_accounts(folder))


def require_answer(found: result.Result[T, client_lib.NoAnswer]) -> T:
    """Returns the answer to a read request; ends the command on failure."""
    if isinstance(found, result.Failure):
        output.print_note(output.describe_no_answer(found.failure()))
        exit_command(exits.Exit.UNREACHABLE)
    answer: T = found.unwrap()
    return answer


def open_client(context: typer.Context) -> client_lib.Client:
    """Returns a client with the settings file given to the command."""
    path: pathlib.Path = context.obj
    return client_lib.Client(load_settings(path))


def _require_valid(
    found: result.Result[T, tuple[errors.FileProblem, ...]],
) -> T:
    if isinstance(found, result.Failure):
        output.print_problems(found.failure())
        exit_command(exits.Exit.BAD_INPUT)
    value: T = found.unwrap()
    return value
