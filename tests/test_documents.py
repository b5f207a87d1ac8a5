"""Tests that the reference pages in docs/ are complete."""

import pathlib
import typing

from lovagesaddle.cli import exits
from lovagesaddle.core.configuration import sections
from lovagesaddle.core.configuration import service_sections
from lovagesaddle.settings import schema
from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
SETTINGS = (
    schema.ControlSettings,
    schema.NodeSettings,
    schema.OperatorSettings,
    schema.KeySettings,
    schema.LogSettings,
)
NESTED = frozenset({"replicas", "keys", "log"})


def test_every_setting_is_in_the_reference() -> None:
    """Each setting of each program is listed in docs/operators.md."""
    page = (DOCS / "operators.md").read_text(encoding="utf-8")
    missing = [
        f"{kind.__name__}.{name}"
        for kind in SETTINGS
        for name in typing.get_type_hints(kind)
        if name not in NESTED and f"| `{sections.to_key(name)}` |" not in page
    ]
    assert not missing, missing


def test_every_key_of_a_service_file_is_in_the_reference() -> None:
    """Each key of a service file is listed in docs/service-files.md."""
    page = (DOCS / "service-files.md").read_text(encoding="utf-8")
    kinds = (
        service_sections.ServiceSection,
        service_sections.CallerSection,
        service_sections.RouteSection,
    )
    keys = {
        sections.to_key(name)
        for kind in kinds
        for name in typing.get_type_hints(kind)
    }
    assert not [key for key in keys if f"| `{key}` |" not in page]


def test_every_exit_status_is_explained() -> None:
    """Each exit status has its row in docs/operators.md."""
    page = (DOCS / "operators.md").read_text(encoding="utf-8")
    rows = [f"\n| {each.value} |" for each in exits.Exit]
    assert not [row for row in rows if row not in page]


load_tests = fixtures.collect(__name__)
