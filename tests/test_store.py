"""Tests of the data folder: durability, and errors that stop the replica."""

from collections.abc import Iterator
import contextlib
import dataclasses
import errno
import pathlib
import shutil
import tempfile

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.storage import disk as disk_lib
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import store as store_lib
from tests import fixtures

IDENTITY = identity_lib.Identity(
    cluster_id="c", replica_id="r1", member_id="r1-1"
)


class FaultyDisk(disk_lib.LocalDisk):
    """A disk that is full, or fails to sync, once `cause` is set."""

    def __init__(self) -> None:
        self.cause: OSError | None = None

    def write(self, descriptor: int, data: bytes) -> None:
        """See base class."""
        if self.cause is not None and "space" in str(self.cause):
            raise self.cause
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """See base class."""
        if self.cause is not None:
            raise self.cause
        super().sync(descriptor)


class FillingDisk(disk_lib.LocalDisk):
    """A disk that is full for one operation; a write is then done by half.

    Args:
      refused: Number of that operation, counted from 1; 0 for none.
    """

    def __init__(self, refused: int) -> None:
        self._refused = refused
        self.operations = 0
        self.is_counting = False

    def write(self, descriptor: int, data: bytes) -> None:
        """See base class."""
        if self._is_refused():
            super().write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """See base class."""
        if self._is_refused():
            raise OSError(errno.ENOSPC, "No space left on device")
        super().sync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """See base class."""
        if self._is_refused():
            raise OSError(errno.ENOSPC, "No space left on device")
        super().sync_folder(folder)

    def _is_refused(self) -> bool:
        self.operations += self.is_counting
        return self.operations == self._refused and self.is_counting


def test_hard_state_and_entries_survive() -> None:
    """After a restart, the newest of what was written is restored."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 5, term=1), term=1),))
            store.write((_persist(2, _entries(4, 6, term=2), term=2),))
        with _open(folder) as store:
            restored = store.restored
    assert restored.hard_state == entries_lib.HardState(term=2, vote="r1")
    assert [(e.index, e.term) for e in restored.entries] == [
        (1, 1),
        (2, 1),
        (3, 1),
        (4, 2),
        (5, 2),
        (6, 2),
    ]


def test_many_actions_share_one_sync() -> None:
    """Actions that are written together cost one sync."""
    with _folder() as folder, _open(folder) as store:
        persists = tuple(_persist(n, _entries(n, n)) for n in range(1, 9))
        store.write(persists)
        assert store.sync_count == 1


def test_torn_tail_is_cut() -> None:
    """A record that a crash truncated is dropped; those before it stay."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 3)),))
            synced = _newest_segment(folder).stat().st_size
            store.write((_persist(2, _entries(4, 4)),))
        whole = _newest_segment(folder).read_bytes()
        for length in range(synced, len(whole) - 1, 7):
            _newest_segment(folder).write_bytes(whole[:length])
            with _open(folder) as store:
                held = [e.index for e in store.restored.entries]
                assert held in ([1, 2, 3], [1, 2, 3, 4])
        with _open(folder) as store:
            store.write((_persist(3, _entries(4, 4, term=9)),))
        with _open(folder) as store:
            assert store.restored.entries[-1].term == 9


def test_flipped_bit_before_the_tail_stops_the_replica() -> None:
    """Damage in synced records raises an error that names the file."""
    with _folder() as folder:
        with _open(folder) as store:
            for number in range(1, 6):
                store.write((_persist(number, _entries(number, number)),))
        path = _newest_segment(folder)
        whole = path.read_bytes()
        last_sync = whole.rindex(b"payload-5")
        for position in range(0, last_sync, 11):
            damaged = bytearray(whole)
            damaged[position] ^= 0x10
            path.write_bytes(bytes(damaged))
            error = _fail_to_open(folder)
            assert str(path) in str(error), position


def test_short_older_segment_stops_the_replica() -> None:
    """A torn tail is accepted in the newest segment only."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 5)),))
            older = _newest_segment(folder)
            store.write((_image(2, 3, drop_log=False),))
        assert older != _newest_segment(folder)
        older.write_bytes(older.read_bytes()[:-3])
        assert "newer segment follows" in str(_fail_to_open(folder))


def test_damaged_snapshot_stops_the_replica() -> None:
    """A flipped bit in a snapshot raises; no older state is restored."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 5)),))
            store.write((_image(2, 4, drop_log=False),))
        (path,) = folder.glob("snapshot-*")
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(bytes(data))
        assert "damaged" in str(_fail_to_open(folder))


