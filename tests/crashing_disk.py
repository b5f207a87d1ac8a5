"""A disk on which a process crashes at any operation, or loses power."""

import os
import pathlib
import random
import shutil

from lovagesaddle.storage import disk as disk_lib


class CrashError(BaseException):
    """The process ends here; nothing after this is executed."""


class CrashingDisk(disk_lib.LocalDisk):
    """Counts operations, ends the process at one, and can then lose power.

    It knows which bytes and names of one folder are synced. The content of
    removed and replaced files is kept in a second folder, from which a loss of
    power may bring them back.

    Args:
      folder: Folder with the files.
      shadow: Empty folder on the same file system.
      crash_at: Number of the operation that crashes, counted from 1; 0 for
        none.
    """

    def __init__(
        self, folder: pathlib.Path, shadow: pathlib.Path, crash_at: int = 0
    ) -> None:
        self._folder = folder
        self._shadow = shadow
        self._crash_at = crash_at
        self.operations = 0
        self._synced_bytes: dict[int, int] = {}
        self._durable_names: dict[str, int] = {}
        for path in self._list_files():
            self._synced_bytes[path.stat().st_ino] = path.stat().st_size
        self._remember_names()

    def write(self, descriptor: int, data: bytes) -> None:
        """See base class. A crash leaves half of the data."""
        if self._is_crash_due():
            super().write(descriptor, data[: len(data) // 2])
            raise CrashError
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """See base class."""
        self._crash_if_due()
        super().sync(descriptor)
        status = os.fstat(descriptor)
        self._synced_bytes[status.st_ino] = status.st_size

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """See base class. The rename and the sync are two operations."""
        self._crash_if_due()
        self._keep(source)
        os.replace(source, target)
        self.sync_folder(target.parent)

    def remove(self, path: pathlib.Path) -> None:
        """See base class."""
        self._crash_if_due()
        super().remove(path)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """See base class."""
        self._crash_if_due()
        super().sync_folder(folder)
        if folder == self._folder:
            self._remember_names()

    def lose_power(self, source: random.Random) -> None:
        """Keeps or drops each unsynced name and byte, independently."""
        current = {path.name: path.stat().st_ino for path in self._list_files()}
        for name in {*current, *self._durable_names}:
            now, before = current.get(name), self._durable_names.get(name)
            kept = now if now == before else source.choice((now, before))
            path = self._folder / name
            if kept is None:
                path.unlink(missing_ok=True)
                continue
            if kept != now:
                shutil.copyfile(self._shadow / str(kept), path)
            synced = self._synced_bytes.get(kept, 0)
            size = path.stat().st_size
            if size > synced:
                os.truncate(path, source.randint(synced, size))

    def _remember_names(self) -> None:
        self._durable_names = {}
        for path in self._list_files():
            self._durable_names[path.name] = self._keep(path)

    def _keep(self, path: pathlib.Path) -> int:
        inode = path.stat().st_ino
        kept = self._shadow / str(inode)
        if not kept.exists():
            os.link(path, kept)
        return inode

    def _list_files(self) -> list[pathlib.Path]:
        return [path for path in self._folder.iterdir() if path.is_file()]

    def _is_crash_due(self) -> bool:
        self.operations += 1
        return self.operations == self._crash_at

    def _crash_if_due(self) -> None:
        if self._is_crash_due():
            raise CrashError
