"""Tests of converting the platform's documents into publications."""

import copy
import json
from typing import Any

import msgspec

from lovagesaddle.control import state_images
from lovagesaddle.core.configuration import command_codec
from lovagesaddle.core.configuration import publication_edits
from lovagesaddle.core.configuration import state as state_lib
from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.platform import documents
from tests import fixtures

BASE = "00000005"


def _make() -> dict[str, Any]:
    return {
        "Version": "00000007",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Listeners": [
            {
                "Host": "desk.example",
                "RouteRules": [
                    {
                        "Name": "confirm",
                        "RouteKind": "non_idempotent",
                        "TargetLatencyMs": 250,
                        "Priority": 1,
                        "Match": {"PathPrefix": "/orders/"},
                        "Action": {
                            "Service": "desk",
                            "TimeoutMs": 600,
                            "Attempts": 2,
                        },
                    },
                    {
                        "Name": "proofs",
                        "RouteKind": "idempotent",
                        "TargetLatencyMs": 200,
                        "Priority": 4,
                        "Match": {"PathPrefix": "/proofs/"},
                        "Action": {
                            "WeightedSplit": [
                                {"Service": "desk", "Weight": 90},
                                {"Service": "art", "Weight": 10},
                            ],
                            "TimeoutMs": 500,
                            "Attempts": 3,
                        },
                    },
                ],
            }
        ],
        "Clusters": [
            {"Name": "desk", "HealthPath": "/health", "Tls": False},
            {"Name": "art", "HealthPath": "/health", "Protocol": "h1"},
        ],
    }


def _parse(document: Any, base: str = BASE) -> commands.PublishServices:
    return documents.parse_publication(json.dumps(document).encode(), base)


def test_document_becomes_a_publication() -> None:
    """Routes, splits, priorities and limits are converted."""
    command = _parse(_make())
    assert command.document is not None
    assert (command.document.serial, command.document.base_serial) == (7, 5)
    assert command.limits == services.CallerLimits(
        max_header_bytes=16384,
        max_body_bytes=67108864,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    )
    art, desk = command.services
    assert (art.name, art.routes, desk.health_path) == ("art", (), "/health")
    confirm, proofs = desk.routes
    assert (confirm.idempotent, confirm.retries, confirm.priority) == (
        False,
        1,
        1,
    )
    assert (confirm.timeout_s, confirm.target_latency_s) == (0.6, 0.25)
    assert (proofs.idempotent, proofs.retries, proofs.methods) == (True, 2, ())
    assert [(p.service, p.weight) for p in proofs.split] == [
        ("desk", 90),
        ("art", 10),
    ]
    assert proofs.is_open


def test_upload_may_run_once_only() -> None:
    """Routes of uploads are not idempotent."""
    document = _make()
    rule = document["Listeners"][0]["RouteRules"][1]
    rule["RouteKind"] = "upload"
    assert not any(
        route.idempotent for route in _parse(document).services[1].routes
    )


def test_kind_that_is_not_specified_is_refused() -> None:
    """Only the specified kinds are valid; no other one is guessed.

    A route whose kind was taken for idempotent ran its requests twice.
    """
    for position in (0, 1):
        path = ("Listeners", 0, "RouteRules", position, "RouteKind")
        for kind in ("idempotent", "non_idempotent", "upload"):
            document = _make()
            _set(document, path, kind)
            assert not _find_cause(json.dumps(document).encode()), kind
            assert _parse(document).kinds is msgspec.UNSET
        for other in ("downloads", "stream", "Idempotent", " upload", "", None):
            document = _make()
            _set(document, path, other)
            cause = _find_cause(json.dumps(document).encode())
            assert f"RouteRules[{position}].RouteKind" in cause, other


def _make_download(version: str) -> dict[str, Any]:
    document = _make()
    document["Version"] = version
    _set(document, ("Listeners", 0, "RouteRules", 1, "RouteKind"), "download")
    return document


def _apply(
    state: state_lib.State, command: commands.Command
) -> tuple[state_lib.State, commands.PublishResult | None]:
    """Applies a command as replicas do: as its log entry, and in an image."""
    stored = publication_edits.to_stored_command(state, command)
    read = command_codec.decode(command_codec.encode(stored), peer="log")
    applied = state_lib.apply_command(
        state,
        state.snapshot.version + 1,
        publication_edits.from_stored_command(state, read),
    )
    image = state_images.encode_state(applied.state)
    return state_images.decode_state(image), applied.result


def test_later_document_may_not_bring_a_kind() -> None:
    """A deployment has the kinds of its first document and no others.

    Acknowledged, the later one would let requests run twice that nobody had
    declared repeatable.
    """
    state, _ = _apply(state_lib.make_initial_state(), _parse(_make(), ""))
    assert state.kinds is msgspec.UNSET
    later = _parse(_make_download("00000009"), "00000007")
    state, refused = _apply(state, later)
    assert refused is not None
    assert refused.outcome is commands.PublishOutcome.REJECTED
    assert "$.Listeners[0].RouteRules[1].RouteKind" in refused.causes[0]
    assert state.serial == 7
    # An operator adds the kind; the same order is accepted from then on.
    state, _ = _apply(state, commands.AddKind(kind="download"))
    state, accepted = _apply(state, later)
    assert accepted is not None
    assert accepted.outcome is commands.PublishOutcome.ACCEPTED
    assert state.kinds == ("download",)


