"""Commands as the bytes of log entries, large ones packed."""

import zlib

from lovagesaddle.core import errors
from lovagesaddle.core.model import commands

# What a datagram or two carry gains nothing by being smaller.
COMPRESSION_THRESHOLD_BYTES = 4 * 1024
# Packing holds up the leader, and higher levels save little more.
COMPRESSION_LEVEL = 1
# Four times the largest document that a replica takes.
MAX_UNCOMPRESSED_BYTES = 64 * 1024 * 1024


def encode(command: commands.StoredCommand) -> bytes:
    """Returns the payload of a log entry."""
    plain = commands.COMMANDS.encode(command)
    if len(plain) < COMPRESSION_THRESHOLD_BYTES:
        return plain
    packed = zlib.compress(plain, COMPRESSION_LEVEL)
    return commands.COMMANDS.encode(commands.PackedCommand(data=packed))


def decode(payload: bytes, *, peer: str) -> commands.StoredCommand:
    """Returns the command in a payload, also in one of an earlier release.

    Args:
      payload: What `encode` returned.
      peer: Where it came from, for the error.

    Raises:
      errors.CodecError: The payload is malformed, too large or unknown.
    """
    command = commands.COMMANDS.decode(payload, peer=peer)
    if not isinstance(command, commands.PackedCommand):
        return command
    plain = commands.COMMANDS.decode(_unpack(command.data, peer), peer=peer)
    if isinstance(plain, commands.PackedCommand):
        raise _refuse(peer, "command is packed twice")
    return plain


def _unpack(packed: bytes, peer: str) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise _refuse(peer, str(error)) from error
    if not unpacker.eof:
        raise _refuse(peer, "command is cut off or too large")
    return plain


def _refuse(peer: str, cause: str) -> errors.CodecError:
    return errors.CodecError(step="unpack command", peer=peer, cause=cause)
