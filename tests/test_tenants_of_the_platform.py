"""Tests of the tenants in the platform's documents, and of their bounds."""

import contextlib
import json
import pathlib
from typing import Any

import msgspec

from lovagesaddle.core.model import commands
from lovagesaddle.core.model import services
from lovagesaddle.core.routing import account_keys
from lovagesaddle.platform import documents
from lovagesaddle.platform import settings as settings_lib
from lovagesaddle.settings import loader
from tests import fixtures
from tests import platform_stand_in

KEYS = ("2thhkmgjqnirth5mgjy5", "rcpihhacruddedev3nax", "9vv4hxknq2mszpd7e3ra")
TEMPLATE = platform_stand_in.ROOT / "deploy" / "node.ini"


def _parse(tenants: Any, *, exempt: Any = False) -> commands.PublishServices:
    document = json.loads(platform_stand_in.make_document("00000003"))
    if tenants is not None:
        document["Tenants"] = tenants
    document["Listeners"][0]["RouteRules"][0]["AuthExempt"] = exempt
    return documents.parse_publication(json.dumps(document).encode(), "")


def _find_cause(tenants: Any, *, exempt: Any = False) -> str:
    try:
        _parse(tenants, exempt=exempt)
    except documents.DocumentError as error:
        return error.cause
    return ""


def _list_keyed(command: commands.PublishServices) -> list[bool]:
    return [
        route.needs_account is True
        for service in command.services
        for route in service.routes
    ]


def test_tenants_become_accounts_with_digests() -> None:
    """Names, ranks and quotas are kept; keys are reduced to digests."""
    command = _parse(
        [
            {
                "Name": "pulo",
                "ApiKeys": [KEYS[0], KEYS[1], KEYS[0]],
                "Priority": 1,
                "RatePerS": 316,
                "Burst": 40.5,
                "Colour": "blue",
            },
            {"Name": "fell", "ApiKeys": []},
        ],
        exempt=True,
    )
    assert command.accounts == (
        services.ClientAccount(name="fell", digests=()),
        services.ClientAccount(
            name="pulo",
            digests=tuple(sorted(map(account_keys.compute_digest, KEYS[:2]))),
            priority=1,
            rate_per_s=316.0,
            burst=40.5,
        ),
    )
    assert _list_keyed(command) == [False, True]


def test_routes_need_keys_where_there_are_tenants() -> None:
    """An empty list of tenants opens no route; no list opens all."""
    assert _list_keyed(_parse([])) == [True, True]
    without = _parse(None)
    assert _list_keyed(without) == [False, False]
    assert without.accounts is msgspec.UNSET


def test_wrong_tenants_are_refused_with_their_place() -> None:
    """Errors name the place and never a key."""
    first = {"Name": "pulo", "ApiKeys": [KEYS[0]]}
    for second, cause in (
        (
            {"Name": "fell", "ApiKeys": [KEYS[1], KEYS[0]]},
            "tenants pulo and fell share a key - at `$.Tenants[1].ApiKeys[1]`",
        ),
        (
            {"Name": "pulo", "ApiKeys": [KEYS[1]]},
            "tenant is not unique: pulo - at `$.Tenants[1].Name`",
        ),
        ({"Name": "fell", "ApiKeys": ["a b"]}, "$.Tenants[1].ApiKeys[0]"),
        ({"Name": "fell", "ApiKeys": [""]}, "$.Tenants[1].ApiKeys[0]"),
        ({"Name": "fell", "ApiKeys": ["\xe9"]}, "$.Tenants[1].ApiKeys[0]"),
        ({"Name": "fell", "ApiKeys": ["a" * 513]}, "ApiKeys[0]"),
        ({"Name": "fell", "ApiKeys": [7]}, "$.Tenants[1].ApiKeys[0]"),
        ({"Name": "fell", "ApiKeys": KEYS[1]}, "$.Tenants[1].ApiKeys"),
        ({"Name": "fell"}, "$.Tenants[1]"),
        ({"ApiKeys": [KEYS[1]]}, "$.Tenants[1]"),
        (KEYS[1], "$.Tenants[1]"),
        ({"Name": "", "ApiKeys": []}, "$.Tenants[1].Name"),
        ({"Name": "a\r\nb: c", "ApiKeys": []}, "$.Tenants[1].Name"),
        ({"Name": "a\n", "ApiKeys": []}, "$.Tenants[1].Name"),
        ({"Name": "\xe9", "ApiKeys": []}, "$.Tenants[1].Name"),
        ({**first, "Priority": -1}, "$.Tenants[1].Priority"),
        ({**first, "Priority": KEYS[1]}, "$.Tenants[1].Priority"),
        ({**first, "RatePerS": -0.5}, "$.Tenants[1].RatePerS"),
        ({**first, "Burst": None}, "$.Tenants[1].Burst"),
    ):
        found = _find_cause([first, second])
        assert cause in found, (second, found)
        assert not [key for key in KEYS if key in found], found
    assert "$.Tenants" in _find_cause({"pulo": KEYS[0]})
    assert "AuthExempt" in _find_cause([first], exempt="yes")


def test_bound_on_withdrawals_is_set_where_the_platform_has_one() -> None:
    """Deployments without it have no bound."""
    template = TEMPLATE.read_text("utf-8")
    platform = platform_stand_in.Platform(pathlib.Path("unused"))
    cases: tuple[tuple[dict[str, Any], float], ...] = (
        ({}, 0.0),
        ({"RevokeMs": 5000}, 0.0),
        ({"RevokeClosed": False, "RevokeMs": 5000}, 0.0),
        ({"RevokeClosed": True, "RevokeMs": 5000}, 5.0),
    )
    for bounds, expected_s in cases:
        fields = platform._describe("127.0.0.1", is_first=True)
        fields["Bounds"] |= bounds
        with contextlib.ExitStack() as stack:
            path = fixtures.make_folder(stack) / "node.ini"
            path.write_text(
                platform_stand_in.fill_in(template, fields), encoding="utf-8"
            )
            settings = settings_lib.apply_bounds(
                path,
                loader.load_node(
                    path, ignored_sections=("platform", "bounds")
                ).unwrap(),
            ).unwrap()
        assert settings.withdrawal_bound_s == expected_s, bounds


load_tests = fixtures.collect(__name__)
