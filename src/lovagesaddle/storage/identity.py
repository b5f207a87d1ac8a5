"""The identity file of a data folder, and the lock on the folder."""

import dataclasses
import fcntl
import os
import pathlib
from typing import Self

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import frames

IDENTITY_NAME = "identity"
LOCK_NAME = "lock"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Cluster and replica that own a data folder.

    Attributes:
      cluster_id: ID of the cluster.
      replica_id: Name of the replica.
      member_id: ID that was generated for the folder when it was created.
    """

    cluster_id: str
    replica_id: str
    member_id: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Identity)


def read_identity(folder: pathlib.Path) -> Identity | None:
    """Returns the identity of a folder; None for a new folder.

    Raises:
      errors.StorageError: The file is damaged, or of another program or
        format version.
    """
    path = folder / IDENTITY_NAME
    if not path.exists():
        return None
    data = path.read_bytes()
    frames.check_header(data, str(path))
    frame = frames.read_frame(data, frames.HEADER_BYTES)
    if frame is None:
        raise errors.StorageError(
            step="read identity", peer=str(path), cause="file is damaged"
        )
    return _DECODER.decode(frame.payload)


def write_identity(
    disk: disk_lib.Disk, folder: pathlib.Path, identity: Identity
) -> None:
    """Writes the identity file of a new folder.

    Raises:
      errors.StorageError: A file operation failed.
    """
    frame = frames.encode_frame(_ENCODER.encode(identity))
    disk_lib.write_whole_file(
        disk, folder / IDENTITY_NAME, frames.encode_header() + frame
    )


class FolderLock:
    """Locks a data folder against use by other processes.

    Args:
      folder: Data folder; it must exist.

    Raises:
      errors.StorageError: Another process holds the lock, or the lock file
        could not be opened.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        path = folder / LOCK_NAME
        flags = os.O_RDWR | os.O_CREAT
        try:
            self._descriptor = os.open(path, flags, disk_lib.FILE_MODE)
        except OSError as error:
            raise disk_lib.make_error("lock folder", path, error) from error
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            raise errors.StorageError(
                step="lock folder",
                peer=str(path),
                cause="another process uses this folder",
            ) from error

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Releases the lock."""
        os.close(self._descriptor)
