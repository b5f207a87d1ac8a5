"""Data folder of a running replica: restored once, then appended to."""

import dataclasses
import pathlib
from typing import Self

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import images
from lovagesaddle.storage import loader
from lovagesaddle.storage import records
from lovagesaddle.storage import retirement
from lovagesaddle.storage import segments

SEGMENT_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _ClosedSegment:
    path: pathlib.Path
    last_index: int


class Store:
    """Reads and writes a data folder; used by one thread at a time.

    Args:
      folder: Data folder; it is created if it does not exist.
      identity: Identity for a new folder. The identity of an existing folder
        has to match it, except for the member ID.
      disk: File operations.

    Attributes:
      identity: Identity of the folder.
      restored: State that was found in the folder when it was opened.

    Raises:
      errors.StorageError: The folder is in use, is damaged or belongs to
        another replica, or a file operation failed.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        identity: identity_lib.Identity,
        disk: disk_lib.Disk | None = None,
    ) -> None:
        self._folder = folder
        self._disk = disk_lib.LocalDisk() if disk is None else disk
        self._make_folder()
        self._lock = identity_lib.FolderLock(folder)
        self._closed_segments: list[_ClosedSegment] = []
        self._syncs = 0
        try:
            retirement.empty_if_retired(folder, self._disk)
            found = identity_lib.read_identity(folder)
            if found is None:
                self._initialize_folder(identity)
                found = identity
            _check_identity(folder, found, identity)
            self.identity = found
            self.restored = self._restore()
        except BaseException:
            self._lock.close()
            raise
        self._hard_state = self.restored.hard_state

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def sync_count(self) -> int:
        """Number of syncs of the log since the folder was opened."""
        return self._syncs

    def write(self, persists: tuple[events.Persist, ...]) -> None:
        """Writes several `Persist` actions; one sync covers their records.

        Raises:
          errors.DiskFullError: The disk is full; the same actions have to be
            written again, before any others.
          errors.StorageError: The actions may not be on the disk; the replica
            must stop.
        """
        pending: list[records.Record] = []
        for persist in persists:
            if persist.hard_state is not None:
                self._hard_state = persist.hard_state
                pending.append(persist.hard_state)
            if persist.image is not None:
                self._append(pending)
                pending = []
                self._store_image(persist.image, drop_log=persist.drop_log)
            pending.extend(persist.entries)
        self._append(pending)
        if self._writer.size_bytes > SEGMENT_BYTES:
            self._rotate(())

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        self._writer.close()
        self._lock.close()

    def _make_folder(self) -> None:
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._disk.sync_folder(self._folder.parent)
        except OSError as error:
            raise disk_lib.make_error(
                "make folder", self._folder, error
            ) from error

    def _initialize_folder(self, identity: identity_lib.Identity) -> None:
        for path in segments.list_segments(self._folder):
            if segments.read_segment(path, is_newest=True).records:
                raise errors.StorageError(
                    step="open folder",
                    peer=str(self._folder),
                    cause="the folder has segments but no identity",
                )
            # An earlier process created this empty first segment and crashed
            # before it wrote the identity file.
            self._disk.remove(path)
        writer = segments.SegmentWriter(
            disk=self._disk, folder=self._folder, number=1
        )
        writer.close()
        identity_lib.write_identity(self._disk, self._folder, identity)

    def _restore(self) -> entries_lib.RestoredState:
        for path in self._folder.glob("*" + disk_lib.TEMPORARY_SUFFIX):
            self._disk.remove(path)
        loaded = loader.load_folder(self._folder)
        *older, newest = loaded.segments
        self._closed_segments = [
            _ClosedSegment(s.path, s.last_index) for s in older
        ]
        self._writer = segments.SegmentWriter(
            disk=self._disk,
            folder=self._folder,
            number=segments.parse_number(newest.path),
            keep_bytes=newest.intact_bytes,
        )
        self._writer.last_index = newest.last_index
        if loaded.is_log_replaced:
            # Entries that follow the snapshot would leave a gap in this log.
            self._hard_state = loaded.restored.hard_state
            self._reset_log(loaded.restored.image)
        return loaded.restored

    def _append(self, pending: list[records.Record]) -> None:
        if pending:
            self._writer.append(pending)
            self._syncs += 1

    def _store_image(self, image: entries_lib.Image, *, drop_log: bool) -> None:
        images.write_image(self._disk, self._folder, image)
        if drop_log:
            self._reset_log(image)
            return
        self._rotate(())
        for closed in tuple(self._closed_segments):
            if closed.last_index <= image.index:
                self._remove(closed)

    def _reset_log(self, image: entries_lib.Image) -> None:
        self._rotate((records.Reset(index=image.index),))
        for closed in tuple(self._closed_segments):
            self._remove(closed)

    def _rotate(self, resets: tuple[records.Reset, ...]) -> None:
        old = self._writer
        old.seal()
        self._writer = segments.SegmentWriter(
            disk=self._disk, folder=self._folder, number=old.number + 1
        )
        self._closed_segments.append(_ClosedSegment(old.path, old.last_index))
        old.close()
        self._append([*resets, self._hard_state])

    def _remove(self, closed: _ClosedSegment) -> None:
        # Segments are removed oldest first, and each name for good, to keep the
        # numbers of the remaining segments consecutive.
        if closed is not self._closed_segments[0]:
            return
        try:
            # It is gone already if an earlier try failed at the sync.
            if closed.path.exists():
                self._disk.remove(closed.path)
            self._disk.sync_folder(self._folder)
        except OSError as error:
            raise disk_lib.make_error(
                "remove segment", closed.path, error
            ) from error
        self._closed_segments.pop(0)


def _check_identity(
    folder: pathlib.Path,
    found: identity_lib.Identity,
    expected: identity_lib.Identity,
) -> None:
    if (found.cluster_id, found.replica_id) == (
        expected.cluster_id,
        expected.replica_id,
    ):
        return
    raise errors.StorageError(
        step="open folder",
        peer=str(folder),
        cause=(
            f"the folder is of replica {found.replica_id} of cluster"
            f" {found.cluster_id}"
        ),
    )
