"""Writes the index of the decision notes: `python -m tools.decisions`.

The index lists the notes of docs/decisions by group and number.
"""

import pathlib

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "decisions"
INDEX = "README.md"
HEAD = """\
# Decisions

Each note gives the context, the ways weighed, the figures with the command that
printed them, the decision, and what would change it.
"""
GROUPS = (
    ("00", "Data and wire"),
    ("01", "Replicas"),
    ("02", "Fleet"),
    ("03", "Calls"),
    ("04", "Node"),
    ("05", "Operators"),
    ("06", "Platform"),
)


def make_index(folder: pathlib.Path = FOLDER) -> str:
    """Returns the index of a folder of notes, grouped by number prefix."""
    parts = [HEAD]
    for prefix, title in GROUPS:
        lines = [_make_line(path) for path in folder.glob(f"{prefix}*.md")]
        if lines:
            parts.append("\n".join((f"## {title}", "", *sorted(lines), "")))
    return "\n".join(parts)


def main() -> int:
    """Writes the index and returns the exit status."""
    (FOLDER / INDEX).write_text(make_index(), encoding="utf-8")
    return 0


def _make_line(path: pathlib.Path) -> str:
    title = path.read_text(encoding="utf-8").splitlines()[0].lstrip("# ")
    return f"- [{title}]({path.name})"


if __name__ == "__main__":
    raise SystemExit(main())
