"""Tests of how a node reports requests that no route matches."""

import io

from lovagesaddle.observability import logs
from lovagesaddle.settings import schema
from tests import fixtures
from tests import nodes


def test_missed_route_names_the_version_that_lacks_it() -> None:
    """A 404 is logged with the version of the node's table, and counted."""
    stream = io.StringIO()
    with (
        logs.LogWriter(stream, schema.LogSettings(), owned=False),
        nodes.Mesh(nodes.make_service()) as mesh,
    ):
        node = mesh.start("n0")
        mesh.control.change(publication=7)
        version = mesh.control.snapshot.version
        reply = nodes.send(node.http_address, path="/x", Host="no.example")
        rendered = node.metrics.render()
    assert reply.status == 404
    (line,) = [
        each
        for each in stream.getvalue().splitlines()
        if "event=route_missed" in each
    ]
    expected = (
        "host=no.example path=/x status=404 reason=unknown-host "
        f"version={version} publication=7"
    )
    assert expected in line, line
    # The fake control proves each version to stay the newest.
    assert "age_ms=-" in line, line
    assert "table_age_seconds -" in rendered, rendered
    assert 'route_misses_total{reason="unknown-host"} 1' in rendered, rendered


load_tests = fixtures.collect(__name__)
