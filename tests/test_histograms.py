"""Tests of the HdrHistogram logs of measurements."""

import pathlib
import tempfile

from bench import histograms
from bench import load

from tests import fixtures


def _make_call(second: float, ms: float, status: int = 200) -> load.CallRecord:
    return load.CallRecord(
        request_id="r",
        kind="k",
        direct=False,
        idempotent=True,
        due_at=second,
        ms=ms,
        late_ms=0.0,
        status=status,
        outcome="",
    )


def test_log_keeps_the_latencies_of_answered_calls() -> None:
    """The log has each answered call in its second, and no other call."""
    calls = [_make_call(100 + n / 100, float(n + 1)) for n in range(300)]
    calls.append(_make_call(100.0, 9_000.0, status=0))
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "new" / "calls.hlog"
        histograms.write_log(path, calls)
        total = histograms.read_log(path)
        intervals = [
            line
            for line in path.read_text(encoding="utf-8").splitlines()
            if line[:1].isdigit()
        ]
    assert len(intervals) == 3
    assert total.get_total_count() == 300
    assert abs(total.get_value_at_percentile(50) - 150_000) < 300


load_tests = fixtures.collect(__name__)
