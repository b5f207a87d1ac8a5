"""The version that a node has installed, and checks of newer ones."""

import dataclasses
import enum

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import snapshots


class InstallOutcome(enum.Enum):
    """Outcome of an update that was received."""

    INSTALLED = "installed"
    OLDER = "older"
    BELOW_FLOOR = "below join floor"
    OTHER_CLUSTER = "other cluster"
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstallResult:
    """Outcome of a received update, with the cause of a refusal."""

    outcome: InstallOutcome
    cause: str = ""


class InstalledVersion:
    """Holds the installed version and replaces it by newer ones only.

    Args:
      cluster_id: Cluster whose updates are accepted; others are refused.
    """

    def __init__(self, cluster_id: str) -> None:
        self._cluster_id = cluster_id
        self._current: delta.HashedSnapshot | None = None
        self._floor: int | None = None

    @property
    def current(self) -> delta.HashedSnapshot | None:
        """The installed version; None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Number of the installed version; 0 for none."""
        return 0 if self._current is None else self._current.version

    @property
    def digest(self) -> bytes:
        """Digest of the installed version; empty for none."""
        return b"" if self._current is None else self._current.digest

    @property
    def floor(self) -> int | None:
        """Oldest version to install; None until the join is accepted."""
        return self._floor

    def raise_floor(self, version: int) -> None:
        """Raises the join floor to `version`; it is never lowered.

        Args:
          version: Version of the node's own join.
        """
        self._floor = max(version, self._floor or 0)

    def discard(self) -> None:
        """Drops the installed version; the next one may not be older."""
        self.raise_floor(self.version)
        self._current = None

    def install_delta(self, change: snapshots.Delta) -> InstallResult:
        """Applies a delta and installs the result, wholly or not at all."""
        refusal = self._refuse(change.cluster_id, change.version)
        if refusal is not None:
            return refusal
        if self._current is None:
            return InstallResult(
                outcome=InstallOutcome.MISMATCH, cause="no version is installed"
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
        """Installs a whole snapshot if its digest equals `digest`."""
        refusal = self._refuse(snapshot.cluster_id, snapshot.version)
        if refusal is not None:
            return refusal
        hashed = delta.hash_snapshot(snapshot)
        if hashed.digest != digest:
            return InstallResult(
                outcome=InstallOutcome.MISMATCH,
                cause="snapshot differs from its digest",
            )
        self._current = hashed
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
                cause=f"join floor is {self._floor}, received is {version}",
            )
        if version <= self.version:
            return InstallResult(
                outcome=InstallOutcome.OLDER,
                cause=f"installed is {self.version}, received is {version}",
            )
        return None
