"""Stores, tabulates and compares results of measurements."""

from collections.abc import Iterable
import dataclasses
import pathlib
import statistics

import msgspec

RESULTS_FOLDER = pathlib.Path("results")
COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """A measured number.

    Attributes:
      name: What was measured, such as "convergence p99".
      value: Measured value.
      unit: Its unit, such as "s", "ms", "B" or "1".
      bound: Largest value that the target allows, or None.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None

    @property
    def is_met(self) -> bool:
        """Whether the value stays within its bound."""
        return self.bound is None or self.value <= self.bound


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """The figures of one run of a variant.

    Attributes:
      experiment: Name of the experiment.
      variant: What was varied, such as a policy or a fleet size.
      seed: Seed of the run.
      figures: Figures of the run.
    """

    experiment: str
    variant: str
    seed: int
    figures: tuple[Figure, ...]


def write_samples(path: pathlib.Path, samples: Iterable[Sample]) -> None:
    """Writes samples as JSON lines, replacing the file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [msgspec.json.encode(sample) for sample in samples]
    path.write_bytes(b"".join(line + b"\n" for line in lines))


def read_samples(path: pathlib.Path) -> tuple[Sample, ...]:
    """Returns the samples of a file that `write_samples` wrote."""
    decoder = msgspec.json.Decoder(Sample)
    lines = path.read_bytes().splitlines()
    return tuple(decoder.decode(line) for line in lines)


def list_breaches(samples: Iterable[Sample]) -> tuple[str, ...]:
    """Returns one line for each figure that exceeds its bound."""
    return tuple(
        f"{sample.experiment}/{sample.variant} seed {sample.seed}:"
        f" {figure.name} is {figure.value:g} {figure.unit},"
        f" bound {figure.bound:g}"
        for sample in samples
        for figure in sample.figures
        if not figure.is_met and figure.bound is not None
    )


def format_table(samples: Iterable[Sample]) -> str:
    """Returns a table with a row for each figure and a column for each variant.

    Several runs of a variant are shown as `median [least..most]`.
    """
    all_samples = tuple(samples)
    variants = _list_distinct(sample.variant for sample in all_samples)
    names = _list_distinct(
        _make_label(figure)
        for sample in all_samples
        for figure in sample.figures
    )
    rows = [["", *variants]]
    rows.extend(
        [
            name,
            *(
                _format_cell(_list_values(all_samples, v, name))
                for v in variants
            ),
        ]
        for name in names
    )
    return _align_columns(rows)


def compare(before: Iterable[Sample], after: Iterable[Sample]) -> str:
    """Returns a table of changed medians, and whether the runs overlap.

    Args:
      before: Samples of the baseline.
      after: Samples of the change.

    Returns:
      One row for each variant and figure that both contain.
    """
    old, new = tuple(before), tuple(after)
    rows = [["variant", "figure", "before", "after", "change", "spread"]]
    for variant in _list_distinct(sample.variant for sample in new):
        for name in _list_distinct(
            _make_label(figure) for sample in new for figure in sample.figures
        ):
            first, second = (
                _list_values(old, variant, name),
                _list_values(new, variant, name),
            )
            if first and second:
                rows.append(_compare_row(variant, name, first, second))
    return _align_columns(rows)


def _compare_row(
    variant: str, name: str, first: list[float], second: list[float]
) -> list[str]:
    old_median, new_median = statistics.median(first), statistics.median(second)
    change = (
        f"{(new_median - old_median) / old_median:+.0%}" if old_median else "-"
    )
    apart = max(first) < min(second) or max(second) < min(first)
    return [
        variant,
        name,
        _format_cell(first),
        _format_cell(second),
        change,
        "apart" if apart else "overlaps",
    ]


def _make_label(figure: Figure) -> str:
    bound = "" if figure.bound is None else f" (<= {figure.bound:g})"
    return f"{figure.name} [{figure.unit}]{bound}"


def _list_values(
    samples: tuple[Sample, ...], variant: str, label: str
) -> list[float]:
    return [
        figure.value
        for sample in samples
        if sample.variant == variant
        for figure in sample.figures
        if _make_label(figure) == label
    ]


def _format_cell(values: list[float]) -> str:
    if not values:
        return "-"
    median = f"{statistics.median(values):.4g}"
    if len(values) == 1:
        return median
    return f"{median} [{min(values):.4g}..{max(values):.4g}]"


def _list_distinct(names: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(names))


def _align_columns(rows: list[list[str]]) -> str:
    widths = [
        max(len(row[column]) for row in rows) for column in range(len(rows[0]))
    ]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
