"""Writes and reads snapshot files: the state up to one entry of the log.

The state in a snapshot is opaque here; `control.state_images` encodes it.
"""

import pathlib

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import frames

IMAGE_PREFIX = "snapshot-"
_NAME = IMAGE_PREFIX + "{:016d}"
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(entries_lib.Image)


def list_images(folder: pathlib.Path) -> tuple[pathlib.Path, ...]:
    """Returns the snapshot files, oldest first."""
    return tuple(sorted(folder.glob(IMAGE_PREFIX + "[0-9]*[0-9]")))


def write_image(
    disk: disk_lib.Disk, folder: pathlib.Path, image: entries_lib.Image
) -> None:
    """Writes a snapshot file, then removes the older ones.

    Raises:
      errors.StorageError: A file operation failed.
    """
    path = folder / _NAME.format(image.index)
    frame = frames.encode_frame(_ENCODER.encode(image))
    disk_lib.write_whole_file(disk, path, frames.encode_header() + frame)
    try:
        for old in list_images(folder):
            if old.name < path.name:
                disk.remove(old)
    except OSError as error:
        raise disk_lib.make_error("remove snapshot", folder, error) from error


def read_image(path: pathlib.Path) -> entries_lib.Image:
    """Reads and checks a snapshot file.

    Raises:
      errors.StorageError: The file is damaged, or of another program or
        format version.
    """
    data = path.read_bytes()
    frames.check_header(data, str(path))
    frame = frames.read_frame(data, frames.HEADER_BYTES)
    if frame is None or frame.end != len(data):
        raise errors.StorageError(
            step="read snapshot", peer=str(path), cause="file is damaged"
        )
    return _DECODER.decode(frame.payload)
