"""Tests of the results of measurements."""

import pathlib
import tempfile

from bench import draw
from bench import results

from tests import fixtures


def _make_sample(
    variant: str, seed: int, value: float, bound: float | None = None
) -> results.Sample:
    figure = results.Figure(name="p99", value=value, unit="ms", bound=bound)
    return results.Sample(
        experiment="e", variant=variant, seed=seed, figures=(figure,)
    )


def test_samples_are_read_back_unchanged() -> None:
    """Samples are read back as they were written."""
    samples = (_make_sample("a", 1, 2.5, 3.0), _make_sample("b", 2, 4.0))
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "new" / "r.jsonl"
        results.write_samples(path, samples)
        assert results.read_samples(path) == samples


def test_breach_of_a_bound_is_listed() -> None:
    """A figure that exceeds its bound is listed with value and bound."""
    met, broken = _make_sample("a", 1, 3.0, 3.0), _make_sample("b", 7, 3.1, 3.0)
    assert results.list_breaches((met, broken)) == (
        "e/b seed 7: p99 is 3.1 ms, bound 3",
    )


def test_table_shows_the_spread_over_seeds() -> None:
    """Several runs of a variant are one cell with median and extremes."""
    table = results.format_table(
        _make_sample("a", seed, value)
        for seed, value in ((1, 1), (2, 9), (3, 2))
    )
    assert table.splitlines()[1].split("  ")[-1] == "2 [1..9]"


def test_comparison_tells_overlap_from_difference() -> None:
    """A change is shown as "apart" only if the runs do not overlap."""
    before = (_make_sample("a", 1, 10), _make_sample("a", 2, 12))
    apart = results.compare(
        before, (_make_sample("a", 1, 5), _make_sample("a", 2, 6))
    )
    overlap = results.compare(before, (_make_sample("a", 1, 11),))
    assert apart.splitlines()[1].endswith("-50%    apart")
    assert overlap.splitlines()[1].endswith("overlaps")


def test_curves_join_the_points_of_a_label() -> None:
    """A curve joins the medians of a label's variants in ascending x."""
    samples = (
        _make_sample("tree 50 beat 1", 1, 3.0),
        _make_sample("tree 10 beat 1", 1, 1.0),
        _make_sample("tree 10 beat 1", 2, 2.0),
        _make_sample("push 10 beat 1", 1, 9.0),
    )
    curves = {c.label: c.points for c in draw.make_curves(samples, "p99")}
    assert curves == {
        "tree": ((10.0, 1.5), (50.0, 3.0)),
        "push": ((10.0, 9.0),),
    }


load_tests = fixtures.collect(__name__)
