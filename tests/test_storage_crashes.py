"""Tests of crashes between any two operations on the data folder."""

import contextlib
import dataclasses
import pathlib
import random

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.storage import identity as identity_lib
from lovagesaddle.storage import retirement
from lovagesaddle.storage import store as store_lib
from tests import crashing_disk
from tests import fixtures

IDENTITY = identity_lib.Identity(
    cluster_id="c", replica_id="r1", member_id="r1-1"
)
POWER_LOSSES = 6
LATER_TERM = 9


def _entries(first: int, last: int, term: int) -> tuple[entries_lib.Entry, ...]:
    return tuple(
        entries_lib.Entry(
            index=index,
            term=term,
            kind=entries_lib.EntryKind.COMMAND,
            payload=f"{index} of term {term}".encode(),
        )
        for index in range(first, last + 1)
    )


def _append(first: int, last: int, term: int) -> events.Persist:
    return events.Persist(
        sync_id=1,
        hard_state=entries_lib.HardState(term=term, vote="r1"),
        entries=_entries(first, last, term),
    )


def _image(
    index: int,
    term: int,
    *,
    drop_log: bool = False,
    entries: tuple[entries_lib.Entry, ...] = (),
) -> events.Persist:
    return events.Persist(
        sync_id=1,
        image=entries_lib.Image(index=index, term=term, data=b"state"),
        drop_log=drop_log,
        entries=entries,
    )


