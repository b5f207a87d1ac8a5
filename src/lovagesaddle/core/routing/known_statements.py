"""What an entry node knows of the statements of backend servers.

An owner that restarts forgets what its server has stated, while the entry
nodes that passed the answers on still know. They send it along with their
attempts, so that the owner keeps to it before its server has answered again.
"""

import collections
import dataclasses

# Far more than the servers that a node picks from; the oldest is forgotten.
MAX_SERVERS = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownStatement:
    """What one process of a backend server has stated.

    Attributes:
      instance: Instance ID of the server; empty if it has none.
      born_ms: Start of its process, in milliseconds since 1970; 0 if unknown.
      rate_limit: Requests a second that it takes; None without a limit.
      is_leaving: Whether it takes no new requests.
    """

    instance: str
    born_ms: int
    rate_limit: float | None = None
    is_leaving: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the server states neither a limit nor that it leaves."""
        return self.rate_limit is None and not self.is_leaving

    def may_concern(self, instance: str, born_ms: int) -> bool:
        """Returns whether a process may be the one that stated this."""
        if not instance or self.instance != instance:
            return False
        return self.born_ms == born_ms or 0 in (self.born_ms, born_ms)


class KnownStatements:
    """Holds the newest statement of each server that has made one."""

    def __init__(self) -> None:
        self._known: collections.OrderedDict[str, KnownStatement] = (
            collections.OrderedDict()
        )

    def find(self, server_id: str) -> KnownStatement | None:
        """Returns what a server is known to have stated, or None."""
        return self._known.get(server_id)

    def record(self, server_id: str, stated: KnownStatement) -> None:
        """Records what an owner reports of its server.

        A process that was leaving stays so.
        """
        before = self._known.pop(server_id, None)
        if before is not None and before.is_leaving:
            same = before.may_concern(stated.instance, stated.born_ms)
            if same and not stated.is_leaving:
                stated = dataclasses.replace(stated, is_leaving=True)
        if stated.is_empty:
            return
        self._known[server_id] = stated
        if len(self._known) > MAX_SERVERS:
            self._known.popitem(last=False)
