"""What a node holds, and which updates it takes."""

import dataclasses
import enum

from lovagesaddle.core import errors
from lovagesaddle.core.configuration import delta
from lovagesaddle.core.model import snapshots


class Outcome(enum.Enum):
    """What became of an offered update."""

    INSTALLED = "installed"
    OLDER = "older"
    BELOW_FLOOR = "below join floor"
    OTHER_CLUSTER = "other cluster"
    MISMATCH = "mismatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What became of an offered update, and why."""

    outcome: Outcome
    cause: str = ""


class Holding:
    """Holds one version and moves to newer ones only.

    Args:
      cluster_id: The only cluster that updates are taken from.
    """

    def __init__(self, cluster_id: str) -> None:
        self._cluster_id = cluster_id
        self._held: delta.HashedSnapshot | None = None
        self._floor: int | None = None

    @property
    def held(self) -> delta.HashedSnapshot | None:
        """What is held; None before the join floor is reached."""
        return self._held

    @property
    def version(self) -> int:
        """Version that is held; 0 for none."""
        return 0 if self._held is None else self._held.version

    @property
    def digest(self) -> bytes:
        """Digest of what is held; empty for nothing."""
        return b"" if self._held is None else self._held.digest

    @property
    def floor(self) -> int | None:
        """The join floor, or None while the join is not accepted."""
        return self._floor

    def raise_floor(self, version: int) -> None:
        """Sets the version of the node's own join; it never sinks."""
        self._floor = max(version, self._floor or 0)

    def offer_delta(self, change: snapshots.Delta) -> Verdict:
        """Installs what a delta leads to, whole or not at all."""
        refused = self._refuse(change.cluster_id, change.version)
        if refused is not None:
            return refused
        if self._held is None:
            return Verdict(outcome=Outcome.MISMATCH, cause="nothing is held")
        try:
            self._held = delta.apply_delta(self._held, change)
        except errors.DigestMismatchError as error:
            return Verdict(outcome=Outcome.MISMATCH, cause=error.cause)
        return Verdict(outcome=Outcome.INSTALLED)

    def offer_snapshot(
        self, snapshot: snapshots.Snapshot, digest: bytes
    ) -> Verdict:
        """Installs a whole snapshot if its digest is the announced one."""
        refused = self._refuse(snapshot.cluster_id, snapshot.version)
        if refused is not None:
            return refused
        stamped = delta.hash_snapshot(snapshot)
        if stamped.digest != digest:
            return Verdict(
                outcome=Outcome.MISMATCH,
                cause="snapshot differs from its digest",
            )
        self._held = stamped
        return Verdict(outcome=Outcome.INSTALLED)

    def _refuse(self, cluster_id: str, version: int) -> Verdict | None:
        if cluster_id != self._cluster_id:
            return Verdict(
                outcome=Outcome.OTHER_CLUSTER, cause=f"cluster {cluster_id}"
            )
        if self._floor is None or version < self._floor:
            return Verdict(
                outcome=Outcome.BELOW_FLOOR,
                cause=f"floor is {self._floor}, offered is {version}",
            )
        if version <= self.version:
            return Verdict(
                outcome=Outcome.OLDER,
                cause=f"held is {self.version}, offered is {version}",
            )
        return None
