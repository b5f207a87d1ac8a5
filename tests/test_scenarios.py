"""Runs the scenarios of features/ and checks that every tag is covered."""

import subprocess
import sys

from tools import promises

from tests import fixtures

TIMEOUT_S = 120.0
BEHAVE = ("behave", "--no-capture", "--format", "progress3", "features")


def test_every_scenario_passes() -> None:
    """Behave passes every scenario of features/ against the core."""
    finished = subprocess.run(
        [sys.executable, "-m", *BEHAVE],
        cwd=promises.ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert finished.returncode == 0, finished.stdout + finished.stderr


def test_every_promise_and_fault_has_a_scenario() -> None:
    """Every promise and fault has a scenario, and every tag is known."""
    known = {s.tag for s in (*promises.PROMISES, *promises.FAULTS)}
    scenarios = promises.list_scenarios()
    used = {tag for scenario in scenarios for tag in scenario.tags}
    assert used - {"together", "twice"} == known
    assert sum("together" in s.tags for s in scenarios) >= 3
    assert sum("twice" in s.tags for s in scenarios) >= 3


def test_page_of_promises_is_current() -> None:
    """docs/promises.md equals what tools.promises renders."""
    written = promises.PAGE.read_text(encoding="utf-8")
    assert written == promises.render_page(), "run python -m tools.promises"


load_tests = fixtures.collect(__name__)
