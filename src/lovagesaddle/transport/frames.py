"""Encodes channel, sender and message as one frame between processes."""

import dataclasses
import enum

HEADER_BYTES = 2


class Channel(enum.Enum):
    """Subsystem of the receiving process that a message is for."""

    CONSENSUS = 1
    DISTRIBUTION = 2
    OPERATOR = 3
    CLAIMS = 4
    QUOTAS = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message received from another process.

    Attributes:
      sender_id: ID that the sender states for itself.
      route: Connection to answer on with `Endpoint.answer`; empty when the
        message came over a connection that this process opened.
      channel: Subsystem that the message is for.
      data: Encoded message.
    """

    sender_id: str
    route: bytes
    channel: Channel
    data: bytes


def encode(sender_id: bytes, channel: Channel, data: bytes) -> bytes:
    """Encodes a message as a frame."""
    return bytes((channel.value, len(sender_id))) + sender_id + data


def parse(route: bytes, frame: bytes) -> Received | None:
    """Decodes a frame; returns None if it is malformed."""
    if len(frame) < HEADER_BYTES or len(frame) < HEADER_BYTES + frame[1]:
        return None
    end = HEADER_BYTES + frame[1]
    try:
        return Received(
            sender_id=frame[HEADER_BYTES:end].decode(),
            route=route,
            channel=Channel(frame[0]),
            data=frame[end:],
        )
    except ValueError:
        return None
