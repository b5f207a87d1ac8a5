"""What the server on this VM says of itself, in beats and a farewell."""

from lovagesaddle.core.membership import sightings
from lovagesaddle.node import local_servers
from lovagesaddle.observability import logs

FIRST_SEQUENCE = 1
Announcement = local_servers.Announcement
_log = logs.get_logger("beats")


class ServerHeartbeats:
    """Turns a server's words into what the node believes of it.

    All words are of the one server that runs on this VM at a time; a late one
    changes nothing.

    Args:
      servers: The servers that the node believes in.
    """

    def __init__(self, servers: local_servers.LocalServers) -> None:
        self._servers = servers
        self._order = sightings.SightingOrder()
        self._unconfirmed = ""
        self._left = ""
        self._service = ""

    @property
    def service(self) -> str:
        """Service that runs on this VM by the newest beat, or nothing."""
        return self._service

    def handle_heartbeat(
        self, announcement: Announcement, sequence: int, *, is_leaving: bool
    ) -> None:
        """Takes a server's periodic word about itself.

        Once this returns, a server that is leaving is handed no new work.

        Args:
          announcement: What the server says of itself.
          sequence: Rises with every word of one life.
          is_leaving: Whether it asks for no new work.
        """
        sighting = sightings.Sighting(
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            sequence=sequence,
        )
        with self._servers.lock_changes():
            if not self._order.admit(sighting):
                _log.info(
                    "beat_passed_over",
                    service=announcement.service,
                    instance=announcement.instance,
                    born_ms=announcement.born_ms,
                    sequence=sequence,
                )
                return
            self._service = announcement.service
            self._withdraw_others(announcement.service)
            if is_leaving:
                self._take_leaving(announcement)
            else:
                self._take_serving(announcement, sequence)

    def handle_deregistration(self, instance: str, born_ms: int) -> None:
        """Takes a server's last word; it is handed no new work any more.

        Args:
          instance: Name that it gives itself.
          born_ms: Start of its life; 0 when it did not say.
        """
        with self._servers.lock_changes():
            self._left = instance
            is_latest = self._order.end(instance, born_ms)
            for held in self._servers.list_announcements():
                is_discovered = not held.born_ms
                if held.instance == instance and (is_latest or is_discovered):
                    self._servers.withdraw(held.service, "it said farewell")

    def add_discovered(self, announcement: Announcement) -> bool:
        """Takes what a server's health endpoint said of it.

        Returns:
          Whether a server of the service is known now, so that there is
          nothing left to discover.
        """
        with self._servers.lock_changes():
            if self._servers.find_announcement(announcement.service) is None:
                if self._left == announcement.instance:
                    return False
                self._servers.announce(announcement)
            return True

    def needs_discovery(self, service: str) -> bool:
        """Returns whether no server of a service is known."""
        return self._servers.find_announcement(service) is None

    def _withdraw_others(self, service: str) -> None:
        """Ends servers of other services, whose address is used again."""
        for held in self._servers.list_announcements():
            if held.service != service:
                self._servers.withdraw(
                    held.service, f"service {service} runs here now"
                )

    def _take_leaving(self, announcement: Announcement) -> None:
        service = announcement.service
        self._left = announcement.instance
        held = self._servers.find_announcement(service)
        if held is None:
            return
        if _is_same_life(held, announcement):
            self._servers.drain(service)
        else:
            # The server that was here before has ended.
            self._servers.withdraw(
                service, f"{announcement.instance} took its place"
            )

    def _take_serving(self, announcement: Announcement, sequence: int) -> None:
        held = self._servers.find_announcement(announcement.service)
        if held is not None and _is_same_life(held, announcement):
            self._servers.update(announcement)
            return
        life = f"{announcement.instance}/{announcement.born_ms}"
        if sequence > FIRST_SEQUENCE and self._unconfirmed != life:
            # An earlier process of this node may have acknowledged that this
            # server leaves, and this word may be older than that one.
            self._unconfirmed = life
            _log.info(
                "server_unconfirmed",
                service=announcement.service,
                instance=announcement.instance,
                sequence=sequence,
            )
            return
        self._servers.announce(announcement)


def _is_same_life(held: Announcement, other: Announcement) -> bool:
    """Returns whether two words are of one life.

    A server that is known by its health endpoint only did not say when its
    life began.
    """
    if held.instance != other.instance:
        return False
    return held.born_ms in (0, other.born_ms)