def test_snapshot_replaces_old_segments() -> None:
    """A snapshot and the entries after it survive; older files are removed."""
    with _folder() as folder:
        with _open(folder) as store:
            for number in range(1, 6):
                store.write((_persist(number, _entries(number, number)),))
                store.write((_image(number, number, drop_log=False),))
            store.write((events.Persist(sync_id=9, entries=_entries(6, 7)),))
        assert len(tuple(folder.glob("segment-*"))) <= 2
        assert len(tuple(folder.glob("snapshot-*"))) == 1
        with _open(folder) as store:
            assert store.restored.image.index == 5
            assert [e.index for e in store.restored.entries] == [6, 7]
            assert store.restored.hard_state.term == 1


def test_snapshot_of_the_leader_drops_another_log() -> None:
    """A snapshot that is newer than the log discards the old entries."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 9)),))
            old = _newest_segment(folder)
            content = old.read_bytes()
            store.write((_image(2, 12, drop_log=True),))
            store.write((_persist(3, _entries(13, 13, term=7)),))
        # Simulates a crash before the old segment was removed.
        old.write_bytes(content)
        with _open(folder) as store:
            held = [(e.index, e.term) for e in store.restored.entries]
    assert held == [(13, 7)]


def test_lost_files_stop_the_replica() -> None:
    """A folder without its segments is not treated as a new one."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 3)),))
        _newest_segment(folder).unlink()
        assert "no segment" in str(_fail_to_open(folder))


def test_log_without_its_identity_is_refused() -> None:
    """A log without its identity file is refused."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 3)),))
        (folder / identity_lib.IDENTITY_NAME).unlink()
        assert "no identity" in str(_fail_to_open(folder))


def test_folder_of_another_cluster_is_refused() -> None:
    """A folder of another cluster or of another replica can't be used."""
    with _folder() as folder:
        _open(folder).close()
        for other in (
            dataclasses.replace(IDENTITY, cluster_id="d"),
            dataclasses.replace(IDENTITY, replica_id="r2"),
        ):
            assert "is of replica r1" in str(_fail_to_open(folder, other))


def test_restart_keeps_the_generated_identity() -> None:
    """The member ID is generated once for a folder."""
    with _folder() as folder:
        _open(folder).close()
        other_identity = dataclasses.replace(IDENTITY, member_id="r1-2")
        with store_lib.Store(folder=folder, identity=other_identity) as store:
            assert store.identity == IDENTITY


def test_second_process_is_refused() -> None:
    """A folder in use can't be opened again."""
    with _folder() as folder, _open(folder):
        assert "another process" in str(_fail_to_open(folder))


def test_full_disk_and_sync_errors_are_reported() -> None:
    """A write that may not be on the disk raises an error with its path."""
    for cause in (
        OSError(28, "No space left on device"),
        OSError(5, "Input/output error"),
    ):
        disk = FaultyDisk()
        with (
            _folder() as folder,
            store_lib.Store(
                folder=folder, identity=IDENTITY, disk=disk
            ) as store,
        ):
            store.write((_persist(1, _entries(1, 3)),))
            disk.cause = cause
            for persist in (
                _persist(2, _entries(4, 4)),
                _image(3, 2, drop_log=False),
            ):
                try:
                    store.write((persist,))
                except errors.StorageError as error:
                    assert str(folder) in error.peer
                else:
                    raise AssertionError(f"{cause} was not raised")


def test_full_disk_leaves_what_was_stored() -> None:
    """Stored data survives a full disk at any operation; a retry succeeds."""
    batches = (
        (_persist(1, _entries(1, 5)),),
        (_persist(2, _entries(5, 6, term=2), term=2),),
        (_image(3, 4, drop_log=False), _persist(4, _entries(7, 8, term=2))),
        (_image(5, 20, drop_log=True), _persist(6, _entries(21, 22, term=3))),
        (_persist(7, _entries(23, 23, term=3), term=3),),
    )
    wanted, operations = _write_batches(batches, refused=0)
    assert operations > 20
    for refused in range(1, operations + 1):
        restored, _ = _write_batches(batches, refused=refused)
        assert restored == wanted, refused


