"""Frames between processes: channel, sender and message in one piece."""

import dataclasses
import enum

HEAD_BYTES = 2


class Channel(enum.Enum):
    """Which part of the receiving process a message is for."""

    CONSENSUS = 1
    DISTRIBUTION = 2
    OPERATOR = 3
    CLAIMS = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message that arrived.

    Attributes:
      sender_id: Name that the sender gives itself.
      route: Connection to answer on with `Endpoint.answer`; empty when the
        message came over a connection of this process's own making.
      channel: Part it is for.
      data: Encoded message.
    """

    sender_id: str
    route: bytes
    channel: Channel
    data: bytes


def encode(sender_id: bytes, channel: Channel, data: bytes) -> bytes:
    """Returns the frame of a message."""
    return bytes((channel.value, len(sender_id))) + sender_id + data


def parse(route: bytes, frame: bytes) -> Received | None:
    """Returns what a frame holds, or None when it is damaged."""
    if len(frame) < HEAD_BYTES or len(frame) < HEAD_BYTES + frame[1]:
        return None
    end = HEAD_BYTES + frame[1]
    try:
        return Received(
            sender_id=frame[HEAD_BYTES:end].decode(),
            route=route,
            channel=Channel(frame[0]),
            data=frame[end:],
        )
    except ValueError:
        return None
