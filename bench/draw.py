"""Draws the main plots from results: `python -m bench.draw`.

Reads the JSON lines of `bench.distribution` and of the experiment
`load-curve`, and writes PNG files below docs/plots. A plot whose results are
missing is reported and left out.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
import statistics

from bench import plots
from bench import results

FOLDER = pathlib.Path("docs") / "plots"
DISTRIBUTION = "distribution.jsonl"
LOAD_CURVE = "load-curve.jsonl"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlotSource:
    """A plot and the results that it is drawn from.

    Attributes:
      file: Name of the PNG file to write.
      source: Name of the results file.
      title: Shown above the plot.
      x_label: Name and unit of the x axis.
      figure: Name of the figure on the y axis.
      y_label: Name and unit of the y axis.
      bound: Bound that the target states, or None.
      logarithmic: Whether the y axis is logarithmic.
    """

    file: str
    source: str
    title: str
    x_label: str
    figure: str
    y_label: str
    bound: float | None = None
    logarithmic: bool = False


PLOT_SOURCES = (
    PlotSource(
        file="convergence.png",
        source=DISTRIBUTION,
        title="Commit to in force on every node",
        x_label="nodes",
        figure="in force everywhere max",
        y_label="slowest change [s]",
        bound=4.0,
        logarithmic=True,
    ),
    PlotSource(
        file="leader-bytes.png",
        source=DISTRIBUTION,
        title="Bytes of the leader for one change",
        x_label="nodes",
        figure="change: leader bytes",
        y_label="bytes",
        logarithmic=True,
    ),
    PlotSource(
        file="idle-bytes.png",
        source=DISTRIBUTION,
        title="Control bytes of a node without changes",
        x_label="nodes",
        figure="idle bytes for each node",
        y_label="bytes a second",
        bound=10_000.0,
        logarithmic=True,
    ),
    PlotSource(
        file="goodput.png",
        source=LOAD_CURVE,
        title="Goodput against load, 260 calls/s of slots",
        x_label="calls offered a second",
        figure="goodput",
        y_label="answered in time a second",
    ),
    PlotSource(
        file="latency.png",
        source=LOAD_CURVE,
        title="Slowest 1 % of the calls against load",
        x_label="calls offered a second",
        figure="call p99",
        y_label="p99 [ms]",
        logarithmic=True,
    ),
)


def make_curves(
    samples: Iterable[results.Sample], figure: str
) -> tuple[plots.Curve, ...]:
    """Returns a curve for each method or policy, of medians over the runs.

    Args:
      samples: Samples whose variants are named `<label> <x> ...`.
      figure: Name of the figure on the y axis.
    """
    values: dict[str, dict[float, list[float]]] = {}
    for sample in samples:
        label, x = sample.variant.split()[:2]
        for measured in sample.figures:
            if measured.name == figure:
                points = values.setdefault(label, {})
                points.setdefault(float(x), []).append(measured.value)
    return tuple(
        plots.Curve(
            label=label,
            points=tuple(
                (x, statistics.median(points[x])) for x in sorted(points)
            ),
        )
        for label, points in values.items()
    )


def main() -> int:
    """Writes every plot whose results exist; returns 1 if any are missing."""
    missing = 0
    for plot_source in PLOT_SOURCES:
        path = results.RESULTS_FOLDER / plot_source.source
        if not path.exists():
            print(f"left out {plot_source.file}: {path} does not exist")
            missing += 1
            continue
        plot = plots.Plot(
            title=plot_source.title,
            x_label=plot_source.x_label,
            y_label=plot_source.y_label,
            curves=make_curves(results.read_samples(path), plot_source.figure),
            bound=plot_source.bound,
            logarithmic=plot_source.logarithmic,
        )
        plots.draw(plot, FOLDER / plot_source.file)
        print(f"drew {FOLDER / plot_source.file}")
    return 1 if missing else 0


if __name__ == "__main__":
    raise SystemExit(main())
