"""Encodes and decodes commands of log entries, compressing large ones."""

import zlib

from lovagesaddle.core import errors
from lovagesaddle.core.model import commands

# Commands that fit into one or two datagrams gain nothing from compression.
COMPRESSION_THRESHOLD_BYTES = 4 * 1024
# Compression blocks the leader, and higher levels save little more space.
COMPRESSION_LEVEL = 1
# Four times the size of the largest document that a replica accepts.
MAX_UNCOMPRESSED_BYTES = 64 * 1024 * 1024


def encode(command: commands.StoredCommand) -> bytes:
    """Returns `command` as the payload of a log entry."""
    data = commands.COMMANDS.encode(command)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return data
    compressed = zlib.compress(data, COMPRESSION_LEVEL)
    return commands.COMMANDS.encode(commands.PackedCommand(data=compressed))


def decode(payload: bytes, *, peer: str) -> commands.StoredCommand:
    """Returns the command in a payload of this or an earlier release.

    Args:
      payload: Payload that `encode` returned.
      peer: Origin of the payload, for the error.

    Raises:
      errors.CodecError: The payload is malformed or too large, or its kind
        is unknown.
    """
    command = commands.COMMANDS.decode(payload, peer=peer)
    if not isinstance(command, commands.PackedCommand):
        return command
    unpacked = commands.COMMANDS.decode(
        _decompress(command.data, peer), peer=peer
    )
    if isinstance(unpacked, commands.PackedCommand):
        raise _make_error(peer, "command is compressed twice")
    return unpacked


def _decompress(compressed: bytes, peer: str) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise _make_error(peer, str(error)) from error
    if not decompressor.eof:
        raise _make_error(peer, "command is truncated or too large")
    return data


def _make_error(peer: str, cause: str) -> errors.CodecError:
    return errors.CodecError(step="unpack command", peer=peer, cause=cause)
