"""Recent versions, from which updates for children are encoded."""

import collections

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire

KEPT_VERSIONS = 128


class History:
    """Stores the newest versions and caches the update frames made of them."""

    def __init__(self) -> None:
        self._versions: collections.OrderedDict[int, delta.HashedSnapshot] = (
            collections.OrderedDict()
        )
        self._newest: delta.HashedSnapshot | None = None
        self._delta_frames: dict[int, bytes] = {}
        self._snapshot_frame: bytes = b""

    @property
    def newest(self) -> delta.HashedSnapshot | None:
        """The newest version, or None before the first."""
        return self._newest

    @property
    def version(self) -> int:
        """The newest version; 0 before the first."""
        return 0 if self._newest is None else self._newest.version

    @property
    def digest(self) -> bytes:
        """Digest of the newest version; empty before the first."""
        return b"" if self._newest is None else self._newest.digest

    def add(
        self,
        hashed: delta.HashedSnapshot,
        *,
        base_version: int = 0,
        frame: bytes = b"",
    ) -> None:
        """Adds a newer version and evicts the oldest beyond `KEPT_VERSIONS`.

        Args:
          hashed: The version.
          base_version: Base of the delta that led to the version; 0 if the
            version came without a delta.
          frame: Frame of that delta, which is relayed unchanged; empty if the
            version came without a delta.
        """
        self._newest = hashed
        self._versions[hashed.version] = hashed
        while len(self._versions) > KEPT_VERSIONS:
            self._versions.popitem(last=False)
        self._delta_frames = {base_version: frame} if frame else {}
        self._snapshot_frame = b""

    def encode_delta(self, version: int, digest: bytes) -> bytes | None:
        """Encodes the delta from `version` to the newest version.

        Args:
          version: Base version.
          digest: Digest of the base version.

        Returns:
          The frame, or None if that base is not stored or has another digest,
          so that the receiver needs the whole snapshot.
        """
        base = self._versions.get(version)
        if self._newest is None or base is None or base.digest != digest:
            return None
        frame = self._delta_frames.get(version)
        if frame is None:
            change = delta.compute_delta(base, self._newest)
            frame = wire.encode(messages.DeltaPush(delta=change))
            self._delta_frames[version] = frame
        return frame

    def encode_snapshot(self) -> bytes:
        """Encodes the newest snapshot.

        Returns:
          The frame; empty bytes if no version has been added yet.
        """
        if self._newest is None:
            return b""
        if not self._snapshot_frame:
            self._snapshot_frame = wire.encode(
                messages.SnapshotPush(
                    snapshot=self._newest.snapshot, digest=self._newest.digest
                )
            )
        return self._snapshot_frame
