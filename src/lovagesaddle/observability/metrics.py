"""Counters, gauges and latencies of a process, rendered for /metrics.

The text follows the Prometheus exposition format, version 0.0.4.
"""

from collections.abc import Callable, Mapping
import threading
from typing import Literal

from lovagesaddle.observability import latencies

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
Kind = Literal["counter", "gauge"]
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class Counter:
    """Holds a value that only increases; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value = 0

    def add(self, amount: int = 1) -> None:
        """Increases the counter by `amount`."""
        with self._lock:
            self._value += amount

    @property
    def value(self) -> int:
        """The current value."""
        return self._value


class Metrics:
    """Holds all metrics of a process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._help: dict[str, str] = {}
        self._counters: dict[str, dict[str, Counter]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._kinds: dict[str, Kind] = {}
        self._latencies: dict[str, latencies.LatencyRecorder] = {}

    def get_counter(
        self,
        name: str,
        help_text: str = "",
        *,
        labels: Mapping[str, str] | None = None,
    ) -> Counter:
        """Returns the counter of a name and labels, created at first use.

        Args:
          name: Metric name; ends in `_total` by convention.
          help_text: Help line for /metrics.
          labels: Label to value; a label may have few values only, since a
            counter is never removed.
        """
        rendered = _render_labels(labels or {})
        with self._lock:
            self._help.setdefault(name, help_text)
            family = self._counters.setdefault(name, {})
            return family.setdefault(rendered, Counter())

    def set_gauge(
        self,
        name: str,
        help_text: str,
        read: Callable[[], float],
        *,
        kind: Kind = "gauge",
    ) -> None:
        """Registers a value that is read each time the metrics are rendered.

        Args:
          name: Metric name.
          help_text: Help line for /metrics.
          read: Returns the value; called on the thread that renders.
          kind: "counter" for a value that only increases.
        """
        with self._lock:
            self._kinds[name] = kind
            self._help[name] = help_text
            self._gauges[name] = read

    def get_latency(
        self, name: str, help_text: str = ""
    ) -> latencies.LatencyRecorder:
        """Returns the latency recorder of a name, created at first use."""
        with self._lock:
            recorder = self._latencies.get(name)
            if recorder is None:
                recorder = latencies.LatencyRecorder(name, help_text)
                self._latencies[name] = recorder
            return recorder

    def render(self) -> str:
        """Returns all metrics in the exposition format."""
        with self._lock:
            counters = {k: dict(v) for k, v in self._counters.items()}
            gauges = dict(self._gauges)
            recorders = dict(self._latencies)
        lines: list[str] = []
        for name in sorted(counters):
            lines += self._render_header(name, "counter")
            lines += [
                f"{name}{labels} {counter.value}"
                for labels, counter in sorted(counters[name].items())
            ]
        for name in sorted(gauges):
            lines += self._render_header(name, self._kinds[name])
            lines.append(f"{name} {gauges[name]():.15g}")
        for name in sorted(recorders):
            lines += _render_latency(recorders[name])
        return "\n".join(lines) + "\n"

    def _render_header(self, name: str, kind: str) -> list[str]:
        text = self._help.get(name, "")
        return [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]


def _render_latency(recorder: latencies.LatencyRecorder) -> list[str]:
    name = recorder.name
    lines = [f"# HELP {name} {recorder.help_text}", f"# TYPE {name} summary"]
    for quantile in QUANTILES:
        value = recorder.compute_percentile(quantile * 100)
        lines.append(f'{name}{{quantile="{quantile:g}"}} {value:.6f}')
    lines.append(f"{name}_sum {recorder.total_s:.6f}")
    lines.append(f"{name}_count {recorder.count}")
    return lines


def _render_labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = ",".join(
        f'{key}="{_escape(value)}"' for key, value in sorted(labels.items())
    )
    return f"{{{pairs}}}"


def _escape(value: str) -> str:
    backslashed = value.replace("\\", "\\\\").replace('"', '\\"')
    return backslashed.replace("\n", "\\n")
