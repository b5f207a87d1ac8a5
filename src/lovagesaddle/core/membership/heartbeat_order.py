"""Tells a backend server's newest word about itself from late ones."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatStamp:
    """One word of a backend server about itself.

    Attributes:
      instance: Name that the server gives itself; it may keep it for several
        lives.
      born_ms: Start of its life, in milliseconds since 1970; 0 when unknown.
      sequence: Rises with every word of one life.
    """

    instance: str
    born_ms: int
    sequence: int


class HeartbeatOrder:
    """The lives of the servers at one address, of which the latest counts.

    A word that was delayed by a partition may arrive when its sender is gone
    and another server has its place, so it is passed over.
    """

    def __init__(self) -> None:
        self._newest: HeartbeatStamp | None = None
        self._is_gone = False

    def accept(self, stamp: HeartbeatStamp) -> bool:
        """Returns whether a word is news, and remembers it."""
        held = self._newest
        if held is not None and not self._is_newer(held, stamp):
            return False
        self._newest = stamp
        self._is_gone = False
        return True

    def record_stop(self, instance: str, born_ms: int) -> bool:
        """Ends a life; returns whether it was the latest.

        Args:
          instance: Name of the server.
          born_ms: Start of the life that ends; 0 when the server did not say.
        """
        held = self._newest
        if held is None or held.instance != instance:
            return False
        if born_ms and born_ms < held.born_ms:
            return False
        self._is_gone = True
        return True

    def _is_newer(self, held: HeartbeatStamp, other: HeartbeatStamp) -> bool:
        if other.born_ms != held.born_ms:
            return other.born_ms > held.born_ms
        if other.instance != held.instance:
            return True
        return not self._is_gone and other.sequence > held.sequence
