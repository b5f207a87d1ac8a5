"""Encodes distribution messages as frames, compressed if that is smaller.

The messages themselves are defined in `messages`.

The preset dictionary holds the field names of the messages, which otherwise
make up most of a small message.
"""

import zlib

from lovagesaddle.core import errors
from lovagesaddle.core.distribution import messages

KIND_BYTES = 1
COMPRESSED_FLAG = 0x80
COMPRESSION_LEVEL = 6
WINDOW_BITS = -15  # Negative for raw deflate, without a zlib header.
MEMORY_LEVEL = 8
MIN_BYTES_TO_COMPRESS = 24
MAX_PLAIN_BYTES = 64 * 1024 * 1024
DICTIONARY = (
    b"idempotent\xc2callers\x90services\x90max_body_bytes\xce\x00"
    b"priority\xa6normalmethods\x91\xa3GET\xa4POST\xa3PUT\xa6DELETE"
    b"timeout_s\xcb\x40retries\x01path_prefix\xa1/host\xa4name"
    b"\xa7digests\xd9Gsha256:revision\x01routes\x90depends_on\x90"
    b"cluster_idserversnodesshardsholdersprevioustakesnumberepoch"
    b"base_versionbase_digestremoved_servicesremoved_nodesremoved_servers"
    b"lifehelperspeer_idaddressfloororigin_iddatasequence"
    b"\x87\xa7node_id\xa4node\xabincarnation\xcd\xaefailure_domain\xa6region"
    b"\xachttp_address\xa9127.0.0.1:\xafcontrol_address\xb0tcp://127.0.0.1:"
    b"\xaapublic_key\xa0\x87\xa9server_id\xabincarnation\x01\xa7service"
    b"\xa7node_id\xa5slots\x14\xabconnections\x64\xa5state\xa7serving"
    b"\xa8draining\x81\xa5marks\x91\x83\xabfingerprint\xc4\x10\xa7mark_id\xc4"
    b"\x10\xa5age_s\xcb\x81\xa8after_s\x84\xa5eager\xc3\xc2\xa7version\xcd"
    b"\xa6digest\xc4\x10\xa6groups\x90\x91\x82\xa7version\xcd\xa6tokens\xc4"
    b"\x83\xa7version\xcd\xa6digest\xc4\x10\xa5stamp\x82\xa4term\x01\xa7counter"
    b"\xcd"
)


def encode(message: messages.DistributionMessage) -> bytes:
    """Encodes a message as one frame."""
    plain = messages.DISTRIBUTION_MESSAGES.encode(message)
    if len(plain) < MIN_BYTES_TO_COMPRESS:
        return plain
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        zlib.DEFLATED,
        WINDOW_BITS,
        MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        DICTIONARY,
    )
    compressed = compressor.compress(plain[KIND_BYTES:]) + compressor.flush()
    if KIND_BYTES + len(compressed) >= len(plain):
        return plain
    return bytes((plain[0] | COMPRESSED_FLAG,)) + compressed


def decode(frame: bytes, *, peer: str) -> messages.DistributionMessage:
    """Decodes the message in a frame.

    Args:
      frame: Encoded message.
      peer: ID of the sender, for the error.

    Raises:
      errors.CodecError: The frame is damaged, too large or of an unknown
        kind.
    """
    if frame and frame[0] & COMPRESSED_FLAG:
        kind = bytes((frame[0] & ~COMPRESSED_FLAG,))
        frame = kind + _decompress(frame[KIND_BYTES:], peer)
    return messages.DISTRIBUTION_MESSAGES.decode(frame, peer=peer)


def name_kind(frame: bytes) -> str:
    """Returns the class name of an encoded message, or "unknown"."""
    kind = bytes((frame[0] & ~COMPRESSED_FLAG,)) if frame else b""
    return messages.DISTRIBUTION_MESSAGES.name_kind(kind)


def _decompress(compressed: bytes, peer: str) -> bytes:
    decompressor = zlib.decompressobj(WINDOW_BITS, DICTIONARY)
    try:
        plain = decompressor.decompress(compressed, MAX_PLAIN_BYTES)
    except zlib.error as error:
        raise _make_error(peer, str(error)) from error
    if not decompressor.eof:
        raise _make_error(peer, "frame is truncated or too large")
    return plain


def _make_error(peer: str, cause: str) -> errors.CodecError:
    return errors.CodecError(step="decompress frame", peer=peer, cause=cause)
