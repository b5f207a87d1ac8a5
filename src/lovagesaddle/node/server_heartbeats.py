"""Registers and withdraws the backend server of this VM by its heartbeats.

`platform.heartbeats` parses the calls; the decisions are made here.
"""

from collections.abc import Callable
import dataclasses

from lovagesaddle import clocks
from lovagesaddle.core.membership import heartbeat_order
from lovagesaddle.core.membership import server_confirmation
from lovagesaddle.node import local_servers
from lovagesaddle.observability import logs

Announcement = local_servers.Announcement
HealthCheck = Callable[[Announcement], server_confirmation.Health | None]
_log = logs.get_logger("beats")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Unconfirmed:
    """A heartbeat of a server that isn't registered yet."""

    stamp: heartbeat_order.HeartbeatStamp
    announcement: Announcement
    is_leaving: bool


class ServerHeartbeats:
    """Registers and withdraws the local backend server by its heartbeats.

    At most one server runs on this VM at a time. A message that arrives out of
    order changes nothing. As long as no server is known, a heartbeat counts
    only if the server at the address confirms it.

    Args:
      servers: Registry of the local servers.
      check_health: Asks the server at the address of an announcement; None if
        it doesn't answer.
      read_clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        servers: local_servers.LocalServers,
        *,
        check_health: HealthCheck,
        read_clock: Callable[[], float] = clocks.read_uptime,
    ) -> None:
        self._servers = servers
        self._check_health = check_health
        self._read_clock = read_clock
        self._order = heartbeat_order.HeartbeatOrder()
        self._started_at = read_clock()
        self._unconfirmed: _Unconfirmed | None = None
        self._is_confirmed = False
        self._leaving_instance = ""
        self._service = ""

    @property
    def service(self) -> str:
        """Service named by the newest heartbeat; empty before the first."""
        return self._service

    def handle_heartbeat(
        self, announcement: Announcement, sequence: int, *, is_leaving: bool
    ) -> None:
        """Applies a server's periodic heartbeat.

        Once this returns, a server that is leaving gets no new requests.

        Args:
          announcement: The server's description of itself.
          sequence: Number that rises with each heartbeat of a server process.
          is_leaving: Whether the server asks for no new requests.
        """
        stamp = heartbeat_order.HeartbeatStamp(
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            sequence=sequence,
        )
        with self._servers.lock_changes():
            if not self._order.accept(stamp):
                _log.info(
                    "beat_passed_over",
                    service=announcement.service,
                    instance=announcement.instance,
                    born_ms=announcement.born_ms,
                    sequence=sequence,
                )
                return
            if is_leaving:
                self._leaving_instance = announcement.instance
            if self._is_known(announcement):
                self._apply(announcement, is_leaving=is_leaving)
                return
        # Other messages are handled while the server is asked.
        health = self._check_health(announcement)
        with self._servers.lock_changes():
            if not self._order.is_newest(stamp):
                return
            if self._is_known(announcement) or server_confirmation.confirms(
                stamp,
                health,
                node_age_s=self._read_clock() - self._started_at,
            ):
                self._apply(announcement, is_leaving=is_leaving)
                return
            self._unconfirmed = _Unconfirmed(
                stamp=stamp, announcement=announcement, is_leaving=is_leaving
            )
        _log.info(
            "server_unconfirmed",
            service=announcement.service,
            instance=announcement.instance,
            sequence=sequence,
            found="" if health is None else health.instance,
            serving=health is not None and health.is_serving,
        )

    def handle_deregistration(self, instance: str, born_ms: int) -> None:
        """Withdraws a server that is stopping; it gets no new requests.

        Args:
          instance: Instance ID of the server.
          born_ms: Start time of its process, in milliseconds since 1970; 0 if
            it was not sent.
        """
        with self._servers.lock_changes():
            is_latest = self._order.record_stop(instance, born_ms)
            if is_latest or not born_ms:
                self._leaving_instance = instance
            for known in self._servers.list_announcements():
                is_discovered = not known.born_ms
                if known.instance == instance and (is_latest or is_discovered):
                    self._servers.withdraw(known.service, "it said farewell")

    def confirm(self, instance: str) -> bool:
        """Registers the server of the newest heartbeat, if it was found.

        Args:
          instance: Instance ID of the server that was found to be serving.

        Returns:
          Whether a server is known now, so that discovery is finished.
        """
        with self._servers.lock_changes():
            waiting = self._unconfirmed
            if (
                waiting is not None
                and waiting.announcement.instance == instance
                and not waiting.is_leaving
                and self._order.is_newest(waiting.stamp)
            ):
                self._apply(waiting.announcement, is_leaving=False)
            return not self.needs_discovery()

    def add_discovered(self, announcement: Announcement) -> bool:
        """Registers a server that was found through its health endpoint.

        A server that has reported that it is leaving is not registered.

        Returns:
          Whether a server is known now, so that discovery is finished.
        """
        with self._servers.lock_changes():
            if self.needs_discovery():
                if self._leaving_instance == announcement.instance:
                    return False
                self._service = announcement.service
                self._servers.announce(announcement)
            return True

    def needs_discovery(self) -> bool:
        """Returns whether no server is known yet."""
        return not (self._is_confirmed or self._servers.list_announcements())

    def _is_known(self, announcement: Announcement) -> bool:
        """Returns whether a heartbeat needs no confirmation.

        Once a heartbeat was confirmed, the order of later ones tells late ones.
        """
        return self._is_confirmed or any(
            _is_same_process(known, announcement)
            for known in self._servers.list_announcements()
        )

    def _apply(self, announcement: Announcement, *, is_leaving: bool) -> None:
        self._is_confirmed = True
        self._unconfirmed = None
        self._service = announcement.service
        self._withdraw_others(announcement.service)
        if is_leaving:
            self._handle_leaving(announcement)
        else:
            self._handle_serving(announcement)

    def _withdraw_others(self, service: str) -> None:
        """Withdraws servers of other services, whose address was reused."""
        for known in self._servers.list_announcements():
            if known.service != service:
                self._servers.withdraw(
                    known.service, f"service {service} runs here now"
                )

    def _handle_leaving(self, announcement: Announcement) -> None:
        service = announcement.service
        known = self._servers.find_announcement(service)
        if known is None:
            return
        if _is_same_process(known, announcement):
            self._servers.drain(service)
        else:
            # The registered server has ended, since another one runs here.
            self._servers.withdraw(
                service, f"{announcement.instance} took its place"
            )

    def _handle_serving(self, announcement: Announcement) -> None:
        known = self._servers.find_announcement(announcement.service)
        if known is not None and _is_same_process(known, announcement):
            self._servers.update(announcement)
        else:
            self._servers.announce(announcement)


def _is_same_process(known: Announcement, other: Announcement) -> bool:
    """Returns whether two announcements are of one server process.

    The start time is unknown for a server that was found through its health
    endpoint.
    """
    if known.instance != other.instance:
        return False
    return known.born_ms in (0, other.born_ms)
