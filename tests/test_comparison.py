"""Tests of the differences between two sets of services."""

import dataclasses

from lovagesaddle.core.configuration import comparison
from lovagesaddle.core.model import services
from tests import fixtures

ROUTE = services.Route(
    name="proofs",
    host="desk.example",
    path_prefix="/",
    methods=("GET",),
    timeout_s=1.0,
    retries=1,
    priority=services.Priority.NORMAL,
    idempotent=False,
    callers=(),
    services=("artwork",),
    max_body_bytes=0,
)
DESK = services.Service(
    name="desk", revision=1, callers=(), routes=(ROUTE,), depends_on=()
)


def test_equal_sets_have_no_difference() -> None:
    """Equal sets have no difference, whatever their order."""
    other = dataclasses.replace(DESK, name="artwork")
    assert comparison.compare_services((DESK, other), (other, DESK)) == ()


def test_each_difference_has_its_place() -> None:
    """Added, removed and changed places are listed in order of services."""
    route = dataclasses.replace(
        ROUTE,
        idempotent=True,
        callers=("salto",),
        priority=services.Priority.URGENT,
    )
    caller = services.Caller(name="salto", digests=("sha256:1",))
    new = dataclasses.replace(
        DESK, revision=2, callers=(caller,), routes=(route,)
    )
    gone = dataclasses.replace(DESK, name="old")
    found = comparison.compare_services((DESK, gone), (new,))
    assert [(c.kind.value, c.place, c.before, c.after) for c in found] == [
        ("changed", "service desk / revision", "1", "2"),
        ("added", "service desk / caller salto", "", ""),
        (
            "changed",
            "service desk / route proofs / priority",
            "normal",
            "urgent",
        ),
        ("changed", "service desk / route proofs / idempotent", "no", "yes"),
        ("changed", "service desk / route proofs / callers", "none", "salto"),
        ("removed", "service old", "", ""),
    ]


load_tests = fixtures.collect(__name__)
