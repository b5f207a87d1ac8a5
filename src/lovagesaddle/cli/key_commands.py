"""Implements the commands that create and show CurveZMQ keys."""

import pathlib
from typing import Annotated

import typer

from lovagesaddle.transport import keys as keys_lib

KeyFile = Annotated[pathlib.Path, typer.Argument(help="Key file.")]


def make_keys_app() -> typer.Typer:
    """Returns the commands that manage keys."""
    app = typer.Typer(help="Make and show the keys of encrypted links.")
    app.command("new")(create_keys)
    app.command("show")(show_key)
    return app


def create_keys(file: KeyFile) -> None:
    """Write a new key pair to a new file and print the public key."""
    pair = keys_lib.generate_keys()
    keys_lib.write_keys(file, pair)
    typer.echo(pair.public)


def show_key(file: KeyFile) -> None:
    """Print the public key of a key file."""
    typer.echo(keys_lib.read_keys(file).public)
