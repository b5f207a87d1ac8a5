"""Watches the nodes of the demo through their admin addresses."""

import dataclasses
import http.client
import re
import time

import msgspec

from lovagesaddle import ticker
from lovagesaddle.cli import demo_mesh

TIMEOUT_S = 2.0
SAMPLE_S = 0.25
POLL_S = 0.01
_CONTROL_BYTES = re.compile(
    r"^control_bytes_total(?:\{[^}]*\})? (?P<value>\d+)$", re.MULTILINE
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """The part of /healthz that the demo needs."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A version that a node showed after another one.

    Attributes:
      node_id: The node.
      before: Version shown first.
      after: Version shown next.
    """

    node_id: str
    before: int
    after: int


class VersionWatch(ticker.Ticker):
    """Samples the version of every node until it is left.

    Args:
      places: Whose nodes are watched.
    """

    def __init__(self, places: tuple[demo_mesh.Place, ...]) -> None:
        super().__init__(
            name="version-watch", interval_s=SAMPLE_S, work=self._sample
        )
        self._places = places
        self._steps: list[Step] = []
        self._last = dict.fromkeys((p.node_id for p in places), 0)

    def list_steps_back(self) -> tuple[Step, ...]:
        """Returns every step to an older version."""
        return tuple(s for s in self._steps if s.after < s.before)

    def _sample(self) -> None:
        for place in self._places:
            before, after = self._last[place.node_id], read_version(place)
            self._last[place.node_id] = after
            step = Step(node_id=place.node_id, before=before, after=after)
            self._steps.append(step)


def read_version(place: demo_mesh.Place) -> int:
    """Returns the version that a node routes by; 0 before it joined."""
    body = _get(place.node.admin_address, "/healthz")
    return msgspec.json.decode(body, type=Health).version


def read_control_bytes(places: tuple[demo_mesh.Place, ...]) -> int:
    """Returns the configuration traffic that the nodes counted, in bytes."""
    total = 0
    for place in places:
        text = _get(place.node.admin_address, "/metrics").decode()
        found = _CONTROL_BYTES.finditer(text)
        total += sum(int(match["value"]) for match in found)
    return total


def wait_for_version(
    places: tuple[demo_mesh.Place, ...], version: int, timeout_s: float
) -> float:
    """Returns the seconds until every node routes by `version`.

    Raises:
      TimeoutError: It took longer than `timeout_s`.
    """
    started_s = time.monotonic()
    for place in places:
        while read_version(place) < version:
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(f"{place.node_id} lacks version {version}")
            time.sleep(POLL_S)
    return time.monotonic() - started_s


def _get(address: str, path: str) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().read()
    finally:
        connection.close()
