"""Counts the frames that a process sends and receives, by kind."""

import dataclasses
import enum

SHORT_FRAME_BYTES = 255
SHORT_HEADER_BYTES = 2
LONG_HEADER_BYTES = 9
ENCRYPTION_HEADER_BYTES = 33


class Direction(enum.Enum):
    """Direction of a frame."""

    SENT = "sent"
    RECEIVED = "received"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindCount:
    """Count of the frames of one kind.

    Attributes:
      direction: Direction of the frames.
      channel: Number of the channel.
      kind: First byte of the message, without the compression bit.
      frames: Number of frames.
      size: Total size in bytes, including ZMTP and encryption headers.
    """

    direction: Direction
    channel: int
    kind: int
    frames: int
    size: int


class Traffic:
    """Counts frames. One thread counts; any thread may read.

    Args:
      encrypted: Whether the links are encrypted, which adds a header to each
        frame.
    """

    def __init__(self, *, encrypted: bool) -> None:
        self._encrypted = encrypted
        self._frames: dict[tuple[Direction, int, int], int] = {}
        self._sizes: dict[tuple[Direction, int, int], int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes of all frames in both directions."""
        return self._total

    def count(
        self, direction: Direction, channel: int, data: bytes, size: int
    ) -> None:
        """Counts one frame.

        Args:
          direction: Direction of the frame.
          channel: Number of the channel.
          data: The message, whose first byte is its kind.
          size: Size of the frame in bytes, without its ZMTP header.
        """
        key = (direction, channel, data[0] & 0x7F if data else 0)
        short = size <= SHORT_FRAME_BYTES
        size += SHORT_HEADER_BYTES if short else LONG_HEADER_BYTES
        size += ENCRYPTION_HEADER_BYTES if self._encrypted else 0
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
