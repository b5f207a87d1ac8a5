"""Tests of the index of decisions and of links between pages."""

import pathlib
import re

from tools import decisions

from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_every_decision_is_in_the_index() -> None:
    """The index of decisions equals what tools.decisions generates."""
    index = (decisions.FOLDER / decisions.INDEX).read_text(encoding="utf-8")
    assert "0001-" in index
    assert index == decisions.make_index(), "run python -m tools.decisions"


def test_relative_links_name_existing_files() -> None:
    """Every relative link of a page names an existing file."""
    broken: list[str] = []
    for page in (*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")):
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            if not (page.parent / target).exists():
                broken.append(f"{page.relative_to(ROOT)}: {target}")
    assert not broken, broken


load_tests = fixtures.collect(__name__)