# What a replica may write, one sync after the other. Each kind of record, and
# each order of a snapshot and the entries around it, is among them.
SCRIPTS: dict[str, tuple[tuple[events.Persist, ...], ...]] = {
    "entries and terms": (
        (_append(1, 4, 1),),
        (_append(3, 5, 2), _append(6, 6, 3)),
    ),
    "own snapshots": (
        (_append(1, 6, 1),),
        (_image(4, 1), _append(7, 8, 1)),
        (_image(8, 1),),
    ),
    "snapshot before its own entries": (
        (_append(1, 4, 1),),
        (_image(6, 1, entries=_entries(5, 8, 1)),),
    ),
    "snapshot in place of its own entries": (
        (_append(1, 4, 1),),
        (_image(6, 1, entries=_entries(7, 8, 1)),),
    ),
    "snapshot of the leader, far ahead": (
        (_append(1, 5, 1),),
        (_image(20, 3, drop_log=True),),
        (_append(21, 22, 3),),
    ),
    "snapshot of the leader, other terms": (
        (_append(1, 9, 1),),
        (_image(5, 3, drop_log=True),),
        (_append(6, 7, 3),),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """Where a process ended.

    Attributes:
      acknowledged: Number of syncs that had been reported.
      is_over: Whether the whole script was written before.
    """

    acknowledged: int
    is_over: bool


def test_folder_loads_after_a_crash_at_any_operation() -> None:
    """A killed replica starts again with all that it confirmed, and goes on.

    One that was killed between a snapshot and the end of the replaced log
    appended to that log, and ended at each later start.
    """
    for name, script in SCRIPTS.items():
        _check_script(name, script, losses=(None,))


def test_folder_loads_after_a_loss_of_power_at_any_operation() -> None:
    """Unsynced bytes and names are kept or lost independently."""
    losses = tuple(random.Random(seed) for seed in range(POWER_LOSSES))
    for name, script in SCRIPTS.items():
        _check_script(name, script, losses=losses)


def test_retired_folder_is_empty_after_a_crash_at_any_operation() -> None:
    """No identity or log of a removed replica comes back, not even in part."""
    losses = (None, *(random.Random(seed) for seed in range(POWER_LOSSES)))
    for loss in losses:
        crash_at = 0
        while True:
            crash_at += 1
            with contextlib.ExitStack() as stack:
                folder, shadow = _make_folders(stack)
                with _open(folder) as store:
                    store.write((_append(1, 3, 1), _image(2, 1)))
                retirement.mark_retired(
                    folder, crashing_disk.CrashingDisk(folder, shadow)
                )
                disk = crashing_disk.CrashingDisk(folder, shadow, crash_at)
                new = dataclasses.replace(IDENTITY, member_id="r1-2")
                is_over = _try_open(folder, new, disk)
                if loss is not None:
                    disk.lose_power(loss)
                with store_lib.Store(folder=folder, identity=new) as store:
                    assert store.identity == new, crash_at
                    assert not store.restored.entries, crash_at
                    assert not store.restored.image.index, crash_at
            if is_over:
                break


def _try_open(
    folder: pathlib.Path,
    identity: identity_lib.Identity,
    disk: crashing_disk.CrashingDisk,
) -> bool:
    try:
        store_lib.Store(folder=folder, identity=identity, disk=disk).close()
    except crashing_disk.CrashError:
        return False
    return True


def _check_script(
    name: str,
    script: tuple[tuple[events.Persist, ...], ...],
    losses: tuple[random.Random | None, ...],
) -> None:
    for loss in losses:
        crash_at = 0
        is_over = False
        while not is_over:
            crash_at += 1
            with contextlib.ExitStack() as stack:
                folder, shadow = _make_folders(stack)
                _open(folder).close()
                disk = crashing_disk.CrashingDisk(folder, shadow, crash_at)
                crash = _write(folder, disk, script)
                if loss is not None:
                    disk.lose_power(loss)
                is_over = crash.is_over
                case = f"{name}, operation {crash_at}"
                _check_restored(folder, script, crash, case)
                _check_goes_on(folder, case)


def _write(
    folder: pathlib.Path,
    disk: crashing_disk.CrashingDisk,
    script: tuple[tuple[events.Persist, ...], ...],
) -> _Crash:
    acknowledged = 0
    store = None
    try:
        store = store_lib.Store(folder=folder, identity=IDENTITY, disk=disk)
        for batch in script:
            store.write(batch)
            acknowledged += 1
    except crashing_disk.CrashError:
        return _Crash(acknowledged, is_over=False)
    finally:
        if store is not None:
            store.close()
    return _Crash(acknowledged, is_over=True)


def _check_restored(
    folder: pathlib.Path,
    script: tuple[tuple[events.Persist, ...], ...],
    crash: _Crash,
    case: str,
) -> None:
    """Checks that everything confirmed is there, unless it was replaced."""
    confirmed = _replay(script[: crash.acknowledged])
    unconfirmed = _replay(script[: crash.acknowledged + 1])
    with _open(folder) as store:
        restored = store.restored
    held = {e.index: e.term for e in restored.entries}
    assert restored.hard_state.term >= confirmed.term, case
    assert restored.image.index >= confirmed.image_index, case
    for index, term in confirmed.terms.items():
        is_replaced = unconfirmed.terms.get(index) != term
        assert (
            index <= restored.image.index
            or held.get(index) == term
            or is_replaced
        ), (case, index)


@dataclasses.dataclass(slots=True)
class _Confirmed:
    """What a replica holds after some syncs."""

    term: int = 0
    image_index: int = 0
    terms: dict[int, int] = dataclasses.field(default_factory=dict)


def _replay(script: tuple[tuple[events.Persist, ...], ...]) -> _Confirmed:
    state = _Confirmed()
    for persist in (persist for batch in script for persist in batch):
        if persist.hard_state is not None:
            state.term = persist.hard_state.term
        if persist.image is not None:
            state.image_index = persist.image.index
            if persist.drop_log:
                state.terms.clear()
        for entry in persist.entries:
            for later in [i for i in state.terms if i >= entry.index]:
                del state.terms[later]
            state.terms[entry.index] = entry.term
    return state


def _check_goes_on(folder: pathlib.Path, case: str) -> None:
    """Checks that entries which follow the restored ones stay readable."""
    for _ in range(2):
        with _open(folder) as store:
            restored = store.restored
            last = restored.image.index + len(restored.entries)
            added = _append(last + 1, last + 2, LATER_TERM)
            store.write((added,))
        with _open(folder) as store:
            held = {e.index: e.term for e in store.restored.entries}
        assert held.get(last + 2) == LATER_TERM, (case, held)
        assert len(held) == last + 2 - restored.image.index, (case, held)


def _make_folders(
    stack: contextlib.ExitStack,
) -> tuple[pathlib.Path, pathlib.Path]:
    parent = fixtures.make_folder(stack)
    shadow = parent / "shadow"
    shadow.mkdir()
    return parent / "data", shadow


def _open(folder: pathlib.Path) -> store_lib.Store:
    return store_lib.Store(folder=folder, identity=IDENTITY)


load_tests = fixtures.collect(__name__)
