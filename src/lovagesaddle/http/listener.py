"""Listening socket of an HTTP server that finishes its requests."""

from collections.abc import Callable
import threading
from typing import Any

from waitress import server
from waitress import wasyncore

from lovagesaddle.http import channels
from lovagesaddle.http import event_loop


class Listener(server.TcpWSGIServer):  # type: ignore[misc]
    """Listening socket of an HTTP server, with its connections and its loop."""

    channel_class = channels.Channel
    stopping = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.loop = event_loop.EventLoop(self._map)
        # Reentrant: work that the loop runs while it holds this lock may call
        # `wake`, which takes the lock again.
        self.trigger.lock = threading.RLock()

    def run(self) -> None:
        """Runs the loop until every socket is closed."""
        self.loop.run()

    def pull_trigger(self) -> None:
        """Wakes the loop, unless the current answer needs nothing from it."""
        served = channels.get_served()
        if served is None:
            self.loop.mark_all_changed()
            self.wake()
        elif served.needs_loop:
            self.loop.mark_changed(served._fileno)
            self.wake()

    def wake(self, work: Callable[[], None] | None = None) -> bool:
        """Wakes the loop from any thread, and runs `work` on the loop's thread.

        Returns:
          False when the loop and its descriptors are closed. Nothing is written
          then, since their numbers may have been reused.
        """
        # The loop also holds this lock while it runs work, such as closing
        # itself, so it cannot close between the check and the write below.
        with self.trigger.lock:
            if self.trigger._closed:
                return False
            if work is not None:
                self.trigger.thunks.append(work)
            self.trigger._physical_pull()
        return True

    def stop_listening(self) -> None:
        """Accepts pending connections, then closes the listener."""
        self.stopping = True
        before = -1
        while before != len(self.active_channels):
            before = len(self.active_channels)
            self.handle_accept()
        self.accepting = False
        self.loop.mark_all_changed()
        wasyncore.dispatcher.close(self)

    def close_idle(self, idle_since: float) -> None:
        """Closes connections without a request since `idle_since`."""
        for connection in tuple(self.active_channels.values()):
            if (
                connection.idle
                and connection.last_activity < idle_since
                and not connection.has_unread_input
            ):
                connection.will_close = True
        self.loop.mark_all_changed()

    def maintenance(self, now: float) -> None:
        """Closes connections that were idle or sent no whole request for long.

        Unlike waitress's method, it leaves one whose input is not read yet.
        """
        overdue_since = now - self.adj.channel_timeout
        for connection in tuple(self.active_channels.values()):
            if (
                not connection.requests
                and connection.last_activity < overdue_since
                and not connection.has_unread_input
            ):
                connection.will_close = True

    def list_open_requests(self) -> tuple[channels.OpenRequest, ...]:
        """Returns the requests that have arrived and have no whole answer."""
        return tuple(
            request
            for connection in tuple(self.active_channels.values())
            for request in connection.list_open_requests()
        )

    def close_all(self) -> None:
        """Closes every connection, also those with open requests."""
        for connection in tuple(self.active_channels.values()):
            connection.will_close = True
        self.loop.mark_all_changed()
