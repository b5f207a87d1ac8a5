"""Removal of the data of a replica that is no longer a member."""

import pathlib

from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity
from lovagesaddle.storage import images
from lovagesaddle.storage import segments

MARKER_NAME = "retired"


def mark_retired(folder: pathlib.Path, disk: disk_lib.Disk) -> None:
    """Marks a folder whose log is invalid; no replica may use it.

    Once the marker file is synced, the next start empties the folder and
    generates a new identity, even if a crash interrupted the removal before.

    Raises:
      errors.StorageError: A file operation failed.
    """
    disk_lib.write_whole_file(disk, folder / MARKER_NAME, b"")


def empty_if_retired(folder: pathlib.Path, disk: disk_lib.Disk) -> bool:
    """Empties a folder that was marked; returns whether it was.

    Raises:
      errors.StorageError: A file operation failed.
    """
    marker = folder / MARKER_NAME
    if not marker.exists():
        return False
    try:
        for path in (
            *segments.list_segments(folder),
            *images.list_images(folder),
            folder / identity.IDENTITY_NAME,
        ):
            if path.exists():
                disk.remove(path)
        disk.sync_folder(folder)
        disk.remove(marker)
        disk.sync_folder(folder)
    except OSError as error:
        raise disk_lib.make_error("empty folder", folder, error) from error
    return True
