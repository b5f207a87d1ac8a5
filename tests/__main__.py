"""Runs every test, and the known-red ones apart: `python -m tests [NAME...]`.

Without names all of `tests` is run. The last line is `N passed, N failed`.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main(names: list[str]) -> int:
    """Returns the exit status: 0 when nothing but known-red tests failed."""
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known = _read_known_red()
    bad = [test.id() for test, _ in (*result.failures, *result.errors)]
    bad += [test.id() for test in result.unexpectedSuccesses]
    red = [name for name in bad if name in known]
    for name in red:
        print(f"known red: {name}")
    failed = len(bad) - len(red)
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 1 if failed or not result.testsRun else 0


def _read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
