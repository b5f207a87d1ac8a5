"""Writing and syncing on a separate thread, with many actions per sync."""

from collections.abc import Callable
from concurrent import futures
import threading
from typing import Self

from lovagesaddle.core import errors
from lovagesaddle.core.consensus import events
from lovagesaddle.observability import logs
from lovagesaddle.storage import store as store_lib

# One heartbeat interval, so that the replica takes part in the consensus again
# about as soon as there is space.
FULL_DISK_RETRY_S = 0.1


class Syncer:
    """Writes the actions of the replica's thread to a store.

    Actions that arrive while a sync runs share the next sync. If the disk is
    full, the write is retried until there is space; the replica confirms
    nothing in the meantime, just as when a disk hangs.

    Args:
      store: Store to write to.
      on_synced: Called on the syncing thread when a sync ended.
    """

    def __init__(
        self, *, store: store_lib.Store, on_synced: Callable[[], None]
    ) -> None:
        self._log = logs.get_logger("storage")
        self._store = store
        self._closing = threading.Event()
        self._on_synced = on_synced
        self._executor = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="sync"
        )
        self._pending: list[events.Persist] = []
        self._running_sync: futures.Future[int] | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._closing.set()
        self._executor.shutdown()

    def put(self, persist: events.Persist) -> None:
        """Adds an action to the next sync."""
        self._pending.append(persist)

    def poll(self) -> events.Persisted | None:
        """Starts the next sync if none runs; returns one that ended, if any.

        Raises:
          errors.StorageError: The sync failed; the replica must stop.
        """
        done: events.Persisted | None = None
        if self._running_sync is not None and self._running_sync.done():
            done = events.Persisted(sync_id=self._running_sync.result())
            self._running_sync = None
        if self._running_sync is None and self._pending:
            pending = tuple(self._pending)
            self._pending.clear()
            self._running_sync = self._executor.submit(self._write, pending)
            self._running_sync.add_done_callback(lambda _: self._on_synced())
        return done

    def _write(self, pending: tuple[events.Persist, ...]) -> int:
        is_full = False
        while True:
            try:
                self._store.write(pending)
            except errors.DiskFullError as error:
                if not is_full:
                    self._log.warning(
                        "disk_full",
                        step=error.step,
                        peer=error.peer,
                        cause=error.cause,
                    )
                is_full = True
                if self._closing.wait(FULL_DISK_RETRY_S):
                    raise
                continue
            if is_full:
                self._log.info("disk_has_room")
            return pending[-1].sync_id
