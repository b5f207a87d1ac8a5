"""Tests that the sample files in examples/ are accepted."""

from collections.abc import Callable
import pathlib
from typing import Any

from returns import result

from lovagesaddle.cli import service_folders
from lovagesaddle.settings import loader
from tests import fixtures

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def test_sample_service_files_are_accepted() -> None:
    """Each folder of sample service files is a complete set."""
    names = {
        folder.name: [s.name for s in _check(folder)]
        for folder in (EXAMPLES / "bentancor", EXAMPLES / "bajio")
    }
    assert names == {
        "bentancor": ["artwork", "orderdesk"],
        "bajio": ["batch", "booking"],
    }


def test_sample_settings_are_accepted() -> None:
    """Each sample settings file loads, with addresses used only once."""
    folder = EXAMPLES / "bentancor" / "settings"
    load: dict[str, Callable[[pathlib.Path], result.Result[Any, Any]]] = {
        "control": loader.load_control,
        "node": loader.load_node,
        "lovagesaddle": loader.load_operator,
    }
    addresses: list[str] = []
    for path in sorted(folder.glob("*.ini")):
        kind = path.stem.partition("-")[0]
        settings = load[kind](path).unwrap()
        for key in ("address", "http_address", "admin_address"):
            addresses.append(getattr(settings, key, path.name + key))
    assert len(addresses) == 27
    assert len(set(addresses)) == len(addresses)


def _check(folder: pathlib.Path) -> tuple[Any, ...]:
    services: tuple[Any, ...] = service_folders.load_folder(folder).unwrap()
    return services


load_tests = fixtures.collect(__name__)
