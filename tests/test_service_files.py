"""Tests of service files, individually and as a set."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from lovagesaddle.core.configuration import service_files
from lovagesaddle.core.configuration import service_sets
from lovagesaddle.core.model import services
from tests import fixtures

DIGEST = "sha256:" + "0a" * 32
OTHER = "sha256:" + "0b" * 32
DESK = f"""\
[service]
name = orderdesk
revision = 4
depends-on = artwork

[caller salto]
digests = {DIGEST}
  {OTHER}

[route confirm]
host = desk.example
path = /confirmations
methods = POST
timeout = 1500ms
priority = urgent
callers = salto
max-body = 64KB
"""
ARTWORK = """\
[service]
name = artwork
revision = 1

[route layouts]
host = artwork.example
idempotent = yes
services = orderdesk
"""


def test_service_file_is_read_whole() -> None:
    """The service has the value or default of every key of its file."""
    (artwork, desk) = _check(ARTWORK, DESK).unwrap()
    assert desk.callers == (
        services.Caller(name="salto", digests=(DIGEST, OTHER)),
    )
    (route,) = desk.routes
    assert route.timeout_s == 1.5
    assert route.max_body_bytes == 64 * 1024
    assert route.priority is services.Priority.URGENT
    assert not route.idempotent
    (layouts,) = artwork.routes
    assert layouts.idempotent and layouts.methods == ("GET",)
    assert layouts.path_prefix == "/" and layouts.timeout_s == 5.0


def test_all_problems_of_one_file_are_located() -> None:
    """Each invalid value is reported with its line, section and key."""
    text = (
        DESK.replace("revision = 4", "revision = four")
        .replace("timeout = 1500ms", "timeout = 0s")
        .replace("methods = POST", "methods = POKE")
        .replace("path = /confirmations", "path = /a/../b")
        .replace("callers = salto", "callers = paysandu\ncolour = red")
    )
    assert _list_places(text, ARTWORK) == [
        "0.service.ini:3: service/revision",
        "0.service.ini:12: route confirm/path",
        "0.service.ini:13: route confirm/methods",
        "0.service.ini:14: route confirm/timeout",
        "0.service.ini:16: route confirm/callers",
        "0.service.ini:17: route confirm/colour",
    ]


def test_invalid_value_hides_no_other_problem_of_its_section() -> None:
    """The other keys of a section are checked when one is invalid."""
    text = """\
[service]
name = Order Desk
revision = x
speed = 3

[route a]
path = proofs
methods = FETCH
timeout = 2 parsecs
callers = nobody
"""
    assert _list_places(text) == [
        "0.service.ini:2: service/name",
        "0.service.ini:3: service/revision",
        "0.service.ini:4: service/speed",
        "0.service.ini:6: route a/host",
        "0.service.ini:7: route a/path",
        "0.service.ini:8: route a/methods",
        "0.service.ini:9: route a/timeout",
        "0.service.ini:10: route a/callers",
    ]


def test_route_that_nobody_may_use_is_refused() -> None:
    """A route without callers and services is reported."""
    text = DESK.replace("callers = salto\n", "")
    assert _list_places(text, ARTWORK) == [
        "0.service.ini:10: route confirm/callers"
    ]


def test_credentials_are_digests_of_one_caller() -> None:
    """A plain token, a third digest and another caller's digest are refused."""
    plain = DESK.replace(DIGEST, "secret-token")
    third = DESK.replace(OTHER, f"{OTHER} sha256:{'0c' * 32}")
    shared = DESK + f"[caller melo]\ndigests = {DIGEST}\n"
    for text in (plain, third, shared):
        (place,) = _list_places(text, ARTWORK)
        assert place.endswith("/digests"), place


def test_reference_to_an_absent_service_is_located() -> None:
    """A reference to a service without a file is reported.

    The references are in depends-on of a service and services of a route.
    """
    assert _list_places(DESK) == ["0.service.ini:4: service/depends-on"]
    assert _list_places(ARTWORK) == ["0.service.ini:8: route layouts/services"]


def test_duplicate_service_name_is_refused() -> None:
    """When two files have the same service name, the second is reported."""
    assert _list_places(ARTWORK, DESK, DESK.replace("desk.ex", "d.ex")) == [
        "2.service.ini:2: service/name"
    ]


def test_routes_that_match_the_same_requests_are_refused() -> None:
    """Two routes with the same host, path and method are reported."""
    second = DESK + (
        "[route again]\nhost = desk.example\npath = /confirmations\n"
        "methods = GET POST\ncallers = salto\n"
    )
    assert _list_places(second, ARTWORK) == [
        "0.service.ini:20: route again/path"
    ]
    disjoint = second.replace("GET POST", "GET")
    assert _list_places(disjoint, ARTWORK) == []


def test_syntax_errors_hide_no_other_problems() -> None:
    """Duplicates and malformed lines are reported as well as bad values."""
    text = DESK.replace("revision = 4", "revision = -1\nrevision = 4\nodd")
    text += "[service]\nname = again\n[what]\n"
    assert _list_places(text, ARTWORK) == [
        "0.service.ini:3: service/revision",
        "0.service.ini:4: service/revision",
        "0.service.ini:5: service/",
        "0.service.ini:20: service/",
        "0.service.ini:22: what/",
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    strategies.lists(
        strategies.sampled_from(
            [*DESK.splitlines(), "[", "]", "x", "=", " = 1", "[route]", "%("]
        ),
        max_size=12,
    )
)
def test_any_text_is_read_or_refused(lines: list[str]) -> None:
    """For any text, the parser returns a service or located problems."""
    parsed = service_files.parse_service_file("\n".join(lines), file="f")
    assert (parsed.service is None) == bool(parsed.problems)
    assert all(0 <= p.line <= len(lines) for p in parsed.problems)


def _check(*texts: str) -> service_sets.CheckResult:
    return service_sets.check_files(
        service_sets.SourceFile(file=f"{i}{service_files.SUFFIX}", text=text)
        for i, text in enumerate(texts)
    )


def _list_places(*texts: str) -> list[str]:
    problems = _check(*texts).swap().value_or(())
    return [f"{p.file}:{p.line}: {p.section}/{p.key}" for p in problems]


load_tests = fixtures.collect(__name__)
