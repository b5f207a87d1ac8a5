"""Draws curves of measured figures as PNG files."""

from collections.abc import Iterable
import dataclasses
import pathlib

import matplotlib as mpl
from matplotlib import axes as mpl_axes

mpl.use("Agg")

import matplotlib.pyplot as plt

SIZE_INCHES = (7.0, 4.2)
DOTS_PER_INCH = 110


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Curve:
    """A curve of a plot.

    Attributes:
      label: Shown in the legend.
      points: (x, y) pairs in ascending order of x.
    """

    label: str
    points: tuple[tuple[float, float], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plot:
    """A plot with its axes.

    Attributes:
      title: Shown above the plot.
      x_label: Name and unit of the x axis.
      y_label: Name and unit of the y axis.
      bound: Drawn as a dashed horizontal line if not None.
      logarithmic: Whether the y axis is logarithmic.
      curves: Curves to draw.
    """

    title: str
    x_label: str
    y_label: str
    curves: tuple[Curve, ...]
    bound: float | None = None
    logarithmic: bool = False


def draw(plot: Plot, path: pathlib.Path) -> None:
    """Writes the plot as a PNG file, replacing it."""
    figure, axes = plt.subplots(figsize=SIZE_INCHES)
    for curve in plot.curves:
        _draw_curve(axes, curve.label, curve.points)
    if plot.bound is not None:
        axes.axhline(plot.bound, linestyle="--", color="grey", label="target")
    if plot.logarithmic:
        axes.set_yscale("log")
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    plt.close(figure)


def _draw_curve(
    axes: mpl_axes.Axes, label: str, points: Iterable[tuple[float, float]]
) -> None:
    pairs = tuple(points)
    axes.plot(
        [x for x, _ in pairs], [y for _, y in pairs], marker="o", label=label
    )
