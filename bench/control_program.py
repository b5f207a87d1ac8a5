"""Runs a control replica that founds a cluster, as a process."""

import pathlib
import sys

from lovagesaddle.control import main as control_main
from lovagesaddle.observability import logs
from lovagesaddle.settings import loader


def main(arguments: list[str]) -> None:
    """Runs the replica until SIGTERM."""
    settings = loader.load_control(pathlib.Path(arguments[0])).unwrap()
    with logs.open_log(settings.log):
        control_main.serve(settings, is_founding=True)


if __name__ == "__main__":
    main(sys.argv[1:])
