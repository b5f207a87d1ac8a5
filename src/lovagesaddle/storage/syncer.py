"""Writes and syncs on a thread of its own, many actions to one sync."""

from collections.abc import Callable
from concurrent import futures
from typing import Self

from lovagesaddle.core.consensus import events
from lovagesaddle.storage import store as store_lib


class Syncer:
    """Feeds a store from the replica's thread.

    While one sync runs, further actions gather and share the next one.

    Args:
      store: The data folder.
      on_synced: Called on the syncing thread when a sync ended.
    """

    def __init__(
        self, *, store: store_lib.Store, on_synced: Callable[[], None]
    ) -> None:
        self._store = store
        self._on_synced = on_synced
        self._executor = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="sync"
        )
        self._gathered: list[events.Persist] = []
        self._running: futures.Future[int] | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._executor.shutdown()

    def put(self, persist: events.Persist) -> None:
        """Gathers an action for the next sync."""
        self._gathered.append(persist)

    def poll(self) -> events.Persisted | None:
        """Starts the next sync if none runs; returns the one that ended.

        Raises:
          errors.StorageError: The sync failed; the replica must stop.
        """
        done: events.Persisted | None = None
        if self._running is not None and self._running.done():
            done = events.Persisted(sync_id=self._running.result())
            self._running = None
        if self._running is None and self._gathered:
            gathered = tuple(self._gathered)
            self._gathered.clear()
            self._running = self._executor.submit(self._write, gathered)
            self._running.add_done_callback(lambda _: self._on_synced())
        return done

    def _write(self, gathered: tuple[events.Persist, ...]) -> int:
        self._store.write(gathered)
        return gathered[-1].sync_id
