"""Tests of routes that split their requests among services."""

import collections
import dataclasses

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import traffic_split
from tests import fixtures
from tests import routing_mesh

REQUESTS = 200


def _make(*weights: int) -> services.Route:
    parts = tuple(
        services.SplitPart(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    )
    return dataclasses.replace(routing_mesh.make_route(), split=parts)


def test_shares_hold_over_a_short_run() -> None:
    """Each service gets its share within any 20 requests."""
    splitter = traffic_split.TrafficSplitter()
    route = _make(90, 10, 0)
    chosen = [splitter.choose("desk", route) for _ in range(REQUESTS)]
    counts = collections.Counter(chosen)
    assert counts == {"s0": 180, "s1": 20}
    for start in range(0, REQUESTS, 20):
        assert chosen[start : start + 20].count("s1") == 2


def test_changed_weights_take_effect_at_once() -> None:
    """A changed split of the same route starts from the beginning."""
    splitter = traffic_split.TrafficSplitter()
    assert splitter.choose("desk", _make(1, 0)) == "s0"
    assert splitter.choose("desk", _make(0, 1)) == "s1"
    assert splitter.choose("desk", routing_mesh.make_route()) == "desk"


load_tests = fixtures.collect(__name__)
