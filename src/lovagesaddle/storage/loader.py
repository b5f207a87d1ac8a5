"""Reads and checks a whole data folder, without changing it.

`store` uses the result to restore a replica and then appends to the folder.
"""

import dataclasses
import pathlib

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import images
from lovagesaddle.storage import records
from lovagesaddle.storage import segments


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SegmentSummary:
    """Facts about one segment file that was read.

    Attributes:
      path: Path of the file.
      last_index: Highest index of an entry in it; 0 if it has none.
      intact_bytes: Length of the file without a torn tail.
      torn_bytes: Length of the torn tail.
    """

    path: pathlib.Path
    last_index: int
    intact_bytes: int
    torn_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadedFolder:
    """Content of a data folder.

    Attributes:
      restored: State that the replica starts from.
      segments: Summaries of the segment files, oldest first.
      is_log_replaced: Whether the log lacks the last entry of the snapshot, so
        that entries after the snapshot don't follow those in the segments. A
        crash between the snapshot and the next record leaves such a log.
    """

    restored: entries_lib.RestoredState
    segments: tuple[SegmentSummary, ...]
    is_log_replaced: bool


class _Replay:
    """Rebuilds hard state and entries from records in file order."""

    def __init__(self) -> None:
        self.hard_state = entries_lib.HardState()
        self.entries: list[entries_lib.Entry] = []

    def apply(self, record: records.Record, path: pathlib.Path) -> None:
        match record:
            case entries_lib.HardState():
                self.hard_state = record
            case records.Reset():
                self.entries.clear()
            case entries_lib.Entry():
                self._apply_entry(record, path)

    def _apply_entry(
        self, entry: entries_lib.Entry, path: pathlib.Path
    ) -> None:
        if self.entries:
            position = entry.index - self.entries[0].index
            if not 0 <= position <= len(self.entries):
                raise _make_gap_error(path, self.entries[-1].index, entry.index)
            del self.entries[position:]
        self.entries.append(entry)


def load_folder(folder: pathlib.Path) -> LoadedFolder:
    """Reads the newest snapshot and the segments of a data folder.

    Raises:
      errors.StorageError: Synced data is damaged or missing, or a file could
        not be read.
    """
    try:
        return _load(folder)
    except OSError as error:
        raise disk_lib.make_error("read folder", folder, error) from error


def _load(folder: pathlib.Path) -> LoadedFolder:
    image_paths = images.list_images(folder)
    image = (
        images.read_image(image_paths[-1])
        if image_paths
        else entries_lib.Image()
    )
    replay = _Replay()
    summaries: list[SegmentSummary] = []
    paths = segments.list_segments(folder)
    _check_sequence(folder, paths)
    for path in paths:
        content = segments.read_segment(path, is_newest=path == paths[-1])
        for record in content.records:
            replay.apply(record, path)
        summaries.append(_summarize_segment(path, content))
    is_log_replaced = _is_log_replaced(image, replay.entries)
    restored = entries_lib.RestoredState(
        hard_state=replay.hard_state,
        image=image,
        entries=()
        if is_log_replaced
        else _select_entries(folder, image, replay.entries),
    )
    return LoadedFolder(
        restored=restored,
        segments=tuple(summaries),
        is_log_replaced=is_log_replaced,
    )


def _is_log_replaced(
    image: entries_lib.Image, found: list[entries_lib.Entry]
) -> bool:
    if not found or found[0].index > image.index:
        return False
    position = image.index - found[0].index
    return position >= len(found) or found[position].term != image.term


def _summarize_segment(
    path: pathlib.Path, content: segments.SegmentContent
) -> SegmentSummary:
    indexes = (
        record.index
        for record in content.records
        if isinstance(record, entries_lib.Entry)
    )
    return SegmentSummary(
        path=path,
        last_index=max(indexes, default=0),
        intact_bytes=content.intact_bytes,
        torn_bytes=content.torn_bytes,
    )


def _check_sequence(
    folder: pathlib.Path, paths: tuple[pathlib.Path, ...]
) -> None:
    numbers = [segments.parse_number(path) for path in paths]
    if not numbers:
        raise _make_error(folder, "the folder has an identity but no segment")
    if numbers != list(range(numbers[0], numbers[0] + len(numbers))):
        raise _make_error(folder, f"segments {numbers} are not consecutive")


def _select_entries(
    folder: pathlib.Path,
    image: entries_lib.Image,
    found: list[entries_lib.Entry],
) -> tuple[entries_lib.Entry, ...]:
    later = tuple(entry for entry in found if entry.index > image.index)
    if later and later[0].index != image.index + 1:
        raise _make_gap_error(folder, image.index, later[0].index)
    return later


def _make_gap_error(
    path: pathlib.Path, last: int, found: int
) -> errors.StorageError:
    return _make_error(path, f"entries between {last} and {found} are missing")


def _make_error(path: pathlib.Path, cause: str) -> errors.StorageError:
    return errors.StorageError(step="read folder", peer=str(path), cause=cause)
