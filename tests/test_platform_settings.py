"""Tests of the settings that only the platform package reads."""

import contextlib
import pathlib

from returns import result

from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.settings import loader
from lovagesaddle.settings import schema
from tests import fixtures

NODE = schema.NodeSettings(
    node_id="n",
    failure_domain="a",
    region="r",
    http_address="127.0.0.1:1",
    admin_address="127.0.0.1:2",
    control_address="tcp://127.0.0.1:3",
    cluster_id="mesh",
    replicas=(),
    grace_s=7.0,
)


def _apply(text: str) -> result.Result[schema.NodeSettings, loader.Problems]:
    with contextlib.ExitStack() as stack:
        path = pathlib.Path(fixtures.make_folder(stack)) / "node.ini"
        path.write_text(text, encoding="utf-8")
        return settings_lib.apply_bounds(path, NODE)


def test_grace_period_of_the_platform_is_used() -> None:
    """It differs by deployment; other and unknown bounds are passed over."""
    applied = _apply("[bounds]\nSeedLagS = 3\nGraceS = 10\nNewOne = true\n")
    assert applied.unwrap().grace_s == 10.0
    for text in ("[log]\nfile = -\n", "[bounds]\nDrainMs = 2000\n"):
        assert _apply(text).unwrap().grace_s == 7.0


def test_bad_grace_period_is_refused_with_its_place() -> None:
    """A process with a wrong grace period would be killed in its shutdown."""
    for value in ("", "soon", "0", "-1", "{{.|json}}"):
        failure = _apply(f"[bounds]\nGraceS = {value}\n").failure()
        (problem,) = failure
        assert problem.line == 2, value
        assert problem.key == "graces", value


load_tests = fixtures.collect(__name__)
