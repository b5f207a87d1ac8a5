"""Tests of the rate limits on log lines about requests."""

import io
import time

from lovagesaddle.observability import logs
from lovagesaddle.observability import sampling
from lovagesaddle.settings import schema
from tests import fixtures

LINES = 50


def test_lines_past_the_rate_are_counted() -> None:
    """A burst writes the lines of one second and counts the others."""
    sampler = sampling.Sampler(10)
    started = time.monotonic()
    allowed = sum(sampler.allow() for _ in range(LINES))
    most = 10 + (time.monotonic() - started) * 10 + 1
    assert 10 <= allowed <= most
    assert sampler.pop_omitted() == LINES - allowed
    assert sampler.pop_omitted() == 0


def test_no_rate_is_no_bound() -> None:
    """Without a rate limit every line is written."""
    sampler = sampling.Sampler(0)
    assert all(sampler.allow() for _ in range(LINES))
    assert sampler.pop_omitted() == 0


def test_number_left_out_is_logged() -> None:
    """The log reports how many lines of each kind were omitted."""
    stream = io.StringIO()
    settings = schema.LogSettings(served_lines=1, failed_lines=1)
    with logs.LogWriter(stream, settings, owned=False):
        for _ in range(LINES):
            logs.allows_request_line(failed=False)
        logs.allows_request_line(failed=True)
    (line,) = stream.getvalue().splitlines()
    assert "event=lines_left_out" in line
    assert "failed=0" in line
    assert "served=0" not in line


load_tests = fixtures.collect(__name__)
