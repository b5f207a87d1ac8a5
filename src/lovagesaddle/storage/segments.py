"""Segment files, which hold the append-only log."""

import dataclasses
import os
import pathlib

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import frames
from lovagesaddle.storage import records

SEGMENT_PREFIX = "segment-"
_NAME = SEGMENT_PREFIX + "{:016d}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SegmentContent:
    """Content of one segment file.

    Attributes:
      records: Records in order, without `records.Mark`s.
      intact_bytes: Length of the file up to the torn tail, if any.
      torn_bytes: Length of the torn tail; 0 for none.
    """

    records: tuple[records.Record, ...]
    intact_bytes: int
    torn_bytes: int


def list_segments(folder: pathlib.Path) -> tuple[pathlib.Path, ...]:
    """Returns the segment files, oldest first."""
    return tuple(sorted(folder.glob(SEGMENT_PREFIX + "[0-9]*[0-9]")))


def parse_number(path: pathlib.Path) -> int:
    """Returns the sequence number in the name of a segment file."""
    return int(path.name.removeprefix(SEGMENT_PREFIX))


def read_segment(path: pathlib.Path, *, is_newest: bool) -> SegmentContent:
    """Reads and checks a segment file.

    Args:
      path: Path of the file.
      is_newest: Whether it is the newest segment, whose tail may be torn.

    Raises:
      errors.StorageError: Synced data is damaged, or the file is of another
        program or format version.
    """
    data = path.read_bytes()
    if is_newest and len(data) < frames.HEADER_BYTES:
        # A crash interrupted the creation of the file before its header was
        # complete.
        return SegmentContent(records=(), intact_bytes=0, torn_bytes=len(data))
    frames.check_header(data, str(path))
    found: list[records.Record] = []
    end = frames.HEADER_BYTES
    for frame in frames.read_frames(data, end):
        record = records.RECORDS.decode(frame.payload, peer=str(path))
        if not isinstance(record, records.Mark):
            found.append(record)
        end = frame.end
    if end < len(data):
        _check_torn_tail(path, data, end, is_newest=is_newest)
    return SegmentContent(
        records=tuple(found), intact_bytes=end, torn_bytes=len(data) - end
    )


def _check_torn_tail(
    path: pathlib.Path, data: bytes, end: int, *, is_newest: bool
) -> None:
    if not is_newest:
        raise _make_damage_error(path, end, "a newer segment follows")
    for frame in frames.scan_frames(data, end):
        record = records.RECORDS.decode(frame.payload, peer=str(path))
        if isinstance(record, records.Mark) and record.offset > end:
            raise _make_damage_error(
                path, end, f"{record.offset} bytes were synced"
            )


def _make_damage_error(
    path: pathlib.Path, offset: int, cause: str
) -> errors.StorageError:
    return errors.StorageError(
        step="read segment",
        peer=str(path),
        cause=f"record at byte {offset} is damaged although {cause}",
    )


class SegmentWriter:
    """Appends records to the newest segment.

    Args:
      disk: File operations.
      folder: Data folder.
      number: Sequence number of the segment.
      keep_bytes: Length that an existing file is truncated to before records
        are appended; None for a new file.

    Raises:
      errors.StorageError: A file operation failed.
    """

    def __init__(
        self,
        *,
        disk: disk_lib.Disk,
        folder: pathlib.Path,
        number: int,
        keep_bytes: int | None = None,
    ) -> None:
        self._disk = disk
        self.path = folder / _NAME.format(number)
        self.number = number
        self.last_index = 0
        self._bytes = 0
        flags = os.O_WRONLY | os.O_APPEND
        try:
            if keep_bytes is None:
                flags |= os.O_CREAT | os.O_EXCL
            self._descriptor = os.open(self.path, flags, disk_lib.FILE_MODE)
        except OSError as error:
            raise self._make_error("open segment", error) from error
        try:
            if keep_bytes is None:
                self._write_file_header()
            else:
                self._resume(keep_bytes)
        except OSError as error:
            self.close()
            if keep_bytes is None:
                disk_lib.remove_unfinished(self.path)
            raise self._make_error("open segment", error) from error

    @property
    def size_bytes(self) -> int:
        """Length of the file, in bytes."""
        return self._bytes

    def append(self, added: list[records.Record]) -> None:
        """Writes records and syncs them.

        Raises:
          errors.DiskFullError: The disk is full; the file is unchanged.
          errors.StorageError: The records may not be on the disk.
        """
        start = self._bytes
        data = b"".join(
            frames.encode_frame(records.RECORDS.encode(record))
            for record in added
        )
        try:
            self._write(data)
            self._disk.sync(self._descriptor)
            self._write_mark()
        except OSError as error:
            failure = self._make_error("append records", error)
            if isinstance(failure, errors.DiskFullError):
                self._truncate(start)
            raise failure from error
        for record in added:
            if isinstance(record, entries_lib.Entry):
                self.last_index = max(self.last_index, record.index)

    def seal(self) -> None:
        """Syncs the last mark: only the newest segment may end torn.

        Raises:
          errors.StorageError: The sync failed.
        """
        try:
            self._disk.sync(self._descriptor)
        except OSError as error:
            raise self._make_error("seal segment", error) from error

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)

    def _write_file_header(self) -> None:
        self._write(frames.encode_header())
        self._disk.sync(self._descriptor)
        self._disk.sync_folder(self.path.parent)

    def _resume(self, keep_bytes: int) -> None:
        os.ftruncate(self._descriptor, keep_bytes)
        self._bytes = keep_bytes
        if keep_bytes == 0:
            self._write(frames.encode_header())
        self._disk.sync(self._descriptor)

    def _truncate(self, length: int) -> None:
        # A partial record would make those appended after it unreadable.
        try:
            os.ftruncate(self._descriptor, length)
        except OSError as error:
            raise errors.StorageError(
                step="cut segment", peer=str(self.path), cause=str(error)
            ) from error
        self._bytes = length

    def _write(self, data: bytes) -> None:
        self._disk.write(self._descriptor, data)
        self._bytes += len(data)

    def _write_mark(self) -> None:
        # The mark needs no sync: it only helps to distinguish damage from a
        # torn tail.
        mark = records.RECORDS.encode(records.Mark(offset=self._bytes))
        self._write(frames.encode_frame(mark))

    def _make_error(self, step: str, error: OSError) -> errors.StorageError:
        return disk_lib.make_error(step, self.path, error)
