"""Remembers the attempts that an owner received, to accept each one once."""

import collections
import threading

MAX_ATTEMPTS = 65_536


class SeenAttempts:
    """IDs of the newest attempts; any thread may use it."""

    def __init__(self) -> None:
        self._ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def add(self, attempt_id: str) -> bool:
        """Records an attempt; returns False if it was received before."""
        with self._lock:
            if attempt_id in self._ids:
                return False
            self._ids[attempt_id] = None
            if len(self._ids) > MAX_ATTEMPTS:
                self._ids.popitem(last=False)
            return True
