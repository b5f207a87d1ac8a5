"""Decodes messages of other nodes; one that is malformed is logged."""

from typing import Any, TypeVar

from lovagesaddle.core import codec
from lovagesaddle.core import errors

T = TypeVar("T")


def decode(
    registry: codec.Registry[T], data: bytes, *, peer: str, log: Any
) -> T | None:
    """Returns the message, or None if it can't be decoded.

    Args:
      registry: Messages of the channel.
      data: Encoded message.
      peer: ID of the sender.
      log: Logger of the part that receives the message.
    """
    try:
        return registry.decode(data, peer=peer)
    except errors.CodecError as error:
        log.warning(
            "message_dropped",
            step=error.step,
            peer=error.peer,
            cause=error.cause,
        )
        return None
