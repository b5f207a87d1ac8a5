"""Counts of the frames that a process sent and received, by kind."""

import dataclasses
import enum

SHORT_FRAME_BYTES = 255
SHORT_HEADER_BYTES = 2
LONG_HEADER_BYTES = 9
SEALED_HEADER_BYTES = 33


class Direction(enum.Enum):
    """Which way a frame went."""

    SENT = "sent"
    RECEIVED = "received"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindCount:
    """Frames of one kind.

    Attributes:
      direction: Which way they went.
      channel: Number of the channel.
      kind: First byte of the message, without the packing bit.
      frames: How many.
      size: Their bytes, framing included.
    """

    direction: Direction
    channel: int
    kind: int
    frames: int
    size: int


class Traffic:
    """Counts frames; one thread counts and any thread may read.

    Args:
      sealed: Whether the links are encrypted, which adds a header.
    """

    def __init__(self, *, sealed: bool) -> None:
        self._sealed = sealed
        self._frames: dict[tuple[Direction, int, int], int] = {}
        self._sizes: dict[tuple[Direction, int, int], int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes of every frame, both ways."""
        return self._total

    def count(
        self, direction: Direction, channel: int, data: bytes, size: int
    ) -> None:
        """Counts one frame.

        Args:
          direction: Which way it went.
          channel: Number of its channel.
          data: The message, whose first byte is its kind.
          size: Bytes of the frame without its header.
        """
        key = (direction, channel, data[0] & 0x7F if data else 0)
        short = size <= SHORT_FRAME_BYTES
        size += SHORT_HEADER_BYTES if short else LONG_HEADER_BYTES
        size += SEALED_HEADER_BYTES if self._sealed else 0
        self._frames[key] = self._frames.get(key, 0) + 1
        self._sizes[key] = self._sizes.get(key, 0) + size
        self._total += size

    def list_counts(self) -> tuple[KindCount, ...]:
        """Returns the counts so far, one for each kind and direction."""
        return tuple(
            KindCount(
                direction=key[0],
                channel=key[1],
                kind=key[2],
                frames=frames,
                size=self._sizes.get(key, 0),
            )
            for key, frames in tuple(self._frames.items())
        )
