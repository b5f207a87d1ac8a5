"""Tests of import and layering rules that no linter checks."""

import ast
from collections.abc import Iterator
import pathlib

from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "lovagesaddle"
IO_MODULES = frozenset(
    [
        "socket",
        "threading",
        "time",
        "os",
        "zmq",
        "random",
        "http",
        "waitress",
        "logging",
        "select",
        "subprocess",
        "asyncio",
        "multiprocessing",
        "secrets",
        "tempfile",
        "shutil",
    ]
)
NAME_IMPORTS_ALLOWED = frozenset({"typing", "collections.abc"})


def test_core_has_no_input_or_output() -> None:
    """The core imports no clock, socket, file, thread or random source."""
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path, name in _list_imports(SOURCE / "core")
        if name.split(".")[0] in IO_MODULES
    ]
    assert not found, found


def test_core_imports_only_the_core() -> None:
    """The core imports no other folder of the package."""
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path, name in _list_imports(SOURCE / "core")
        if name.startswith("lovagesaddle")
        and not name.startswith("lovagesaddle.core")
    ]
    assert not found, found


def test_only_one_folder_uses_names_of_the_platform() -> None:
    """No module outside `platform` imports it or uses its wire names."""
    words = ("Lovagesaddle-", "Config.Put", "RouteKind", "HeartbeatAddr")
    others = [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if SOURCE / "platform" not in path.parents
    ]
    found = [
        f"{path.relative_to(ROOT)}: {word}"
        for path in others
        for word in (*words, "lovagesaddle.platform")
        if word in path.read_text(encoding="utf-8")
    ]
    assert others
    assert not found, found


def test_modules_are_imported_and_not_names() -> None:
    """Every `from a import b` imports a module, except for typing names."""
    found: list[str] = []
    for path in sorted(ROOT.glob("[stb]*/**/*.py")):
        if ROOT / "target" in path.parents:
            # Third-party libraries that the deployment installs.
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom):
                found.extend(_list_name_imports(path, node))
    assert not found, found


def _list_name_imports(
    path: pathlib.Path, node: ast.ImportFrom
) -> Iterator[str]:
    module = node.module or ""
    if module in NAME_IMPORTS_ALLOWED:
        return
    for alias in node.names:
        if alias.name[:1].isupper():
            yield f"{path.relative_to(ROOT)}:{node.lineno}: {alias.name}"


def _list_imports(folder: pathlib.Path) -> Iterator[tuple[pathlib.Path, str]]:
    for path in sorted(folder.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                yield from ((path, alias.name) for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module:
                yield path, node.module


load_tests = fixtures.collect(__name__)
