"""Separate thread pools for each kind of requester.

An entry waits for owners, and an owner's backend server may send requests to
its own node. With one shared pool such a cycle of waits could deadlock.
"""

from collections.abc import Callable
from concurrent import futures
import enum
import threading
import time
from typing import Any, Protocol, Self

QUEUED_PER_THREAD = 2
REFUSAL_THREADS = 2
_current = threading.local()


class PoolKind(enum.Enum):
    """Kinds of requesters; REFUSAL is for requests beyond a pool's queue."""

    CALLER = "caller"
    SERVICE = "service"
    OWNER = "owner"
    REFUSAL = "refusal"


class Task(Protocol):
    """Describes waitress's task: a connection with a complete request."""

    requests: list[Any]

    def service(self) -> None:
        """Serves the first request."""

    def cancel(self) -> None:
        """Discards all requests."""


def is_refusal_thread() -> bool:
    """Returns whether the current thread may only refuse its request."""
    return getattr(_current, "kind", None) is PoolKind.REFUSAL


class PoolDispatcher:
    """Runs waitress's tasks on thread pools, one for each kind.

    Args:
      threads: Number of threads of each pool except REFUSAL.
      classify: Returns the pool for a parsed request.
    """

    def __init__(
        self,
        *,
        threads: dict[PoolKind, int],
        classify: Callable[[Any], PoolKind],
    ) -> None:
        self._classify = classify
        sizes = {**threads, PoolKind.REFUSAL: REFUSAL_THREADS}
        self._capacity = {
            kind: n * (1 + QUEUED_PER_THREAD) for kind, n in sizes.items()
        }
        self._task_counts = dict.fromkeys(sizes, 0)
        self._lock = threading.Lock()
        self._pools = {
            kind: futures.ThreadPoolExecutor(
                max_workers=count,
                thread_name_prefix=kind.value,
                initializer=_set_pool_kind,
                initargs=(kind,),
            )
            for kind, count in sizes.items()
        }

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.shutdown()

    def add_task(self, task: Task) -> None:
        """Queues a request in its pool, or in REFUSAL when its pool is full."""
        # The deadline of the request counts from here, so that the wait for a
        # thread is included.
        task.requests[0].arrived_at = time.monotonic()
        kind = self._reserve(self._classify(task.requests[0]))
        self._pools[kind].submit(self._serve, kind, task)

    def shutdown(
        self, cancel_pending: bool = True, timeout: float = 0.0
    ) -> bool:
        """Ends the threads; waitress defines the names of the arguments."""
        del timeout
        for pool in self._pools.values():
            pool.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _reserve(self, kind: PoolKind) -> PoolKind:
        with self._lock:
            if self._task_counts[kind] >= self._capacity[kind]:
                kind = PoolKind.REFUSAL
            self._task_counts[kind] += 1
            return kind

    def _serve(self, kind: PoolKind, task: Task) -> None:
        try:
            task.service()
        finally:
            with self._lock:
                self._task_counts[kind] -= 1


def _set_pool_kind(kind: PoolKind) -> None:
    _current.kind = kind
