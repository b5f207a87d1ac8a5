"""Registers the backend servers that announced themselves to this node."""

import contextlib
import dataclasses
import hmac
import secrets
import threading
import time
from typing import Any

import msgspec

from lovagesaddle.core import errors
from lovagesaddle.core.model import snapshots
from lovagesaddle.node import owner as owner_lib
from lovagesaddle.node import ports

TOKEN_PREFIX = "local-"
TOKEN_BYTES = 24
MS_PER_S = 1000
MAX_SLOTS = snapshots.MAX_SLOTS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """Describes a backend server that announced itself or was discovered.

    Attributes:
      service: Name of the service it runs.
      address: `ip:port` where it answers HTTP.
      slots: Number of requests that it runs at a time.
      connections: Number of connections that it accepts.
      instance: Instance ID that the server chose; empty for none.
      born_ms: Start time of its process, in milliseconds since 1970; 0 if
        unknown.
      is_warm: Whether it is past the slow period after its start.
      software: Version of its software; empty if it is unknown or versions are
        not rolled out.
    """

    service: str
    address: str
    slots: int
    connections: int
    instance: str = ""
    born_ms: int = 0
    is_warm: bool = False
    software: str = ""


class AnnouncementError(errors.LovagesaddleError):
    """Raised if a request names a service that is not announced here."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    announcement: Announcement
    server: snapshots.BackendServer
    token: str
    probe_failures: int = 0
    states_leaving: bool = False

    @property
    def is_draining(self) -> bool:
        """Whether the server was told to leave, or said that it leaves."""
        return self.server.state is snapshots.ServerState.DRAINING


class LocalServers:
    """Holds the announced servers and their tokens, and reports changes.

    Args:
      node_id: ID of this node.
      owner: Admits requests to the servers.
      rolls_out: Whether versions of services' software are rolled out; they are
        not reported otherwise.
    """

    def __init__(
        self,
        *,
        node_id: str,
        owner: owner_lib.Owner,
        rolls_out: bool = False,
    ) -> None:
        self._rolls_out = rolls_out
        self._node_id = node_id
        self._owner = owner
        self._control: ports.ControlPort | None = None
        self._drains_all = False
        self._entries: dict[str, _Entry] = {}
        self._services_by_token: dict[str, str] = {}
        self._lock = threading.RLock()
        owner.watch_leaving(self._drain_leaving)

    def connect(self, control: ports.ControlPort) -> None:
        """Reports all servers to the control thread, and later changes."""
        with self._lock:
            self._control = control
            for entry in self._entries.values():
                control.announce_server(entry.server)

    def announce(self, announcement: Announcement) -> str:
        """Registers a server, or confirms the one that is registered.

        Returns:
          The token that the server sends with its own calls.
        """
        with self._lock:
            known = self._entries.get(announcement.service)
            if known is None or not self._is_current(known, announcement):
                return self._open(announcement)
            self._owner.mark_up(known.server.server_id)
            return known.token

    def lock_changes(self) -> contextlib.AbstractContextManager[Any]:
        """Returns a context that excludes changes by other threads."""
        return self._lock

    def find_announcement(self, service: str) -> Announcement | None:
        """Returns the current announcement of a service, or None."""
        entry = self._entries.get(service)
        return None if entry is None else entry.announcement

    def update(self, announcement: Announcement) -> None:
        """Stores a newer announcement of the registered server process.

        A server that is draining stays in that state.
        """
        with self._lock:
            entry = self._get_entry(announcement.service, "confirm")
            entry.announcement = announcement
            software = self._get_software(announcement)
            is_new = entry.server.software != software
            # A server found through its health endpoint has no version yet.
            entry.server = dataclasses.replace(entry.server, software=software)
            self._owner.identify(entry.server, announcement.born_ms)
            if is_new:
                self._report_server(entry.server)
            if not entry.is_draining:
                self.announce(announcement)

    def drain(self, service: str) -> None:
        """Stops new requests to a server; running ones are finished.

        Raises:
          AnnouncementError: The service is not announced here.
        """
        with self._lock:
            entry = self._get_entry(service, "drain")
            entry.server = dataclasses.replace(
                entry.server, state=snapshots.ServerState.DRAINING
            )
            self._owner.drain(entry.server.server_id)
            self._report_server(entry.server)

    def withdraw_all(self, reason: str) -> None:
        """Withdraws every server; called once the node is drained."""
        with self._lock:
            for service in tuple(self._entries):
                self.withdraw(service, reason)

    def drain_all(self) -> None:
        """Drains every server, also those that are announced from now on."""
        with self._lock:
            self._drains_all = True
            for service in tuple(self._entries):
                self.drain(service)

    def withdraw(self, service: str, reason: str) -> None:
        """Removes a server that is gone.

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
        """Returns the service that a token was issued to, or ""."""
        if not token.startswith(TOKEN_PREFIX):
            return ""
        for known, service in tuple(self._services_by_token.items()):
            if hmac.compare_digest(known, token):
                return service
        return ""

    def list_announcements(self) -> tuple[Announcement, ...]:
        """Returns the current announcements of all services."""
        with self._lock:
            return tuple(e.announcement for e in self._entries.values())

    def record_probe_failure(self, service: str) -> int:
        """Marks a server down; returns the number of failures in a row."""
        with self._lock:
            entry = self._entries.get(service)
            if entry is None:
                return 0
            entry.probe_failures += 1
            # Whatever listens there next is another process.
            entry.states_leaving = False
            self._owner.mark_down(entry.server.server_id)
            return entry.probe_failures

    def record_probe_success(self, service: str) -> None:
        """Resets the failure count and admits requests again."""
        with self._lock:
            entry = self._entries.get(service)
            if entry is None:
                return
            entry.probe_failures = 0
            if self._owner.has_crashed(entry.server.server_id):
                # A server that was drained has to announce itself again.
                if not entry.is_draining:
                    self._open(entry.announcement)
            else:
                self._owner.mark_up(entry.server.server_id)

    def _drain_leaving(self, server_id: str, incarnation: int) -> None:
        """Drains a server whose answers state that it is leaving."""
        with self._lock:
            for service, entry in tuple(self._entries.items()):
                server = entry.server
                if (server.server_id, server.incarnation) == (
                    server_id,
                    incarnation,
                ):
                    entry.states_leaving = True
                    self.drain(service)

    def _is_current(self, known: _Entry, announcement: Announcement) -> bool:
        # A server that states that it is leaving may announce itself as before.
        serving = (
            known.states_leaving
            or known.server.state is snapshots.ServerState.SERVING
        )
        alive = not self._owner.has_crashed(known.server.server_id)
        return serving and alive and known.announcement == announcement

    def _open(self, announcement: Announcement) -> str:
        known = self._entries.get(announcement.service)
        token = known.token if known is not None else _create_token()
        entry = _Entry(
            announcement=announcement,
            server=self._make_server(announcement, known),
            token=token,
        )
        self._entries[announcement.service] = entry
        self._services_by_token[token] = announcement.service
        self._owner.open(
            entry.server,
            announcement.address,
            announcement.instance,
            announcement.born_ms,
        )
        if self._drains_all:
            self.drain(announcement.service)
        else:
            self._report_server(entry.server)
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

    def _report_server(self, server: snapshots.BackendServer) -> None:
        if self._control is not None:
            self._control.announce_server(server)

    def _make_server(
        self, announcement: Announcement, known: _Entry | None
    ) -> snapshots.BackendServer:
        min_incarnation = (
            known.server.incarnation + 1 if known is not None else 0
        )
        return snapshots.BackendServer(
            server_id=f"{self._node_id}/{announcement.service}",
            incarnation=max(min_incarnation, int(time.time() * MS_PER_S)),
            service=announcement.service,
            node_id=self._node_id,
            slots=announcement.slots,
            connections=announcement.connections,
            state=snapshots.ServerState.SERVING,
            is_warm=announcement.is_warm,
            software=self._get_software(announcement),
        )

    def _get_software(
        self, announcement: Announcement
    ) -> str | msgspec.UnsetType:
        """Returns the version to report; unset if none is rolled out."""
        if not self._rolls_out:
            return msgspec.UNSET
        return announcement.software or msgspec.UNSET


def _create_token() -> str:
    return TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)
