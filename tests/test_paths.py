"""Tests of the normal form of paths, for routes and requests alike."""

import dataclasses

import hypothesis
from hypothesis import strategies

from lovagesaddle.core.model import paths
from lovagesaddle.core.routing import table as table_lib
from tests import fixtures
from tests import routing_mesh

# Bytes of a letter, of a letter in UTF-8 and in Latin-1, and of characters that
# must or may be encoded. An encoded slash separates no segments.
SEGMENTS = (b"a", b"A", b"a%", "\u00f1".encode(), b"\xf1", b" ", b"x/y", b"~:")
MAX_SEGMENTS = 3


def _spell(segment: bytes, choices: list[int]) -> str:
    """Returns a spelling of a segment: as it is or encoded, byte by byte."""
    text = ""
    for position, byte in enumerate(segment):
        choice = choices[position % len(choices)]
        if choice == 0 and byte in paths.SEGMENT_BYTES:
            text += chr(byte)
        else:
            text += f"%{byte:02X}" if choice % 2 else f"%{byte:02x}"
    return text


_SPELLED = strategies.tuples(
    strategies.lists(
        strategies.sampled_from(SEGMENTS), max_size=MAX_SEGMENTS
    ).map(tuple),
    strategies.lists(strategies.integers(0, 2), min_size=1, max_size=5),
).map(
    lambda drawn: (
        drawn[0],
        "/" + "".join(f"{_spell(each, drawn[1])}/" for each in drawn[0]),
    )
)


def _compile(prefixes: dict[tuple[bytes, ...], str]) -> table_lib.Table:
    routes = [
        dataclasses.replace(
            routing_mesh.make_route(f"r{number}", path=prefix, methods=()),
            is_open=True,
        )
        for number, prefix in enumerate(prefixes.values())
    ]
    return table_lib.Table(routing_mesh.make_snapshot(*routes))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(_SPELLED, min_size=1, max_size=6),
    _SPELLED,
)
def test_longest_prefix_is_chosen_whatever_the_spelling(
    drawn: list[tuple[tuple[bytes, ...], str]],
    requested: tuple[tuple[bytes, ...], str],
) -> None:
    """A prefix with an encoded letter was not found.

    Requests below it ran at the service of a shorter prefix.
    """
    prefixes = dict(drawn)
    compiled = _compile(prefixes)
    segments, path = requested
    matching = [
        (len(prefix), number)
        for number, prefix in enumerate(prefixes)
        if segments[: len(prefix)] == prefix
    ]
    found = compiled.match(
        host=routing_mesh.HOST, path=path + "7", method="GET"
    )
    if not matching:
        assert isinstance(found, table_lib.Miss), (prefixes, path)
        return
    assert isinstance(found, table_lib.Match), (prefixes, path)
    assert found.route.name == f"r{max(matching)[1]}", (prefixes, path)


def test_spellings_of_one_path_have_one_form() -> None:
    """Only the encoding of a byte may differ, and an encoded slash stays."""
    for spellings in (
        ("/a/", "/%61/"),
        ("/a%C3%B1o/", "/%61%c3%b1o/"),
        ("/a%2Fb/", "/a%2fb/"),
        ("/%FF/", "/%ff/"),
    ):
        forms = {paths.normalise_path(each) for each in spellings}
        assert len(forms) == 1, forms
    assert paths.normalise_prefix("/a\u00f1o/") == "/a%C3%B1o/"
    assert paths.normalise_path("/\xff/") == "/%FF/"
    for first, second in (
        ("/a/b/", "/a%2Fb/"),
        ("/A/", "/a/"),
        ("/%FE/", "/%FF/"),
        ("/a/../b/", "/b/"),
        ("/a//b/", "/a/b/"),
        ("/%2541/", "/A/"),
    ):
        assert paths.normalise_path(first) != paths.normalise_path(second)


def test_encoded_prefix_keeps_its_callers() -> None:
    """A path in another spelling doesn't reach a route with other callers."""
    routes = (
        routing_mesh.make_route("all", path="/", methods=("GET",)),
        routing_mesh.make_route("own", path="/a%C3%B1o/", methods=("GET",)),
    )
    compiled = table_lib.Table(routing_mesh.make_snapshot(*routes))
    for path in ("/a%C3%B1o/7", "/a%c3%b1o/7", "/%61%c3%B1%6F/7"):
        found = compiled.match(host=routing_mesh.HOST, path=path, method="GET")
        assert isinstance(found, table_lib.Match), path
        assert found.route.name == "own", path


load_tests = fixtures.collect(__name__)
