"""Results of measurements: JSON lines on disk, tables and comparisons."""

from collections.abc import Iterable
import dataclasses
import pathlib
import statistics

import msgspec

RESULTS_FOLDER = pathlib.Path("results")
COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured number.

    Attributes:
      name: What was measured, such as "convergence p99".
      value: The number.
      unit: Its unit, such as "s", "ms", "B" or "1".
      bound: Largest value that the stated target allows, None if the figure
        has no bound.
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
    """The figures of one run of one variant.

    Attributes:
      experiment: Name of the experiment.
      variant: What was varied, such as a policy or a fleet size.
      seed: Seed of the run.
      figures: What was measured.
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
    """Returns one line for each figure beyond its bound."""
    return tuple(
        f"{sample.experiment}/{sample.variant} seed {sample.seed}:"
        f" {figure.name} is {figure.value:g} {figure.unit},"
        f" bound {figure.bound:g}"
        for sample in samples
        for figure in sample.figures
        if not figure.is_met and figure.bound is not None
    )


def format_table(samples: Iterable[Sample]) -> str:
    """Returns the figures side by side: one row a figure, one column a variant.

    Several seeds of a variant are shown as `median [least..most]`.
    """
    held = tuple(samples)
    variants = _list_distinct(sample.variant for sample in held)
    names = _list_distinct(
        _label(figure) for sample in held for figure in sample.figures
    )
    rows = [["", *variants]]
    rows.extend(
        [name, *(_format_cell(_pick(held, v, name)) for v in variants)]
        for name in names
    )
    return _align(rows)


def compare(before: Iterable[Sample], after: Iterable[Sample]) -> str:
    """Returns how medians moved, and whether the spreads of the runs overlap.

    Args:
      before: Samples of the baseline.
      after: Samples of the change.

    Returns:
      One row for each variant and figure that both hold.
    """
    old, new = tuple(before), tuple(after)
    rows = [["variant", "figure", "before", "after", "change", "spread"]]
    for variant in _list_distinct(sample.variant for sample in new):
        for name in _list_distinct(
            _label(figure) for sample in new for figure in sample.figures
        ):
            first, second = _pick(old, variant, name), _pick(new, variant, name)
            if first and second:
                rows.append(_compare_row(variant, name, first, second))
    return _align(rows)


def _compare_row(
    variant: str, name: str, first: list[float], second: list[float]
) -> list[str]:
    was, now = statistics.median(first), statistics.median(second)
    change = f"{(now - was) / was:+.0%}" if was else "-"
    apart = max(first) < min(second) or max(second) < min(first)
    return [
        variant,
        name,
        _format_cell(first),
        _format_cell(second),
        change,
        "apart" if apart else "overlaps",
    ]


def _label(figure: Figure) -> str:
    bound = "" if figure.bound is None else f" (<= {figure.bound:g})"
    return f"{figure.name} [{figure.unit}]{bound}"


def _pick(samples: tuple[Sample, ...], variant: str, label: str) -> list[float]:
    return [
        figure.value
        for sample in samples
        if sample.variant == variant
        for figure in sample.figures
        if _label(figure) == label
    ]


def _format_cell(values: list[float]) -> str:
    if not values:
        return "-"
    middle = f"{statistics.median(values):.4g}"
    if len(values) == 1:
        return middle
    return f"{middle} [{min(values):.4g}..{max(values):.4g}]"


def _list_distinct(names: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(names))


def _align(rows: list[list[str]]) -> str:
    widths = [
        max(len(row[column]) for row in rows) for column in range(len(rows[0]))
    ]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
