"""Tests of logs, counters and latencies."""

import io
import pathlib
import tempfile

from bench import processes

from lovagesaddle.observability import latencies
from lovagesaddle.observability import logs
from lovagesaddle.observability import metrics
from lovagesaddle.settings import schema
from tests import fixtures


def test_event_is_one_line_of_pairs() -> None:
    """An event is one key=value line, also with a line break in a value."""
    stream = io.StringIO()
    with logs.LogWriter(stream, schema.LogSettings(level="info"), owned=False):
        log = logs.get_logger("proxy")
        log.info(
            "server_picked",
            candidates=("n1/desk", "n2/desk"),
            reason="own domain\nfirst",
            ok=True,
        )
    line = stream.getvalue()
    assert line.count("\n") == 1, line
    stamp, _, rest = line.partition(" ")
    assert stamp.startswith("ts=") and rest == (
        "level=info event=server_picked part=proxy"
        ' candidates=n1/desk,n2/desk reason="own domain\\nfirst" ok=yes\n'
    ), line


def test_lines_under_the_level_are_left_out() -> None:
    """An event below the level of the settings is not written."""
    stream = io.StringIO()
    with logs.LogWriter(
        stream, schema.LogSettings(level="warning"), owned=False
    ):
        logs.get_logger("x").info("quiet")
        logs.get_logger("x").warning("loud")
    assert "quiet" not in stream.getvalue()
    assert "loud" in stream.getvalue()


def test_logger_from_before_the_log_was_opened_works() -> None:
    """A logger writes to the log that is open, with its level."""
    log = logs.get_logger("x")
    log.error("early")
    first, second = io.StringIO(), io.StringIO()
    with logs.LogWriter(first, schema.LogSettings(level="info"), owned=False):
        log.debug("quiet")
        log.info("one")
    with logs.LogWriter(second, schema.LogSettings(level="debug"), owned=False):
        log.debug("two")
    assert [
        text.count("event=") for text in (first.getvalue(), second.getvalue())
    ] == [1, 1]
    assert "event=one" in first.getvalue()
    assert "event=two" in second.getvalue()


def test_closed_log_drops_events() -> None:
    """Logging after the log was closed neither fails nor writes a line."""
    stream = io.StringIO()
    with logs.LogWriter(stream, schema.LogSettings(level="info"), owned=False):
        log = logs.get_logger("x")
    log.info("late")
    logs.get_logger("x").info("late")
    assert stream.getvalue() == ""


def test_signal_handler_that_logs_does_not_stop_its_thread() -> None:
    """A signal handler may log while the interrupted thread is logging.

    A lock that is not reentrant would deadlock here.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Process(
            "tests.log_program", log=pathlib.Path(folder) / "log"
        ) as process,
    ):
        assert process.read_line() == ["done"]


def test_metrics_are_rendered_in_order() -> None:
    """Counters, gauges and latencies are rendered as exposition text."""
    registry = metrics.Metrics()
    registry.get_counter("calls_total", "Calls.", labels={"o": 'a"b'}).add(2)
    registry.get_counter("calls_total", "Calls.", labels={"o": 'a"b'}).add()
    registry.set_gauge("version", "Version held.", lambda: 7)
    registry.set_gauge("b_total", "Bytes.", lambda: 12345678, kind="counter")
    recorder = registry.get_latency("call_seconds", "Whole call.")
    for millisecond in range(1, 101):
        recorder.record(millisecond / 1000)
    text = registry.render()
    assert 'calls_total{o="a\\"b"} 3\n' in text
    assert "# TYPE version gauge\nversion 7\n" in text
    assert "# TYPE b_total counter\nb_total 12345678\n" in text
    assert "call_seconds_count 100\n" in text
    assert 'call_seconds{quantile="0.5"} 0.05' in text, text


def test_percentiles_survive_encoding() -> None:
    """Merging an encoded recorder restores its percentiles."""
    one = latencies.LatencyRecorder("a", "")
    for millisecond in range(1, 1001):
        one.record(millisecond / 1000)
    other = latencies.LatencyRecorder("b", "")
    other.merge(one.encode())
    assert other.compute_percentile(99) == one.compute_percentile(99)
    assert abs(one.compute_percentile(99) - 0.99) < 0.002


load_tests = fixtures.collect(__name__)
