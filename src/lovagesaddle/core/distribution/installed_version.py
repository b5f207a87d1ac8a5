"""What a node holds, and which updates it takes."""

import dataclasses
import enum

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import snapshots


class InstallOutcome(enum.Enum):
    """What became of an offered update."""

    INSTALLED = "installed"
    OLDER = "older"
    BELOW_FLOOR = "below join floor"
    OTHER_CLUSTER = "other cluster"
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstallResult:
    """What became of an offered update, and why."""

    outcome: InstallOutcome
    cause: str = ""


class InstalledVersion:
    """Holds one version and moves to newer ones only.

    Args:
      cluster_id: The only cluster that updates are taken from.
    """

    def __init__(self, cluster_id: str) -> None:
        self._cluster_id = cluster_id
        self._current: delta.Stamped | None = None
        self._floor: int | None = None

    @property
    def current(self) -> delta.Stamped | None:
        """What is held; None before the join floor is reached."""
        return self._current

    @property
    def version(self) -> int:
        """Version that is held; 0 for none."""
        return 0 if self._current is None else self._current.version

    @property
    def digest(self) -> bytes:
        """Digest of what is held; empty for nothing."""
        return b"" if self._current is None else self._current.digest

    @property
    def floor(self) -> int | None:
        """The join floor, or None while the join is not accepted."""
        return self._floor

    def raise_floor(self, version: int) -> None:
        """Sets the version of the node's own join; it never sinks."""
        self._floor = max(version, self._floor or 0)

    def install_delta(self, change: snapshots.Delta) -> InstallResult:
        """Installs what a delta leads to, whole or not at all."""
        refused = self._refuse(change.cluster_id, change.version)
        if refused is not None:
            return refused
        if self._current is None:
            return InstallResult(
                outcome=InstallOutcome.MISMATCH, cause="nothing is held"
            )
        try:
            self._current = delta.apply_delta(self._current, change)
        except errors.DigestMismatchError as error:
            return InstallResult(
                outcome=InstallOutcome.MISMATCH, cause=error.cause
            )
        return InstallResult(outcome=InstallOutcome.INSTALLED)

    def install_snapshot(
        self, snapshot: snapshots.Snapshot, digest: bytes
    ) -> InstallResult:
        """Installs a whole snapshot if its digest is the announced one."""
        refused = self._refuse(snapshot.cluster_id, snapshot.version)
        if refused is not None:
            return refused
        stamped = delta.stamp(snapshot)
        if stamped.digest != digest:
            return InstallResult(
                outcome=InstallOutcome.MISMATCH,
                cause="snapshot differs from its digest",
            )
        self._current = stamped
        return InstallResult(outcome=InstallOutcome.INSTALLED)

    def _refuse(self, cluster_id: str, version: int) -> InstallResult | None:
        if cluster_id != self._cluster_id:
            return InstallResult(
                outcome=InstallOutcome.OTHER_CLUSTER,
                cause=f"cluster {cluster_id}",
            )
        if self._floor is None or version < self._floor:
            return InstallResult(
                outcome=InstallOutcome.BELOW_FLOOR,
                cause=f"floor is {self._floor}, offered is {version}",
            )
        if version <= self.version:
            return InstallResult(
                outcome=InstallOutcome.OLDER,
                cause=f"held is {self.version}, offered is {version}",
            )
        return None
