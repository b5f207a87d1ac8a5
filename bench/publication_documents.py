"""Generates platform documents of a chosen size, to measure publications."""

import dataclasses
import json
import random
from typing import Any

from lovagesaddle.core.model import commands
from lovagesaddle.platform import documents

HOST_COUNT = 8
SERVICE_NAMES = ("aaaa11b", "bbbb22c")
_LETTERS = "abcdefghijklmnopqrstuvwxyz"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EncodedDocument:
    """A document as an operator sends it.

    Attributes:
      content: Encoded document.
      base: Version of the document that it replaces, in hexadecimal.
    """

    content: bytes
    base: str


class Author:
    """Generates a first document, then others that change one route each.

    Args:
      route_count: Routes of the first document.
      seed: Seed of the random names and choices.
    """

    def __init__(self, route_count: int, *, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._serial = 0
        hosts = [f"{self._draw_name()}.example" for _ in range(HOST_COUNT)]
        self._listeners: list[dict[str, Any]] = [
            {"Host": host, "RouteRules": []} for host in hosts
        ]
        self.add_routes(route_count)

    def add_routes(self, count: int) -> None:
        """Adds routes, spread over hosts and services."""
        for number in range(count):
            rules = self._listeners[number % HOST_COUNT]["RouteRules"]
            rules.append(self._draw_rule(number % len(SERVICE_NAMES)))

    def write(self) -> EncodedDocument:
        """Returns the next document, in which one route's timeout differs."""
        base, self._serial = self._serial, self._serial + 1
        rules = self._random.choice(self._listeners)["RouteRules"]
        action = self._random.choice(rules)["Action"]
        action["TimeoutMs"] += 1
        document = {
            "Version": f"{self._serial:08x}",
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Listeners": self._listeners,
            "Clusters": [
                {"Name": name, "HealthPath": "/health"}
                for name in SERVICE_NAMES
            ],
        }
        content = json.dumps(document, separators=(",", ":")).encode()
        return EncodedDocument(content=content, base=f"{base:08x}")

    def write_command(self) -> commands.PublishServices:
        """Returns the publish command of the next document."""
        document = self.write()
        return documents.parse_publication(document.content, document.base)

    def _draw_rule(self, service: int) -> dict[str, Any]:
        return {
            "Name": f"r-{self._draw_name()}",
            "RouteKind": "idempotent",
            "TargetLatencyMs": 1200,
            "Priority": 1,
            "Match": {
                "PathPrefix": f"/{self._draw_name()}{self._draw_name()}/"
            },
            "Action": {
                "Service": SERVICE_NAMES[service],
                "TimeoutMs": 1500,
                "Attempts": 2,
            },
        }

    def _draw_name(self) -> str:
        letters = "".join(self._random.choice(_LETTERS) for _ in range(4))
        return f"{letters}{self._random.randint(10, 999)}"
