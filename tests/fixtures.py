"""Loads plain test functions into unittest, with shared fixtures.

A test module holds functions named `test_*` and ends with:

    load_tests = fixtures.collect(__name__)
"""

from collections.abc import Callable
import contextlib
import inspect
import pathlib
import sys
import tempfile
import unittest

LoadTests = Callable[
    [unittest.TestLoader, unittest.TestSuite, str | None], unittest.TestSuite
]


def make_folder(stack: contextlib.ExitStack) -> pathlib.Path:
    """Returns a temporary folder that is deleted when the stack closes."""
    return pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))


class _NamedFunctionTest(unittest.FunctionTestCase):
    """A test of one function, with the ID `module.function`."""

    def id(self) -> str:
        """Returns the dotted name, as written in KNOWN-RED.txt."""
        function = self._testFunc  # type: ignore[attr-defined]
        return f"{function.__module__}.{function.__name__}"


def collect(
    module_name: str,
    *,
    set_up: Callable[[], object] | None = None,
    tear_down: Callable[[], object] | None = None,
) -> LoadTests:
    """Returns a `load_tests` that runs the module's test functions.

    Args:
      module_name: `__name__` of the test module.
      set_up: Called before each test.
      tear_down: Called after each test.
    """

    def load_tests(
        loader: unittest.TestLoader,
        standard_tests: unittest.TestSuite,
        pattern: str | None,
    ) -> unittest.TestSuite:
        del loader, standard_tests, pattern
        module = sys.modules[module_name]
        suite = unittest.TestSuite()
        for name, function in inspect.getmembers(module, inspect.isfunction):
            if name.startswith("test_"):
                suite.addTest(
                    _NamedFunctionTest(
                        function, setUp=set_up, tearDown=tear_down
                    )
                )
        return suite

    return load_tests
