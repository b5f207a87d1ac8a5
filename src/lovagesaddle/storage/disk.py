"""File operations; any failure but a full disk must stop the replica."""

import abc
import contextlib
import errno
import os
import pathlib

from lovagesaddle.core import errors

FILE_MODE = 0o600
_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


class Disk(abc.ABC):
    """Interface for writing and syncing files.

    Every method passes on an `OSError` of the operating system.
    """

    @abc.abstractmethod
    def write(self, descriptor: int, data: bytes) -> None:
        """Appends all of `data`."""

    @abc.abstractmethod
    def sync(self, descriptor: int) -> None:
        """Syncs a file; what was written then survives a power loss."""

    @abc.abstractmethod
    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Renames a file over another one and syncs the folder."""

    @abc.abstractmethod
    def remove(self, path: pathlib.Path) -> None:
        """Removes a file; the name may return unless its folder is synced."""

    @abc.abstractmethod
    def sync_folder(self, folder: pathlib.Path) -> None:
        """Syncs a folder; new and removed names then survive a power loss."""


class LocalDisk(Disk):
    """Uses the files of the operating system."""

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

    def remove(self, path: pathlib.Path) -> None:
        """See base class."""
        path.unlink()

    def sync_folder(self, folder: pathlib.Path) -> None:
        """See base class."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_whole_file(disk: Disk, path: pathlib.Path, data: bytes) -> None:
    """Creates or replaces a file atomically.

    After a crash, the file has either its old or its new content.

    Raises:
      errors.DiskFullError: The disk is full.
      errors.StorageError: Another file operation failed.
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
    """Removes a file that could not be written, to free its space."""
    # An error of the removal is ignored: the caller raises the earlier error
    # that left the file unfinished.
    with contextlib.suppress(OSError):
        path.unlink()


def make_error(
    step: str, path: pathlib.Path, error: OSError
) -> errors.StorageError:
    """Returns the error to raise for a failed operation on `path`.

    It is a `DiskFullError` if the disk or a quota is full.
    """
    is_full = error.errno in _FULL_ERRNOS
    kind = errors.DiskFullError if is_full else errors.StorageError
    return kind(step=step, peer=str(path), cause=str(error))


TEMPORARY_SUFFIX = ".tmp"
