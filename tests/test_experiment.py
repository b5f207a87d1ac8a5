"""Tests of experiment files."""

from collections.abc import Mapping
import contextlib
import io
import os
import pathlib
import tempfile
from unittest import mock

from bench import experiment
from bench import kinds
from bench import results

from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEXT = """\
[experiment]
name = trial
kind = fake
seeds = 1, 2
size = 3

[variant small]

[variant large]
size = 30
"""


class _FakeKind(kinds.Kind):
    """Returns a figure computed from the parameters."""

    parameters = frozenset({"size"})

    def check(self, parameters: Mapping[str, str]) -> None:
        """See base class."""
        int(parameters["size"])

    def run(
        self, parameters: Mapping[str, str], seed: int
    ) -> tuple[results.Figure, ...]:
        """See base class."""
        value = float(int(parameters["size"]) + seed)
        return (results.Figure(name="size", value=value, unit="1", bound=40),)


def _load(text: str) -> experiment.Experiment:
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.dict(kinds.KINDS, {"fake": _FakeKind()}),
    ):
        path = pathlib.Path(folder) / "e.ini"
        path.write_text(text, encoding="utf-8")
        return experiment.load_experiment(path)


def test_variants_inherit_and_override() -> None:
    """A variant has the shared parameters, except those that it overrides."""
    loaded = _load(TEXT)
    assert loaded.seeds == (1, 2)
    assert [variant.parameters for variant in loaded.variants] == [
        (("size", "3"),),
        (("size", "30"),),
    ]


def test_mistakes_are_refused_before_anything_runs() -> None:
    """Unknown kinds, keys and values raise an error that names the cause."""
    mistakes = (
        ("kind = fake", "kind = none", '"none" is not one of'),
        ("size = 30", "speed = 30", 'key "speed" is unknown'),
        ("size = 30", "size = wide", "wide"),
        ("[variant small]", "[small]", "section [small] is unknown"),
    )
    for before, after, cause in mistakes:
        try:
            _load(TEXT.replace(before, after))
        except experiment.ExperimentError as error:
            assert cause in str(error), error
            continue
        raise AssertionError(f"loaded with {after}")


def test_second_run_is_compared_with_the_first() -> None:
    """A run writes its results and compares them with the previous ones."""
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.dict(kinds.KINDS, {"fake": _FakeKind()}),
        contextlib.chdir(folder),
    ):
        pathlib.Path("e.ini").write_text(TEXT, encoding="utf-8")
        first, second = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(first):
            assert experiment.main(["e.ini"]) == 0
        with contextlib.redirect_stdout(second):
            assert experiment.main(["e.ini"]) == 0
        assert "no baseline" in first.getvalue()
        assert "overlaps" in second.getvalue()
        assert os.path.exists("results/trial.jsonl")


def test_sample_experiments_are_valid() -> None:
    """Every experiment file of the examples loads."""
    paths = sorted((ROOT / "examples" / "experiments").glob("*.ini"))
    assert paths
    for path in paths:
        assert experiment.load_experiment(path).variants


load_tests = fixtures.collect(__name__)
