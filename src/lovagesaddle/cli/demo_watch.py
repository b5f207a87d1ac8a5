"""Reads versions and metrics of the demo's nodes at their admin addresses."""

import dataclasses
import http.client
import re
import time

import msgspec

from lovagesaddle import ticker
from lovagesaddle.cli import demo_mesh

TIMEOUT_S = 2.0
SAMPLE_S = 0.25
POLL_INTERVAL_S = 0.01
_CONTROL_BYTES = re.compile(
    r"^control_bytes_total(?:\{[^}]*\})? (?P<value>\d+)$", re.MULTILINE
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Health:
    """The fields of /healthz that the demo reads."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionChange:
    """Two consecutive samples of a node's version.

    Attributes:
      node_id: ID of the node.
      before: Version of the first sample.
      after: Version of the second sample.
    """

    node_id: str
    before: int
    after: int


class VersionSampler(ticker.Ticker):
    """Samples the version of every node while it is open.

    Args:
      vms: VMs whose nodes are sampled.
    """

    def __init__(self, vms: tuple[demo_mesh.DemoVm, ...]) -> None:
        super().__init__(
            name="version-watch", interval_s=SAMPLE_S, work=self._sample
        )
        self._vms = vms
        self._changes: list[VersionChange] = []
        self._last = dict.fromkeys((vm.node_id for vm in vms), 0)

    def list_regressions(self) -> tuple[VersionChange, ...]:
        """Returns every change to an older version."""
        return tuple(c for c in self._changes if c.after < c.before)

    def _sample(self) -> None:
        for vm in self._vms:
            before, after = self._last[vm.node_id], read_version(vm)
            self._last[vm.node_id] = after
            change = VersionChange(
                node_id=vm.node_id, before=before, after=after
            )
            self._changes.append(change)


def read_version(vm: demo_mesh.DemoVm) -> int:
    """Returns the version that a node routes by; 0 before it has joined."""
    body = _get(vm.node.admin_address, "/healthz")
    return msgspec.json.decode(body, type=Health).version


def read_control_bytes(vms: tuple[demo_mesh.DemoVm, ...]) -> int:
    """Returns the configuration traffic counted by the nodes, in bytes."""
    total = 0
    for vm in vms:
        text = _get(vm.node.admin_address, "/metrics").decode()
        found = _CONTROL_BYTES.finditer(text)
        total += sum(int(match["value"]) for match in found)
    return total


def wait_for_version(
    vms: tuple[demo_mesh.DemoVm, ...], version: int, timeout_s: float
) -> float:
    """Returns the seconds until every node routes by `version`.

    Raises:
      TimeoutError: It took longer than `timeout_s`.
    """
    started_s = time.monotonic()
    for vm in vms:
        while read_version(vm) < version:
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(f"{vm.node_id} lacks version {version}")
            time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


def _get(address: str, path: str) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().read()
    finally:
        connection.close()