def test_other_format_version_is_refused() -> None:
    """A file of another format version is not read."""
    with _folder() as folder:
        _open(folder).close()
        path = _newest_segment(folder)
        data = bytearray(path.read_bytes())
        data[11] += 1
        path.write_bytes(bytes(data))
        assert "format version" in str(_fail_to_open(folder))


def test_incomplete_files_of_a_crash_are_ignored() -> None:
    """Incomplete files that a crash left don't prevent a start."""
    with _folder() as folder:
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 3)),))
        (folder / "segment-0000000000000002").write_bytes(b"lvg")
        (folder / "snapshot-0000000000000003.tmp").write_bytes(b"half")
        with _open(folder) as store:
            assert len(store.restored.entries) == 3
            store.write((_persist(2, _entries(4, 4)),))
        with _open(folder) as store:
            assert len(store.restored.entries) == 4


@contextlib.contextmanager
def _folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name) / "data"


def _open(folder: pathlib.Path) -> store_lib.Store:
    return store_lib.Store(folder=folder, identity=IDENTITY)


def _write_batches(
    batches: tuple[tuple[events.Persist, ...], ...], *, refused: int
) -> tuple[entries_lib.RestoredState, int]:
    """Writes batches, and retries those that found the disk full.

    Args:
      batches: Actions to write; one batch per call of `Store.write`.
      refused: Number of the operation that finds the disk full; 0 for none.

    Returns:
      The state after a restart, and the number of disk operations.
    """
    with _folder() as folder:
        _open(folder).close()
        with _open(folder) as store:
            store.write((_persist(1, _entries(1, 1)),))
        disk = FillingDisk(refused)
        opened = store_lib.Store(folder=folder, identity=IDENTITY, disk=disk)
        with opened as store:
            disk.is_counting = True
            for batch in batches:
                before = _restore_copy(folder)
                try:
                    store.write(batch)
                except errors.DiskFullError:
                    # Simulates a crash while the disk is full.
                    found = _restore_copy(folder)
                    assert _get_last_index(found) >= _get_last_index(before), (
                        refused
                    )
                    assert found.hard_state.term >= before.hard_state.term
                    store.write(batch)
        with _open(folder) as store:
            return store.restored, disk.operations


def _restore_copy(folder: pathlib.Path) -> entries_lib.RestoredState:
    with tempfile.TemporaryDirectory() as name:
        copy = pathlib.Path(name) / "copy"
        shutil.copytree(folder, copy)
        with _open(copy) as store:
            return store.restored


def _get_last_index(restored: entries_lib.RestoredState) -> int:
    return restored.image.index + len(restored.entries)


def _fail_to_open(
    folder: pathlib.Path, identity: identity_lib.Identity = IDENTITY
) -> errors.StorageError:
    try:
        store_lib.Store(folder=folder, identity=identity).close()
    except errors.StorageError as error:
        return error
    raise AssertionError("the folder was opened")


def _newest_segment(folder: pathlib.Path) -> pathlib.Path:
    return max(folder.glob("segment-*"))


def _entries(
    first: int, last: int, term: int = 1
) -> tuple[entries_lib.Entry, ...]:
    return tuple(
        entries_lib.Entry(
            index=index,
            term=term,
            kind=entries_lib.EntryKind.COMMAND,
            payload=f"payload-{index}".encode(),
        )
        for index in range(first, last + 1)
    )


def _persist(
    sync_id: int, entries: tuple[entries_lib.Entry, ...], term: int = 1
) -> events.Persist:
    return events.Persist(
        sync_id=sync_id,
        hard_state=entries_lib.HardState(term=term, vote="r1"),
        entries=entries,
    )


def _image(sync_id: int, index: int, *, drop_log: bool) -> events.Persist:
    image = entries_lib.Image(index=index, term=1, data=b"state")
    return events.Persist(sync_id=sync_id, image=image, drop_log=drop_log)


load_tests = fixtures.collect(__name__)
