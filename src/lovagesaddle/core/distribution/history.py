"""Recent versions, from which updates for others are made."""

import collections

from lovagesaddle.core.configuration import delta
from lovagesaddle.core.distribution import messages
from lovagesaddle.core.distribution import wire

KEPT_VERSIONS = 128


class History:
    """Keeps the newest versions and the updates made from them."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[int, delta.HashedSnapshot] = (
            collections.OrderedDict()
        )
        self._newest: delta.HashedSnapshot | None = None
        self._updates: dict[int, bytes] = {}
        self._whole: bytes = b""

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
        stamped: delta.HashedSnapshot,
        *,
        base_version: int = 0,
        frame: bytes = b"",
    ) -> None:
        """Takes a newer version.

        Args:
          stamped: The version.
          base_version: Base of the delta that brought it, if one did.
          frame: That delta's frame, to be sent on as it is.
        """
        self._newest = stamped
        self._kept[stamped.version] = stamped
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)
        self._updates = {base_version: frame} if frame else {}
        self._whole = b""

    def make_update(self, version: int, digest: bytes) -> bytes | None:
        """Returns the frame that leads from `version` to the newest.

        Returns:
          None when that base is not kept or differs; the base needs the
          whole snapshot.
        """
        base = self._kept.get(version)
        if self._newest is None or base is None or base.digest != digest:
            return None
        frame = self._updates.get(version)
        if frame is None:
            change = delta.compute_delta(base, self._newest)
            frame = wire.encode(messages.DeltaPush(delta=change))
            self._updates[version] = frame
        return frame

    def make_whole(self) -> bytes:
        """Returns the frame with the whole newest snapshot; empty if none."""
        if self._newest is None:
            return b""
        if not self._whole:
            self._whole = wire.encode(
                messages.SnapshotPush(
                    snapshot=self._newest.snapshot, digest=self._newest.digest
                )
            )
        return self._whole
