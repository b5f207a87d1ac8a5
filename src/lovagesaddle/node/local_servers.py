"""The backend servers that announced themselves to this node."""

import contextlib
import dataclasses
import hmac
import secrets
import threading
import time
from typing import Any

from lovagesaddle.core import errors
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports

TOKEN_PREFIX = "local-"
TOKEN_BYTES = 24
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What a backend server says of itself.

    Attributes:
      service: Name of the service it runs.
      address: `ip:port` where it answers HTTP.
      slots: Requests that it runs at a time.
      connections: Connections that it accepts.
      instance: Name that it gives itself; empty for none.
      born_ms: Start of its life, in milliseconds since 1970; 0 when unknown.
      is_warm: Whether it has run for a while.
    """

    service: str
    address: str
    slots: int
    connections: int
    instance: str = ""
    born_ms: int = 0
    is_warm: bool = False


class AnnouncementError(errors.LovagesaddleError):
    """Raised for an announcement that can't be taken."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    announcement: Announcement
    server: snapshots.BackendServer
    token: str
    misses: int = 0


class LocalServers:
    """Keeps announcements, their tokens and their owners.

    Args:
      node_id: Of this node.
      owner: Admits work to the servers.
    """

    def __init__(self, *, node_id: str, owner: owner_lib.Owner) -> None:
        self._node_id = node_id
        self._owner = owner
        self._control: ports.ControlPort | None = None
        self._entries: dict[str, _Entry] = {}
        self._services_by_token: dict[str, str] = {}
        self._lock = threading.RLock()

    def connect(self, control: ports.ControlPort) -> None:
        """Reports to the control thread from now on."""
        with self._lock:
            self._control = control
            for entry in self._entries.values():
                control.announce_server(entry.server)

    def announce(self, announcement: Announcement) -> str:
        """Takes a new announcement, or the same one again.

        Returns:
          The token that the server's own calls carry.
        """
        with self._lock:
            held = self._entries.get(announcement.service)
            if held is None or not self._holds(held, announcement):
                return self._open(announcement)
            self._owner.revive(held.server.server_id)
            return held.token

    def lock_changes(self) -> contextlib.AbstractContextManager[Any]:
        """Keeps other threads from changes while a context is open."""
        return self._lock

    def find_announcement(self, service: str) -> Announcement | None:
        """Returns the announcement of a service that holds, or None."""
        entry = self._entries.get(service)
        return None if entry is None else entry.announcement

    def update(self, announcement: Announcement) -> None:
        """Takes a newer word of the life that is held.

        A server that drains goes on draining.
        """
        with self._lock:
            entry = self._get_entry(announcement.service, "confirm")
            entry.announcement = announcement
            if entry.server.state is not snapshots.ServerState.DRAINING:
                self.announce(announcement)

    def drain(self, service: str) -> None:
        """Stops new work to a server; what runs is finished.

        Raises:
          AnnouncementError: The service is not announced here.
        """
        with self._lock:
            entry = self._get_entry(service, "drain")
            entry.server = dataclasses.replace(
                entry.server, state=snapshots.ServerState.DRAINING
            )
            self._owner.drain(entry.server.server_id)
            self._report(entry.server)

    def withdraw_all(self, reason: str) -> None:
        """Withdraws every server, after the drain of the node."""
        with self._lock:
            for service in tuple(self._entries):
                self.withdraw(service, reason)

    def drain_server(self, server_id: str) -> None:
        """Drains a server that is announced; one that is gone needs none."""
        with self._lock:
            for service, entry in tuple(self._entries.items()):
                if entry.server.server_id == server_id:
                    self.drain(service)

    def list_server_ids(self) -> tuple[str, ...]:
        """Returns the IDs of the announced servers."""
        with self._lock:
            return tuple(e.server.server_id for e in self._entries.values())

    def withdraw(self, service: str, reason: str) -> None:
        """Forgets a server that is gone.

        Raises:
          AnnouncementError: The service is not announced here.
        """
        with self._lock:
            entry = self._get_entry(service, "withdraw")
            del self._entries[service]
            self._services_by_token.pop(entry.token, None)
            self._owner.close(entry.server.server_id, reason)
            if self._control is not None:
                self._control.withdraw_server(
                    entry.server.server_id, entry.server.incarnation
                )

    def find_service_by_token(self, token: str) -> str:
        """Returns the local service that holds a token, or an empty string."""
        if not token.startswith(TOKEN_PREFIX):
            return ""
        for known, service in tuple(self._services_by_token.items()):
            if hmac.compare_digest(known, token):
                return service
        return ""

    def list_announcements(self) -> tuple[Announcement, ...]:
        """Returns every announcement that holds."""
        with self._lock:
            return tuple(e.announcement for e in self._entries.values())

    def record_probe_failure(self, service: str) -> int:
        """Counts a failed probe; returns how many failed in a row."""
        with self._lock:
            entry = self._entries.get(service)
            if entry is None:
                return 0
            entry.misses += 1
            self._owner.mark_down(entry.server.server_id)
            return entry.misses

    def record_probe_success(self, service: str) -> None:
        """Counts a probe that connected."""
        with self._lock:
            entry = self._entries.get(service)
            if entry is None:
                return
            entry.misses = 0
            if self._owner.is_dead(entry.server.server_id):
                self._open(entry.announcement)
            else:
                self._owner.revive(entry.server.server_id)

    def _holds(self, held: _Entry, announcement: Announcement) -> bool:
        serving = held.server.state is snapshots.ServerState.SERVING
        alive = not self._owner.is_dead(held.server.server_id)
        return serving and alive and held.announcement == announcement

    def _open(self, announcement: Announcement) -> str:
        held = self._entries.get(announcement.service)
        token = held.token if held is not None else _create_token()
        entry = _Entry(
            announcement=announcement,
            server=self._describe(announcement, held),
            token=token,
        )
        self._entries[announcement.service] = entry
        self._services_by_token[token] = announcement.service
        self._owner.open(
            entry.server, announcement.address, announcement.instance
        )
        self._report(entry.server)
        return token

    def _get_entry(self, service: str, step: str) -> _Entry:
        entry = self._entries.get(service)
        if entry is None:
            raise AnnouncementError(
                step=step,
                peer=service,
                cause=f'service "{service}" is not announced here',
            )
        return entry

    def _report(self, server: snapshots.BackendServer) -> None:
        if self._control is not None:
            self._control.announce_server(server)

    def _describe(
        self, announcement: Announcement, held: _Entry | None
    ) -> snapshots.BackendServer:
        least = held.server.incarnation + 1 if held is not None else 0
        return snapshots.BackendServer(
            server_id=f"{self._node_id}/{announcement.service}",
            incarnation=max(least, int(time.time() * MS_PER_S)),
            service=announcement.service,
            node_id=self._node_id,
            slots=announcement.slots,
            connections=announcement.connections,
            state=snapshots.ServerState.SERVING,
            is_warm=announcement.is_warm,
        )


def _create_token() -> str:
    return TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)
