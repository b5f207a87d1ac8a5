"""Tests of the pages that list other pages."""

import pathlib
import re

from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_every_decision_is_in_the_index() -> None:
    """The index of decisions names every note."""
    folder = ROOT / "docs" / "decisions"
    index = (folder / "README.md").read_text(encoding="utf-8")
    notes = [path.name for path in folder.glob("[0-9]*.md")]
    missing = [name for name in notes if f"({name})" not in index]
    assert notes and not missing, missing


def test_links_between_pages_lead_somewhere() -> None:
    """Every relative link of a page names a file."""
    broken: list[str] = []
    for page in (*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")):
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            if not (page.parent / target).exists():
                broken.append(f"{page.relative_to(ROOT)}: {target}")
    assert not broken, broken


load_tests = fixtures.collect(__name__)
