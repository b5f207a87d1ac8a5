"""File operations whose failure must stop the replica, unless for room."""

import abc
import contextlib
import errno
import os
import pathlib

from lovagesaddle.core import errors

FILE_MODE = 0o600
_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


class Disk(abc.ABC):
    """Writes and syncs; raises OSError when the operating system does."""

    @abc.abstractmethod
    def write(self, descriptor: int, data: bytes) -> None:
        """Appends all of `data`."""

    @abc.abstractmethod
    def sync(self, descriptor: int) -> None:
        """Returns once what was written survives a power loss."""

    @abc.abstractmethod
    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Renames a file over another one, and syncs the folder."""

    @abc.abstractmethod
    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes new and removed names of the folder survive a power loss."""


class LocalDisk(Disk):
    """The operating system's own files."""

    def write(self, descriptor: int, data: bytes) -> None:
        """See base class."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """See base class."""
        os.fdatasync(descriptor)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """See base class."""
        os.replace(source, target)
        self.sync_folder(target.parent)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """See base class."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_whole_file(disk: Disk, path: pathlib.Path, data: bytes) -> None:
    """Creates or replaces a file so that a crash leaves the old or the new.

    Raises:
      errors.StorageError: The operating system refused.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    try:
        descriptor = os.open(temporary, flags, FILE_MODE)
        try:
            disk.write(descriptor, data)
            disk.sync(descriptor)
        finally:
            os.close(descriptor)
        disk.replace(temporary, path)
    except OSError as error:
        remove_unfinished(temporary)
        raise make_error("write file", path, error) from error


def remove_unfinished(path: pathlib.Path) -> None:
    """Removes a file that could not be written, and gives its room back."""
    # The error that left it there is the one to be raised.
    with contextlib.suppress(OSError):
        path.unlink()


def make_error(
    step: str, path: pathlib.Path, error: OSError
) -> errors.StorageError:
    """Returns the storage error for a failed operation on `path`."""
    is_full = error.errno in _FULL_ERRNOS
    kind = errors.DiskFullError if is_full else errors.StorageError
    return kind(step=step, peer=str(path), cause=str(error))


TEMPORARY_SUFFIX = ".tmp"