def test_first_document_tells_the_kinds() -> None:
    """Its routes are idempotent with large answers; a resend is accepted."""
    first = _parse(_make_download("00000007"), "")
    state, told = _apply(state_lib.make_initial_state(), first)
    assert told is not None and state.kinds == ("download",)
    proofs = state.snapshot.services[1].routes[1]
    assert proofs.idempotent and proofs.has_large_answers is True
    # The kind stays while no document uses it.
    plain = _make()
    plain["Version"] = "00000008"
    state, _ = _apply(state, _parse(plain, "00000007"))
    state, again = _apply(state, first)
    assert again == told
    state, back = _apply(state, _parse(_make_download("00000009"), "00000008"))
    assert back is not None
    assert back.outcome is commands.PublishOutcome.ACCEPTED


def test_number_with_other_characters_than_digits_is_refused() -> None:
    """Signs, spaces, separators and prefixes are no hexadecimal digits."""
    for text in ("-7", "+7", " 7", "7 ", "0x7", "1_0", "\u0667", "7\n"):
        document = _make()
        _set(document, ("Version",), text)
        assert "hexadecimal" in _find_cause(json.dumps(document).encode()), text
        try:
            _parse(_make(), text)
        except documents.DocumentError as error:
            assert "hexadecimal" in error.cause
        else:
            raise AssertionError(f"the base {text!r} was accepted")


def test_changed_limits_leave_every_route_as_it_is() -> None:
    """A change of the limits leaves the services equal.

    An update for other limits therefore doesn't carry the routes.
    """
    document = _make()
    before = _parse(document)
    document["Limits"]["MaxBodyBytes"] *= 2
    after = _parse(document)
    assert after.limits != before.limits
    assert after.services == before.services


def test_duplicate_rule_of_a_host_is_refused() -> None:
    """Not even two listeners of one host may hold it.

    Digests need unique names.
    """
    document = _make()
    listener = document["Listeners"][0]
    document["Listeners"].append(
        {"Host": listener["Host"], "RouteRules": listener["RouteRules"][:1]}
    )
    try:
        _parse(document)
    except documents.DocumentError as error:
        assert "confirm" in error.cause
    else:
        raise AssertionError("the document was accepted")


def test_second_spelling_of_a_prefix_is_refused() -> None:
    """Both would take the same requests; the error has the prefix."""
    document = _make()
    rules = document["Listeners"][0]["RouteRules"]
    rules[0]["Match"]["PathPrefix"] = "/a%C3%B1o/"
    rules[1]["Match"]["PathPrefix"] = "/%61%c3%b1o/"
    assert "not unique: /a%C3%B1o/" in _find_cause(
        json.dumps(document).encode()
    )


def test_every_invalid_document_is_refused() -> None:
    """Each invalid field gives an error that names the cause."""
    rule = ("Listeners", 0, "RouteRules", 1)
    cases: list[tuple[tuple[str | int, ...], Any, str]] = [
        ((*rule, "Action"), {"Service": "gone", "TimeoutMs": 5}, "gone"),
        ((*rule, "Action", "WeightedSplit", 1, "Service"), "gone", "gone"),
        ((*rule, "Action", "WeightedSplit", 0, "Weight"), -1, ">= 0"),
        ((*rule, "Action", "TimeoutMs"), 0, "> 0"),
        ((*rule, "Action", "Service"), "desk", "one of"),
        ((*rule, "Match", "PathPrefix"), "proofs/", "regex"),
        ((*rule, "RouteKind"), "sometimes", "sometimes"),
        (("Version",), "later", "hexadecimal"),
        (("Version",), "1" * 9, "digits"),
        (("Clusters",), None, "array"),
        (("Limits",), {}, "missing"),
    ]
    for path, value, expected in cases:
        document = _make()
        _set(document, path, value)
        assert expected in _find_cause(json.dumps(document).encode()), path
    weightless = _make()
    for part in (0, 1):
        _set(weightless, (*rule, "Action", "WeightedSplit", part, "Weight"), 0)
    assert "add up to 0" in _find_cause(json.dumps(weightless).encode())


def test_document_that_is_cut_short_is_refused() -> None:
    """A truncated document is refused as a whole."""
    whole = json.dumps(_make()).encode()
    for size in (0, 1, len(whole) // 2, len(whole) - 1):
        assert _find_cause(whole[:size])


def test_malformed_base_is_refused() -> None:
    """A base that is not a number gives an error."""
    try:
        _parse(_make(), "latest")
    except documents.DocumentError as error:
        assert "latest" in error.cause
    else:
        raise AssertionError("the base was accepted")


def test_order_that_is_sent_again_is_accepted_again() -> None:
    """A resend is recognized by document and base, even after later ones."""
    first = _parse(_make(), "")
    later = copy.deepcopy(_make())
    later["Version"] = "00000009"
    state = state_lib.make_initial_state()
    outcomes = []
    for version, command in enumerate(
        (first, _parse(later, "00000007"), first), start=1
    ):
        applied = state_lib.apply_command(state, version, command)
        state = applied.state
        assert applied.result is not None
        outcomes.append((applied.result.outcome, applied.result.version))
    accepted = commands.PublishOutcome.ACCEPTED
    assert outcomes == [(accepted, 1), (accepted, 2), (accepted, 1)]
    assert state.serial == 9


def _set(document: Any, path: tuple[str | int, ...], value: Any) -> None:
    for key in path[:-1]:
        document = document[key]
    document[path[-1]] = value


def _find_cause(content: bytes) -> str:
    try:
        documents.parse_publication(content, BASE)
    except documents.DocumentError as error:
        return error.cause
    return ""


load_tests = fixtures.collect(__name__)
