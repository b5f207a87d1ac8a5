"""Moves changelog.d/ into CHANGELOG.md: `python -m tools.changelog 1.2.0`.

The moved files are deleted; the maintainer commits the result.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADING = "## "
USAGE_STATUS = 2


def gather_changes(changelog: str, changes: list[str], version: str) -> str:
    """Returns the changelog with a section for `version` above the others.

    Args:
      changelog: Current text of the changelog.
      changes: Text of each change, in order.
      version: Version to be released.
    """
    items = [_make_item(change) for change in changes]
    section = f"{HEADING}{version}\n\n" + "\n".join(items) + "\n"
    head, heading, rest = changelog.partition(f"\n{HEADING}")
    older = f"{heading}{rest}" if heading else ""
    return f"{head.rstrip()}\n\n{section}{older}"


def _make_item(change: str) -> str:
    lines = change.strip().splitlines()
    return "\n".join([f"- {lines[0]}", *(f"  {line}" for line in lines[1:])])


def main(arguments: list[str]) -> int:
    """Updates the changelog and returns the exit status."""
    if len(arguments) != 1:
        print(__doc__, file=sys.stderr)
        return USAGE_STATUS
    paths = sorted((ROOT / "changelog.d").glob("*.md"))
    target = ROOT / "CHANGELOG.md"
    changes = [path.read_text(encoding="utf-8") for path in paths]
    text = gather_changes(
        target.read_text(encoding="utf-8"), changes, arguments[0]
    )
    target.write_text(text, encoding="utf-8")
    for path in paths:
        path.unlink()
    print(f"{len(paths)} changes gathered")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
