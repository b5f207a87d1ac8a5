"""Runs the tests and lists known failures: `python -m tests [NAME...]`.

Without names all of `tests` is run. Failures listed in KNOWN-RED.txt are
printed and do not count as failed. The last line is
`N passed, N failed, N skipped`.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main(names: list[str]) -> int:
    """Runs the tests and returns the exit status.

    The status is 0 if at least one test ran and only known-red tests failed.
    """
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    known = _read_known_red()
    failed_names = [test.id() for test, _ in (*result.failures, *result.errors)]
    failed_names += [test.id() for test in result.unexpectedSuccesses]
    known_failures = [name for name in failed_names if name in known]
    for name in known_failures:
        print(f"known red: {name}")
    failed = len(failed_names) - len(known_failures)
    passed = result.testsRun - len(failed_names) - len(result.skipped)
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
