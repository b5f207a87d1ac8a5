"""Term, vote and log, and messages that wait until these are synced.

A message that confirms stored state (a vote, a stored entry) is sent only
after that state is synced. Syncs complete in the order of their IDs.
"""

import collections
import dataclasses

from lovagesaddle.core.consensus import entries as entries_lib
from lovagesaddle.core.consensus import events
from lovagesaddle.core.consensus import log as log_lib


@dataclasses.dataclass(frozen=True, slots=True)
class _Sync:
    sync_id: int
    last_index: int


class DurableState:
    """Holds the term, vote and log of a replica, some of it not synced yet.

    Args:
      restored: State that storage restored at the start.
    """

    def __init__(self, restored: entries_lib.RestoredState) -> None:
        self._hard_state = restored.hard_state
        self.log = log_lib.Log(restored.image, restored.entries)
        self._synced_index = self.log.last_index
        self._issued_sync_id = 0
        self._completed_sync_id = 0
        self._syncs: collections.deque[_Sync] = collections.deque()
        self._unsent: collections.deque[tuple[int, events.Send]] = (
            collections.deque()
        )
        self._is_hard_state_dirty = False
        self._image: entries_lib.Image | None = None
        self._drop_log = False
        self._first_unwritten: int | None = None

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._hard_state.term

    @property
    def vote(self) -> str:
        """Member voted for in this term; empty for none."""
        return self._hard_state.vote

    @property
    def synced_index(self) -> int:
        """Index of the last entry of the current log that is synced."""
        return self._synced_index

    @property
    def is_synced(self) -> bool:
        """Whether all changes so far are synced."""
        return (
            not self._is_dirty()
            and self._completed_sync_id == self._issued_sync_id
        )

    def start_term(self, term: int, vote: str) -> None:
        """Moves to a newer term, or sets the vote in the current one."""
        self._hard_state = entries_lib.HardState(term=term, vote=vote)
        self._is_hard_state_dirty = True

    def append(self, entries: tuple[entries_lib.Entry, ...]) -> None:
        """Appends entries, and drops existing ones from the first index on."""
        if not entries:
            return
        first = entries[0].index
        if first <= self.log.last_index:
            self.log.truncate(first)
            self._limit_synced_index(first - 1)
        self.log.append(entries)
        if self._first_unwritten is None or first < self._first_unwritten:
            self._first_unwritten = first

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the applied entries up to `index` with a snapshot."""
        self._image = self.log.compact(index, data)

    def install(self, image: entries_lib.Image) -> None:
        """Installs a snapshot from the leader."""
        if self.log.install(image):
            self._drop_log = True
            self._first_unwritten = None
            self._limit_synced_index(image.index)
        self._image = image

    def send_after_sync(self, send: events.Send) -> None:
        """Queues a message until all changes so far are synced."""
        self._unsent.append((self._issued_sync_id + self._is_dirty(), send))

    def flush(self) -> list[events.Action]:
        """Returns what to store now, then the messages that may be sent."""
        actions: list[events.Action] = []
        if self._is_dirty():
            actions.append(self._make_persist())
        actions.extend(self._take_ready_sends())
        return actions

    def record_sync(self, sync_id: int) -> None:
        """Records that all writes up to `sync_id` are synced."""
        self._completed_sync_id = max(self._completed_sync_id, sync_id)
        while self._syncs and self._syncs[0].sync_id <= sync_id:
            self._synced_index = self._syncs.popleft().last_index

    def _is_dirty(self) -> bool:
        return (
            self._is_hard_state_dirty
            or self._image is not None
            or self._first_unwritten is not None
        )

    def _limit_synced_index(self, index: int) -> None:
        self._synced_index = min(self._synced_index, index)
        self._syncs = collections.deque(
            _Sync(sync.sync_id, min(sync.last_index, index))
            for sync in self._syncs
        )

    def _make_persist(self) -> events.Persist:
        self._issued_sync_id += 1
        entries: tuple[entries_lib.Entry, ...] = ()
        if self._first_unwritten is not None:
            first = max(self._first_unwritten, self.log.base_index + 1)
            entries = self.log.read(first, self.log.last_index)
        persist = events.Persist(
            sync_id=self._issued_sync_id,
            hard_state=self._hard_state if self._is_hard_state_dirty else None,
            image=self._image,
            drop_log=self._drop_log,
            entries=entries,
        )
        self._syncs.append(_Sync(self._issued_sync_id, self.log.last_index))
        self._is_hard_state_dirty = False
        self._image = None
        self._drop_log = False
        self._first_unwritten = None
        return persist

    def _take_ready_sends(self) -> list[events.Action]:
        released: list[events.Action] = []
        while self._unsent and self._unsent[0][0] <= self._completed_sync_id:
            released.append(self._unsent.popleft()[1])
        return released
